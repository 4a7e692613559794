/** Which leases a cell owner extends, and when it starts no runs, in virtual time. */
import { describe, it, type TestContext } from 'node:test';
import { expect } from 'earl';
import { RunOutcome } from '../../src/cells/actions';
import { BatchReason, type BatchOutcome, type TaskBatch } from '../../src/cells/messages';
import { batchOf } from '../cells/cellSimulation';
import { LeasedWorker } from './leasedWorker';
import { OwnerSimulation } from './ownerSimulation';

const WITHDRAWN_AT_MS = 300;
const MAX_LEASE_MS = 1000;
const UNCLAIMED_TASK = 'gone.0.0.0';
/**
 * Shortest remaining lease after an owner was killed: 1000 ms less 350 (wait of a renewal), 150 and
 * 60 ms and the time of the claim.
 */
const REMAINING_LEASE_MS = 400;
/** Time in which a submitter learns of the new owner and submits its batch to it. */
const CLAIM_DELAY_MS = 150;

/** A worker with a run in progress whose batch no submitter waits for. */
function workerWithUnclaimedRun(leaseLeftMs = REMAINING_LEASE_MS): LeasedWorker {
  const worker = new LeasedWorker('w0');
  worker.leaseEndsAtMs = leaseLeftMs;
  worker.addRun(UNCLAIMED_TASK, 5000);
  return worker;
}

function simulationOf(context: TestContext, ...workers: LeasedWorker[]): OwnerSimulation {
  const simulation = new OwnerSimulation(context, workers);
  context.after(() => simulation.close());
  return simulation;
}

/** The batch that a submitter submits again after the loss of the cell's previous owner. */
function claimingBatch(jobId: string, runMs: number): TaskBatch {
  return batchOf({
    jobId,
    payload: String(runMs),
    estimateMs: runMs,
    deadlineInMs: 6000,
    begun: true,
    mayRun: true,
  });
}

function run(simulation: OwnerSimulation, batch: TaskBatch): { outcome: BatchOutcome | null } {
  const record: { outcome: BatchOutcome | null } = { outcome: null };
  simulation.owner.run(batch).then((outcome) => {
    record.outcome = outcome;
  });
  return record;
}

describe('a new owner of a cell and a run that no submitter claims', () => {
  // Guards against a run that continues while the job, resubmitted by its client, runs in another
  // cell.
  it('does not extend the lease of the previous owner, even if stops are lost', async (t) => {
    const worker = workerWithUnclaimedRun();
    worker.lostStops = 100;
    const simulation = simulationOf(t, worker);
    await simulation.advance(3000);
    expect(worker.outcomes.get(UNCLAIMED_TASK)).toEqual({
      end: RunOutcome.lapsed,
      atMs: REMAINING_LEASE_MS,
    });
  });

  // Guards against a claim window that is as long as a lease.
  it('stops the run before the lease expires', async (t) => {
    const worker = workerWithUnclaimedRun();
    const simulation = simulationOf(t, worker);
    await simulation.advance(3000);
    expect(worker.outcomes.get(UNCLAIMED_TASK)?.end).toEqual(RunOutcome.stopped);
    expect(worker.outcomes.get(UNCLAIMED_TASK)?.atMs ?? Infinity).toBeLessThan(REMAINING_LEASE_MS);
  });

  // Guards against extensions by each of several successive owners.
  it('does not extend the lease if the cell changes its owner again', async (t) => {
    const worker = workerWithUnclaimedRun();
    worker.lostStops = 100;
    const first = simulationOf(t, worker);
    await first.advance(200);
    await first.close();
    const second = new OwnerSimulation(t, [worker], 200);
    t.after(() => second.close());
    await second.advance(3000);
    expect(worker.outcomes.get(UNCLAIMED_TASK)).toEqual({
      end: RunOutcome.lapsed,
      atMs: REMAINING_LEASE_MS,
    });
  });

  // Guards against extending the run by a start, whose lease covers all runs on the worker.
  it('starts no other task on the worker', async (t) => {
    const worker = workerWithUnclaimedRun();
    worker.lostStops = 100;
    const simulation = simulationOf(t, worker);
    await simulation.advance(5);
    const record = run(simulation, batchOf({ payload: '60', goalMs: 3000, deadlineInMs: 5000 }));
    await simulation.advance(1000);
    expect(worker.outcomes.get(UNCLAIMED_TASK)).toEqual({
      end: RunOutcome.lapsed,
      atMs: REMAINING_LEASE_MS,
    });
    expect(record.outcome).toEqual({ type: 'done' });
  });
});

