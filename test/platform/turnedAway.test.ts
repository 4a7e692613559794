/** An owner that the store turns away while it serves the other hosts. */
import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import { Direction } from '../soak/faultProxy';
import { TestDeployment, until } from './deployment';

/**
 * Time from which a shrunk capacity counts against a start: 3000 ms, and one beat of 1500 ms, less
 * 500 ms for the start itself.
 */
const TOLD_LIMIT_MS = 4000;
/** One task of a job fits into it, two do not. */
const SHRUNK_CPU_MILLIS = 32_000;

describe('an owner that the store turns away', () => {
  const deployment = new TestDeployment(['sofia-a']);
  before(() => deployment.open(3, 2, true));
  after(() => deployment.close());

  // Guards against starts beyond a capacity that has shrunk, at workers that do not refuse them, by
  // an owner that goes on with the entries that it has read before (review/7).
  it('keeps to a capacity that has shrunk since, as the other hosts can read it', async () => {
    const ownerIndex = deployment.hosts.findIndex(({ host }) => host.ownedCells.length > 0);
    deployment.storeLinks[ownerIndex]?.cut([Direction.forward, Direction.backward]);
    deployment.workers.forEach((worker) => {
      const entry = JSON.parse(worker.entry()) as object;
      const capacity = { cpu: SHRUNK_CPU_MILLIS, memMb: 32_768, gpu: 0 };
      deployment.store.put(`servers/${worker.id}`, JSON.stringify({ ...entry, capacity }));
    });
    const owner = deployment.hosts[ownerIndex];
    const isTold = () =>
      owner?.lines.some(
        ({ decision, fields }) => decision === 'worker-list-told' && fields.isChanged === true,
      ) ?? false;
    await until('the owner is told of the change', isTold, TOLD_LIMIT_MS);
    expect(owner?.host.ownedCells.length).toEqual(1);
    const { statusCode, body } = (await owner?.submit('00000000000000a1', '200')) ?? {};
    await body?.dump();
    expect(statusCode).toEqual(200);
    expect(deployment.workers.map(({ starts }) => starts.length)).toEqual([1, 1]);
  });
});
