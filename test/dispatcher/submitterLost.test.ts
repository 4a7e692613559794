/**
 * How long runs go on after their submitter was lost, whatever is lost with it, in virtual time. A client
 * sends its job again 1300 ms after the loss, to any host, which may run it in another cell.
 */
import { describe, it, type TestContext } from 'node:test';
import { expect } from 'earl';
import { RunOutcome } from '../../src/cells/actions';
import { BatchReason, type TaskBatch } from '../../src/cells/messages';
import { batchOf } from '../cells/cellSimulation';
import { LeasedWorker } from './leasedWorker';
import { OwnerWorld } from './ownerWorld';

const RESUBMITTED_AFTER_MS = 1300;
/** A submitter asks each 150 ms, so its last word is at most this old when it is lost. */
const ASK_PERIOD_MS = 150;
/** Silence of 700 ms, found within 100 ms. */
const NOTICED_AFTER_MS = 800;
const TASK = 'left.0.0.0';

/** A submitter that is heard each 150 ms until it is lost. */
class LostSubmitter {
  lostAtMs = Infinity;

  readonly #nowMs: () => number;

  constructor(nowMs: () => number) {
    this.#nowMs = nowMs;
  }

  silentMs(): number {
    const lastMs = Math.min(this.#nowMs(), this.lostAtMs);
    return this.#nowMs() - (lastMs - (lastMs % ASK_PERIOD_MS));
  }
}

interface Site {
  readonly world: OwnerWorld;
  readonly worker: LeasedWorker;
  readonly submitter: LostSubmitter;
  readonly batch: TaskBatch;
}

function longBatch(jobId: string): TaskBatch {
  return batchOf({
    jobId,
    payload: '5000',
    estimateMs: 5000,
    goalMs: 9000,
    deadlineInMs: 12_000,
  });
}

/** A site whose only worker runs a batch, and obeys no stop. */
async function siteOf(t: TestContext): Promise<Site> {
  const worker = new LeasedWorker('w0');
  worker.lostStops = Infinity;
  const world = new OwnerWorld(t, [worker]);
  t.after(() => world.close());
  const submitter = new LostSubmitter(() => world.nowMs);
  const batch = longBatch('left');
  await world.advance(5);
  world.owner.run(batch, submitter);
  await world.advance(995);
  return { world, worker, submitter, batch };
}

function endOf({ worker, submitter }: Site): { end: RunOutcome | undefined; afterMs: number } {
  const outcome = worker.outcomes.get(TASK);
  return { end: outcome?.end, afterMs: (outcome?.atMs ?? Infinity) - submitter.lostAtMs };
}

describe('a run whose submitter is lost without a reset', () => {
  // Guards against a second run of a job that is sent again: soak, wide shape, seed 8.
  it('is over 1300 ms later, whenever the owner of its cell is lost as well', async (t) => {
    for (let ownerLivesMs = 0; ownerLivesMs <= NOTICED_AFTER_MS; ownerLivesMs += 100) {
      // eslint-disable-next-line no-await-in-loop -- one site after the other, in virtual time
      const site = await siteOf(t);
      const { world, submitter } = site;
      submitter.lostAtMs = world.nowMs;
      // eslint-disable-next-line no-await-in-loop -- as above
      await world.advance(ownerLivesMs);
      world.changeOwner();
      // eslint-disable-next-line no-await-in-loop -- as above
      await world.advance(3000);
      expect(endOf(site).afterMs).toBeLessThanOrEqual(RESUBMITTED_AFTER_MS);
      // eslint-disable-next-line no-await-in-loop -- as above
      await world.close();
    }
  });

  // Guards against the same overlap while the owner lives and none of its stops arrives.
  it('is over 1300 ms later if the owner withdraws its batch and no stop arrives', async (t) => {
    const site = await siteOf(t);
    const { world, submitter, batch } = site;
    submitter.lostAtMs = world.nowMs;
    await world.advance(NOTICED_AFTER_MS);
    world.owner.withdraw(batch.batchId, BatchReason.unreachable);
    await world.advance(3000);
    expect(endOf(site).afterMs).toBeLessThanOrEqual(RESUBMITTED_AFTER_MS);
  });

  // Guards against a start under a lease that the worker was given for a batch of another submitter.
  it('is not started where a lease is in force that outlasts it', async (t) => {
    const { world, worker } = await siteOf(t);
    const submitter = new LostSubmitter(() => world.nowMs);
    submitter.lostAtMs = world.nowMs - 300;
    const small = { ...batchOf().shape, cpuMillis: 1000 };
    const starts = () => worker.starts.map(({ task }) => task);
    world.owner.run({ ...longBatch('late'), shape: small }, submitter);
    await world.advance(100);
    expect(starts()).toEqual([TASK]);
    submitter.lostAtMs = Infinity;
    await world.advance(100);
    expect(starts()).toEqual([TASK, 'late.0.0.0']);
  });
});

describe('a run whose submitter is heard', () => {
  // Guards against leases that lapse because of the age of what the submitter says.
  it('goes on to its end', async (t) => {
    const site = await siteOf(t);
    await site.world.advance(5000);
    expect(endOf(site).end).toEqual(RunOutcome.succeeded);
  });
});