describe('the run of a withdrawn batch', () => {
  /** Runs a batch on a simulation's only worker and withdraws it after 300 ms. */
  async function withdrawn(t: TestContext, lostStops: number): Promise<LeasedWorker> {
    const worker = new LeasedWorker('w0');
    const simulation = simulationOf(t, worker);
    await simulation.advance(5);
    const batch = batchOf({ jobId: 'left', payload: '5000', estimateMs: 5000, deadlineInMs: 9000 });
    run(simulation, { ...batch, goalMs: 9000 });
    await simulation.advance(WITHDRAWN_AT_MS - 5);
    worker.lostStops = lostStops;
    simulation.owner.withdraw(batch.batchId, BatchReason.withdrawn);
    await simulation.advance(3000);
    return worker;
  }

  // Guards against renewals that keep the run going while its stops are lost.
  it('ends with the last lease before the withdrawal if all stops are lost', async (t) => {
    const worker = await withdrawn(t, 100);
    const end = worker.outcomes.get('left.0.0.0');
    expect(end?.end).toEqual(RunOutcome.lapsed);
    expect(end?.atMs ?? Infinity).toBeLessThanOrEqual(WITHDRAWN_AT_MS + MAX_LEASE_MS);
  });

  // Guards against waiting for a report before an unanswered stop is sent again.
  it('is sent another stop as soon as one is unanswered', async (t) => {
    const worker = await withdrawn(t, 2);
    const end = worker.outcomes.get('left.0.0.0');
    expect(end?.end).toEqual(RunOutcome.stopped);
    // Two unanswered requests of 120 ms, each followed by a timer period, and the stop itself.
    expect(end?.atMs ?? Infinity).toBeLessThanOrEqual(WITHDRAWN_AT_MS + 2 * (120 + 20) + 25);
  });
});

describe('a new owner of a cell and a run that its submitter claims', () => {
  // Guards against losing runs in an ordinary change of owner.
  it('extends the lease in time, so that the run continues to its end', async (t) => {
    const batch = claimingBatch('alive', 1500);
    const worker = new LeasedWorker('w0');
    worker.leaseEndsAtMs = REMAINING_LEASE_MS;
    worker.addRun('alive.0.0.0', 1500);
    const simulation = simulationOf(t, worker);
    await simulation.advance(CLAIM_DELAY_MS);
    const record = run(simulation, batch);
    await simulation.advance(2000);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(worker.starts).toEqual([]);
  });

  // Guards against expiry of a claimed run because another run on the worker is not claimed.
  it('extends the lease in time although another run on the worker is not claimed', async (t) => {
    const batch = claimingBatch('alive', 1500);
    const worker = workerWithUnclaimedRun();
    worker.addRun('alive.0.0.0', 1500);
    const simulation = simulationOf(t, worker);
    await simulation.advance(CLAIM_DELAY_MS);
    const record = run(simulation, batch);
    await simulation.advance(2000);
    expect(worker.outcomes.get(UNCLAIMED_TASK)?.end).toEqual(RunOutcome.stopped);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(worker.starts).toEqual([]);
  });
});

