/**
 * Guards against runs that continue for too long after their submitter was lost, in virtual time. A
 * client resubmits its job 1300 ms after the loss, to any host, which may run it in another cell.
 */
import { describe, it, type TestContext } from 'node:test';
import { expect } from 'earl';
import { RunOutcome } from '../../src/cells/actions';
import { BatchReason, type TaskBatch } from '../../src/cells/messages';
import { batchOf } from '../cells/cellSimulation';
import { LeasedWorker } from './leasedWorker';
import { OwnerSimulation } from './ownerSimulation';

const RESUBMISSION_MS = 1300;
/** A submitter polls every 150 ms, so its last poll is at most this old when it is lost. */
const POLL_PERIOD_MS = 150;
/** Silence of 700 ms, detected within 100 ms. */
const LOSS_DETECTION_MS = 800;
const TASK = 'left.0.0.0';

/** Submitter that is heard every 150 ms until it is lost. */
class FakeSubmitter {
  lostAtMs = Infinity;

  readonly #nowMs: () => number;

  constructor(nowMs: () => number) {
    this.#nowMs = nowMs;
  }

  silentMs(): number {
    const lastMs = Math.min(this.#nowMs(), this.lostAtMs);
    return this.#nowMs() - (lastMs - (lastMs % POLL_PERIOD_MS));
  }
}

interface Setup {
  readonly simulation: OwnerSimulation;
  readonly worker: LeasedWorker;
  readonly submitter: FakeSubmitter;
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

/** A simulation whose only worker runs a batch and loses all stops. */
async function setUp(t: TestContext): Promise<Setup> {
  const worker = new LeasedWorker('w0');
  worker.lostStops = Infinity;
  const simulation = new OwnerSimulation(t, [worker]);
  t.after(() => simulation.close());
  const submitter = new FakeSubmitter(() => simulation.nowMs);
  const batch = longBatch('left');
  await simulation.advance(5);
  simulation.owner.run(batch, submitter);
  await simulation.advance(995);
  return { simulation, worker, submitter, batch };
}

function endOf({ worker, submitter }: Setup): { end: RunOutcome | undefined; afterMs: number } {
  const outcome = worker.outcomes.get(TASK);
  return { end: outcome?.end, afterMs: (outcome?.atMs ?? Infinity) - submitter.lostAtMs };
}

describe('a run whose submitter is lost without a connection reset', () => {
  // Guards against a second run of a resubmitted job; found by the soak test (wide shape, seed 8).
  it('ends within 1300 ms, whenever the owner of its cell is lost as well', async (t) => {
    for (let ownerLivesMs = 0; ownerLivesMs <= LOSS_DETECTION_MS; ownerLivesMs += 100) {
      // eslint-disable-next-line no-await-in-loop -- one simulation after the other
      const site = await setUp(t);
      const { simulation, submitter } = site;
      submitter.lostAtMs = simulation.nowMs;
      // eslint-disable-next-line no-await-in-loop -- as above
      await simulation.advance(ownerLivesMs);
      simulation.changeOwner();
      // eslint-disable-next-line no-await-in-loop -- as above
      await simulation.advance(3000);
      expect(endOf(site).afterMs).toBeLessThanOrEqual(RESUBMISSION_MS);
      // eslint-disable-next-line no-await-in-loop -- as above
      await simulation.close();
    }
  });

  // Guards against the same overlap if the owner stays alive but none of its stops arrives.
  it('ends within 1300 ms if the owner withdraws its batch and no stop arrives', async (t) => {
    const site = await setUp(t);
    const { simulation, submitter, batch } = site;
    submitter.lostAtMs = simulation.nowMs;
    await simulation.advance(LOSS_DETECTION_MS);
    simulation.owner.withdraw(batch.batchId, BatchReason.unreachable);
    await simulation.advance(3000);
    expect(endOf(site).afterMs).toBeLessThanOrEqual(RESUBMISSION_MS);
  });

  // Guards against a start under a lease that was given for the batch of another submitter.
  it('is not started on a worker whose lease would outlast the permitted time', async (t) => {
    const { simulation, worker } = await setUp(t);
    const submitter = new FakeSubmitter(() => simulation.nowMs);
    submitter.lostAtMs = simulation.nowMs - 300;
    const small = { ...batchOf().shape, cpuMillis: 1000 };
    const starts = () => worker.starts.map(({ task }) => task);
    simulation.owner.run({ ...longBatch('late'), shape: small }, submitter);
    await simulation.advance(100);
    expect(starts()).toEqual([TASK]);
    submitter.lostAtMs = Infinity;
    await simulation.advance(100);
    expect(starts()).toEqual([TASK, 'late.0.0.0']);
  });
});

describe('a run whose submitter is heard', () => {
  // Guards against leases that expire although the submitter polls, because its last poll ages.
  it('continues to its end', async (t) => {
    const site = await setUp(t);
    await site.simulation.advance(5000);
    expect(endOf(site).end).toEqual(RunOutcome.succeeded);
  });
});
