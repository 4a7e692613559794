/** Drain of a failure domain, end to end over loopback with a simulated store and workers. */
import { after, before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { request } from 'undici';
import { runCli } from '../cli/runCli';
import { TestDeployment, until } from './deployment';

const DRAINED = 'sofia-a';
const OTHER = 'varna-c';
const KEY = `op/evacuate/${DRAINED}`;

let jobCount = 0;

function jobId(): string {
  jobCount += 1;
  return jobCount.toString(16).padStart(16, '0');
}

describe('a failure domain that the operators drain', () => {
  const deployment = new TestDeployment([DRAINED, OTHER]);
  before(() => deployment.open(2, 3));
  after(() => deployment.close());

  const startsIn = (domain: string) =>
    deployment.workers
      .filter((worker) => worker.domain === domain)
      .reduce((sum, { starts }) => sum + starts.length, 0);

  /** Number of hosts that send tasks to this many cells. */
  const hostsWith = (cells: number) =>
    deployment.hosts.filter(({ host }) => host.servedCells.length === cells).length;

  async function drain(): Promise<void> {
    deployment.store.put(KEY, '{}');
    await until('every host knows of the drain', () => hostsWith(1) === 4);
  }

  async function restore(): Promise<void> {
    deployment.store.remove(KEY);
    await until('every host knows of its end', () => hostsWith(2) === 4);
  }

  it('gets no task, while its clients are served by other domains and its runs end', async () => {
    const long = deployment.hosts[0]?.submit(jobId(), '600', 2);
    await until('tasks run in the domain', () => startsIn(DRAINED) > 0);
    await drain();
    const startsBefore = startsIn(DRAINED);
    const answers = await Promise.all(
      deployment.hosts.map((host) => host.submit(jobId(), '20', 2)),
    );
    expect(answers.map(({ statusCode }) => statusCode)).toEqual([200, 200, 200, 200]);
    expect((await long)?.statusCode).toEqual(200);
    expect(startsIn(DRAINED)).toEqual(startsBefore);
    await restore();
    await deployment.hosts[0]?.submit(jobId(), '20', 2);
    expect(startsIn(DRAINED)).toBeGreaterThan(startsBefore);
  });

  it('shows in the metrics and the log how far its drain is', async () => {
    await drain();
    const texts = await Promise.all(
      deployment.hosts.map(async ({ metricsAddress }) => {
        const response = await request(`http://${metricsAddress}/metrics`);
        return response.body.text();
      }),
    );
    texts.forEach((text) => {
      expect(text).toMatchRegex(/domain_drained_since_seconds\{domain="sofia-a"\} [1-9]/);
      expect(text).toMatchRegex(/domain_drained_since_seconds\{domain="varna-c"\} 0/);
      expect(text).toMatchRegex(/domain_drain_runs\{domain="sofia-a"\} 0/);
    });
    const lines = deployment.hosts.flatMap((host) => host.lines);
    expect(lines.some(({ decision }) => decision === 'drain-completed')).toEqual(true);
    const addresses = deployment.hosts.map(({ metricsAddress }) => metricsAddress);
    const { code, out } = await runCli(['drains', ...addresses, '--json']);
    expect(code).toEqual(0);
    const { drains } = JSON.parse(out) as { drains: Record<string, unknown>[] };
    expect(drains).toLooseEqual([
      { domain: DRAINED, drainedSince: drains[0]?.drainedSince, hosts: 4, runsLeft: 0 },
      { domain: OTHER, drainedSince: null, hosts: 0, runsLeft: 0 },
    ]);
    await restore();
  });

  // Guards against a command that shows a drain as complete though a host has not answered.
  it('is not shown as complete by the command if a host can not be reached', async () => {
    const { code, progress } = await runCli(['drains', '127.0.0.1:1']);
    expect(code).toEqual(3);
    expect(progress).toMatchRegex(/^error: 127\.0\.0\.1:1/);
  });

  // Guards against a domain that stays drained because the store has dropped the change.
  it('is restored if the end of the drain is not reported by the watch', async () => {
    await drain();
    deployment.store.faults.forgetsHistory = true;
    // Ends the waiting watches; no later one is served.
    deployment.store.put('op/other', '{}');
    await sleep(100);
    await restore();
    deployment.store.faults.forgetsHistory = false;
  });

  // Guards against a drain that ends, or is not kept up, because the store can't be reached.
  it('stays drained while the store is down, and is restored after it', async () => {
    await drain();
    deployment.store.faults.busy = true;
    const startsBefore = startsIn(DRAINED);
    const answer = await deployment.hosts[0]?.submit(jobId(), '20', 2);
    expect(answer?.statusCode).toEqual(200);
    await sleep(600);
    expect(hostsWith(1)).toEqual(4);
    deployment.store.faults.busy = false;
    await restore();
    expect(startsIn(DRAINED)).toEqual(startsBefore);
  });

  // Guards against requests that nobody can serve and that are held until their deadlines.
  it('lets jobs be refused at once as not run if all others are drained too', async () => {
    await drain();
    deployment.store.put(`op/evacuate/${OTHER}`, '{}');
    await until('no cell takes tasks', () => hostsWith(0) === 4);
    const sentAtMs = performance.now();
    const answer = await deployment.hosts[0]?.submit(jobId(), '20', 2);
    expect(answer?.statusCode).toEqual(503);
    expect(answer?.headers['retry-after']).toEqual('1');
    expect(performance.now() - sentAtMs).toBeLessThan(250);
    deployment.store.remove(`op/evacuate/${OTHER}`);
    await restore();
  });

  // Guards against an unreadable or unknown request that drains a domain or is logged for ever.
  it('is not drained by a value that can not be read, nor by an unknown name', async () => {
    deployment.store.put(KEY, '\u0000');
    deployment.store.put('op/evacuate/mars', '{}');
    const ignored = () =>
      deployment.hosts[0]?.lines.filter(({ decision }) => decision === 'drain-ignored').length;
    await until('both are logged', () => ignored() === 2);
    expect(hostsWith(2)).toEqual(4);
    deployment.store.faults.forgetsHistory = true;
    await sleep(500);
    deployment.store.faults.forgetsHistory = false;
    expect(ignored()).toEqual(2);
  });
});