describe('a worker that stops answering for good', () => {
  // Guards against unanswered renewals that keep postponing the assumed end of the leases.
  it('loses its runs when its leases expire, so that the tasks start elsewhere', async (t) => {
    const simulation = simulationOf(t, new LeasedWorker('w0'), new LeasedWorker('w1'));
    await simulation.advance(5);
    run(simulation, batchOf({ payload: '900', estimateMs: 900, goalMs: 5000, deadlineInMs: 6000 }));
    await simulation.advance(100);
    const busy = simulation.workers.find(({ starts }) => starts.length > 0);
    Object.assign(busy ?? {}, { silent: true });
    await simulation.advance(3000);
    expect(simulation.workers.map(({ starts }) => starts.length)).toEqual([1, 1]);
  });
});

describe('an owner that is paused while a batch waits', () => {
  const PAUSE_MS = 2300;

  /**
   * A simulation with a waiting batch, whose only worker is full with two runs that end in the
   * pause.
   */
  async function waiting(
    t: TestContext,
  ): Promise<{ simulation: OwnerSimulation; batch: TaskBatch }> {
    const simulation = simulationOf(t, new LeasedWorker('w0'));
    await simulation.advance(5);
    const long = { estimateMs: 600, payload: '600', goalMs: 9000, deadlineInMs: 9000 };
    run(simulation, batchOf({ ...long, taskCount: 2 }));
    const batch = batchOf({ ...long, jobId: 'waits', begun: true });
    run(simulation, batch);
    await simulation.advance(95);
    return { simulation, batch };
  }

  function startsOf(simulation: OwnerSimulation): readonly string[] {
    return simulation.workers.flatMap(({ starts }) => starts.map(({ task }) => task));
  }

  function startedAtMs(simulation: OwnerSimulation): number | undefined {
    return simulation.workers[0]?.starts.find(({ task }) => task === 'waits.0.0.0')?.atMs;
  }

  // Guards against a start by the timer, which runs before the end of the submitter's call is read.
  it('does not start the batch if its submitter closed the call meanwhile', async (t) => {
    const { simulation, batch } = await waiting(t);
    expect(startsOf(simulation).length).toEqual(2);
    simulation.pause(PAUSE_MS);
    await simulation.advance(3);
    simulation.owner.withdraw(batch.batchId, BatchReason.withdrawn);
    await simulation.advance(2000);
    expect(startsOf(simulation).length).toEqual(2);
  });

  // Guards against a start after a suspension, during which the steady clock does not advance.
  it('does not start the batch if the machine was suspended and the call was closed', async (t) => {
    const { simulation, batch } = await waiting(t);
    await simulation.advance(350);
    simulation.suspend(PAUSE_MS);
    // The runs of the other batch end, so that the worker has room.
    await simulation.advance(300);
    simulation.owner.withdraw(batch.batchId, BatchReason.withdrawn);
    await simulation.advance(2000);
    expect(startsOf(simulation).length).toEqual(2);
  });

  // Guards against starts before a submitter that was lost during the pause is detected as lost.
  it('starts the batch 450 ms after the pause unless it is withdrawn', async (t) => {
    const { simulation } = await waiting(t);
    simulation.pause(PAUSE_MS);
    await simulation.advance(1000);
    // The first and the last event may each be a timer period late.
    expect(startedAtMs(simulation) ?? 0).toBeGreaterThanOrEqual(100 + PAUSE_MS + 450);
    expect(startedAtMs(simulation) ?? Infinity).toBeLessThanOrEqual(100 + PAUSE_MS + 450 + 2 * 20);
  });

  // Guards against holding starts after each short delay of a loaded host.
  it('starts the batch at once after a delay of 350 ms', async (t) => {
    const { simulation } = await waiting(t);
    await simulation.advance(400);
    simulation.pause(350);
    await simulation.advance(25);
    expect(startsOf(simulation).length).toEqual(3);
  });
});

