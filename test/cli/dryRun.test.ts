/** `dry-run` against hosts, stores and workers on loopback. */
import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import type { PlacementPreview } from '../../src/dispatcher/jobs/placementPreview';
import { TestDeployment } from '../platform/deployment';
import { runCli, unusedAddress } from './runCli';

const QUEUE = 'r-1';
/** Two tasks of this size fit on one worker of the deployment. */
const HALF_WORKER_MILLIS = '27000';

describe('dry-run', () => {
  const deployment = new TestDeployment(['sofia-a', 'plovdiv-b']);
  let host = '';

  before(async () => {
    await deployment.open(1, 1);
    host = deployment.hosts[0]?.peersAddress ?? '';
  });

  after(() => deployment.close());

  function ask(...options: string[]) {
    return runCli(['dry-run', QUEUE, '--host', host, ...options]);
  }

  // Guards against a question that starts or queues what it asks about.
  it('names the cell and the worker, and starts nothing', async () => {
    const { code, out } = await ask('--tasks', '2', '--cpu-millis', HALF_WORKER_MILLIS);
    expect(code).toEqual(0);
    expect(out.split('\n').at(-1)).toEqual('sent: 2 to sofia-a (first on i-sofia-a-0)');
    expect(deployment.starts).toEqual([]);
    expect(deployment.hosts.map(({ host: { dispatcher } }) => dispatcher.pending)).toEqual([0, 0]);
  });

  it('divides a job that no cell has room for as it would be divided', async () => {
    const { out } = await ask('--tasks', '4', '--cpu-millis', HALF_WORKER_MILLIS, '--json');
    const { decision, cells } = JSON.parse(out) as PlacementPreview;
    const sizes =
      decision.type === 'assigned' &&
      decision.assignments.map(({ taskIndexes }) => taskIndexes.length);
    expect(sizes).toEqual([2, 2]);
    expect(cells.map(({ answer }) => answer?.startable)).toEqual([2, 2]);
  });

  // Guards against a reason that is not the one that refuses the job.
  it('tells why a job would be refused', async () => {
    const { code, out } = await ask('--cpu-millis', '65000');
    expect(code).toEqual(0);
    expect(out.split('\n').at(-1)?.startsWith('refused: impossible')).toEqual(true);
    const labelled = await ask('--label', 'no-such-label');
    expect(labelled.out.split('\n').at(-1)?.startsWith('refused: impossible')).toEqual(true);
  });

  it('names a queue that is not in force, and a host that does not answer', async () => {
    const unknown = await runCli(['dry-run', 'no-such-queue', '--host', host]);
    expect(unknown.code).toEqual(2);
    expect(unknown.progress.includes('no-such-queue')).toEqual(true);
    const silent = await runCli(['dry-run', QUEUE, '--host', await unusedAddress()]);
    expect(silent.code).toEqual(3);
  });
});