describe('a start that is not answered and executed late', () => {
  const LONG = { payload: '900', estimateMs: 900, goalMs: 9000, deadlineInMs: 12_000 } as const;

  /**
   * A simulation in which the first chosen worker leaves a start unanswered and executes it late.
   */
  function simulationWithLateStart(
    t: TestContext,
    lateMs: number,
    lostStops: number,
  ): OwnerSimulation {
    const first = new LeasedWorker('w0');
    Object.assign(first, { startDelaysMs: [lateMs], lostStops });
    return simulationOf(t, first, new LeasedWorker('w1'));
  }

  // Guards against a second run after the start's lease, which renewals have extended at the
  // worker.
  it('does not overlap with a second run if its first stops are lost', async (t) => {
    const simulation = simulationWithLateStart(t, 1679, 12);
    await simulation.advance(5);
    const record = run(simulation, batchOf(LONG));
    await simulation.advance(8000);
    expect(simulation.overlaps).toEqual([]);
    expect(record.outcome).toEqual({ type: 'done' });
  });

  // Guards against holding the task until the late start, although the worker will refuse that.
  it('lets its task start again once a stop is confirmed and the run is not listed', async (t) => {
    const simulation = simulationWithLateStart(t, 5000, 0);
    await simulation.advance(5);
    run(simulation, batchOf(LONG));
    await simulation.advance(800);
    expect(simulation.workers.flatMap(({ starts }) => starts).length).toEqual(1);
    await simulation.advance(7000);
    expect(simulation.workers.flatMap(({ starts }) => starts).length).toEqual(1);
  });

  // Guards against waiting for the pending renewal, which waits longer the more workers a cell has.
  it('starts elsewhere as soon as the stop is confirmed, in a large cell too', async (t) => {
    const workers = Array.from({ length: 46 }, (_, index) => new LeasedWorker(`w${index}`));
    const simulation = simulationOf(t, ...workers);
    Object.assign(workers[0] ?? {}, { startDelaysMs: [5000] });
    await simulation.advance(5);
    run(simulation, batchOf(LONG));
    // The start times out after 120 ms; a stop and two lists follow.
    await simulation.advance(135);
    expect(workers.flatMap(({ starts }) => starts).length).toEqual(1);
    await simulation.advance(7000);
    expect(workers.flatMap(({ starts }) => starts).length).toEqual(1);
  });

  // Guards against leases under which the worker executes the start when it answers again.
  it('does not overlap with a second run if its worker was silent beyond its leases', async (t) => {
    const simulation = simulationWithLateStart(t, 1900, 0);
    await simulation.advance(5);
    const record = run(simulation, batchOf(LONG));
    await simulation.advance(3);
    const [first, second] = simulation.workers;
    Object.assign(first ?? {}, { silent: true });
    await simulation.advance(1500);
    expect(second?.starts.length).toEqual(1);
    Object.assign(first ?? {}, { silent: false, lostStops: 3 });
    await simulation.advance(3000);
    expect(simulation.overlaps).toEqual([]);
    expect(record.outcome).toEqual({ type: 'done' });
  });

  // Guards against a caller that waits beyond its deadline, and a worker that is never used again.
  it('holds its task until the deadline if stops fail, then reuses the worker', async (t) => {
    const worker = new LeasedWorker('w0');
    Object.assign(worker, { startDelaysMs: [100_000], lostStops: 1e9 });
    const simulation = simulationOf(t, worker);
    await simulation.advance(5);
    const record = run(simulation, batchOf({ ...LONG, deadlineInMs: 3000 }));
    await simulation.advance(3100);
    const { outcome } = record;
    expect(outcome?.type === 'lost' ? outcome.reason : outcome?.type).toEqual(BatchReason.deadline);
    await simulation.advance(30_000);
    const next = run(simulation, batchOf({ ...LONG, payload: '60' }));
    await simulation.advance(400);
    expect(next.outcome).toEqual({ type: 'done' });
  });
});

describe('a run whose end is not reported', () => {
  // Guards against a short task whose end is learned only when the renewal that waits for it times
  // out, in a cell with so many workers that renewals wait long.
  it('is looked up when it is overdue', async (t) => {
    const workers = Array.from({ length: 46 }, (_, index) => new LeasedWorker(`w${index}`));
    const simulation = simulationOf(t, ...workers);
    await simulation.advance(5);
    workers.forEach((worker) => Object.assign(worker, { lostRenewals: 1 }));
    await simulation.advance(600);
    const record = run(simulation, batchOf({ payload: '60', estimateMs: 60, goalMs: 900 }));
    await simulation.advance(130);
    expect(record.outcome).toEqual({ type: 'done' });
  });
});

describe('a job that is resubmitted while a run of it is in the cell', () => {
  const FIRST = { jobId: 'twice', estimateMs: 900, goalMs: 9000, deadlineInMs: 12_000 } as const;

  /** A simulation with the first submission running, whose workers each lose `lostStops` stops. */
  async function submittedOnce(
    t: TestContext,
    runMs: number,
    lostStops: number,
  ): Promise<{
    simulation: OwnerSimulation;
    first: TaskBatch;
    record: { outcome: BatchOutcome | null };
  }> {
    const workers = ['w0', 'w1'].map((id) => new LeasedWorker(id));
    workers.forEach((worker) => Object.assign(worker, { lostStops }));
    const simulation = simulationOf(t, ...workers);
    await simulation.advance(5);
    const first = batchOf({ ...FIRST, payload: String(runMs) });
    const record = run(simulation, first);
    await simulation.advance(WITHDRAWN_AT_MS - 5);
    return { simulation, first, record };
  }

  // Guards against a start while an earlier run is being stopped.
  it('starts with a higher run number once the end of the stopped run is known', async (t) => {
    const { simulation, first } = await submittedOnce(t, 5000, 3);
    simulation.owner.withdraw(first.batchId, BatchReason.withdrawn);
    const record = run(simulation, batchOf({ ...FIRST, payload: '900' }));
    await simulation.advance(3000);
    expect(simulation.overlaps).toEqual([]);
    const starts = simulation.workers.flatMap((worker) => worker.starts);
    expect(starts.map((start) => start.run)).toEqual([1, 2]);
    expect(record.outcome).toEqual({ type: 'done' });
  });

  // Guards against renewals for a withdrawn run because a new batch waits for its end.
  it('gives the stopped run no lease after the withdrawal', async (t) => {
    const { simulation, first } = await submittedOnce(t, 5000, 1e9);
    simulation.owner.withdraw(first.batchId, BatchReason.withdrawn);
    const record = run(simulation, batchOf({ ...FIRST, payload: '900' }));
    await simulation.advance(3000);
    expect(simulation.overlaps).toEqual([]);
    expect(record.outcome).toEqual({ type: 'done' });
    const starts = simulation.workers.flatMap((worker) => worker.starts);
    expect(starts[1]?.atMs ?? Infinity).toBeLessThanOrEqual(WITHDRAWN_AT_MS + MAX_LEASE_MS + 100);
  });

  // Guards against a second start of a task that succeeded before its stop arrived.
  it('accepts the success of a run that ended before its stop', async (t) => {
    const { simulation, first } = await submittedOnce(t, 400, 3);
    simulation.owner.withdraw(first.batchId, BatchReason.withdrawn);
    const record = run(simulation, batchOf({ ...FIRST, payload: '900' }));
    await simulation.advance(400);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(simulation.workers.flatMap(({ starts }) => starts).length).toEqual(1);
  });

  // Guards against two batches that both wait for and start the same task.
  it('ends the first submission as lost and continues its run', async (t) => {
    const { simulation, record } = await submittedOnce(t, 900, 0);
    const second = run(simulation, batchOf({ ...FIRST, payload: '900' }));
    await simulation.advance(1000);
    const reason = record.outcome?.type === 'lost' ? record.outcome.reason : null;
    expect(reason).toEqual(BatchReason.superseded);
    expect(second.outcome).toEqual({ type: 'done' });
    expect(simulation.workers.flatMap(({ starts }) => starts).length).toEqual(1);
  });
});
