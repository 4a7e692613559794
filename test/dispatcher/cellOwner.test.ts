/** Whose leases the owner of a cell extends, and when it starts nothing, in virtual time. */
import { describe, it, type TestContext } from 'node:test';
import { expect } from 'earl';
import { RunOutcome } from '../../src/cells/actions';
import { BatchReason, type BatchOutcome, type TaskBatch } from '../../src/cells/messages';
import { batchOf } from '../cells/cellSimulation';
import { LeasedWorker } from './leasedWorker';
import { OwnerWorld } from './ownerWorld';

const WITHDRAWN_AT_MS = 300;
const MAX_LEASE_MS = 1000;
const LEFT_OVER = 'gone.0.0.0';
/** Least of a lease that is left when an owner has been killed: 1000 less 350, 150, 60 and the claim. */
const LEASE_LEFT_MS = 400;
/** Time in which a submitter hears of the new owner and hands its batch to it. */
const CLAIM_MS = 150;

/** A worker on which a run that nobody waits for is in progress. */
function workerWithLeftOver(leaseLeftMs = LEASE_LEFT_MS): LeasedWorker {
  const worker = new LeasedWorker('w0');
  worker.leaseEndsAtMs = leaseLeftMs;
  worker.hold(LEFT_OVER, 5000);
  return worker;
}

function worldOf(context: TestContext, ...workers: LeasedWorker[]): OwnerWorld {
  const world = new OwnerWorld(context, workers);
  context.after(() => world.close());
  return world;
}

/** The batch of a submitter that has lost the cell's previous owner. */
function claimOf(jobId: string, runMs: number): TaskBatch {
  return batchOf({
    jobId,
    payload: String(runMs),
    estimateMs: runMs,
    deadlineInMs: 6000,
    begun: true,
    mayRun: true,
  });
}

function run(world: OwnerWorld, batch: TaskBatch): { outcome: BatchOutcome | null } {
  const record: { outcome: BatchOutcome | null } = { outcome: null };
  world.owner.run(batch).then((outcome) => {
    record.outcome = outcome;
  });
  return record;
}

describe('a new owner of a cell and a run that its submitter can not claim', () => {
  // Guards against a run that goes on while its client's second submission runs in another cell.
  it('does not extend the lease that the previous owner gave, even if stops are lost', async (t) => {
    const worker = workerWithLeftOver();
    worker.lostStops = 100;
    const world = worldOf(t, worker);
    await world.advance(3000);
    expect(worker.outcomes.get(LEFT_OVER)).toEqual({ end: RunOutcome.lapsed, atMs: LEASE_LEFT_MS });
  });

  // Guards against a window for claims that is as long as a lease.
  it('stops the run before that lease is over', async (t) => {
    const worker = workerWithLeftOver();
    const world = worldOf(t, worker);
    await world.advance(3000);
    expect(worker.outcomes.get(LEFT_OVER)?.end).toEqual(RunOutcome.stopped);
    expect(worker.outcomes.get(LEFT_OVER)?.atMs ?? Infinity).toBeLessThan(LEASE_LEFT_MS);
  });

  // Guards against an extension by each of several owners that follow one another.
  it('does not extend it when the cell changes hands again', async (t) => {
    const worker = workerWithLeftOver();
    worker.lostStops = 100;
    const first = worldOf(t, worker);
    await first.advance(200);
    await first.close();
    const second = new OwnerWorld(t, [worker], 200);
    t.after(() => second.close());
    await second.advance(3000);
    expect(worker.outcomes.get(LEFT_OVER)).toEqual({ end: RunOutcome.lapsed, atMs: LEASE_LEFT_MS });
  });

  // A start carries a lease that covers everything on its worker.
  it('starts no task beside it', async (t) => {
    const worker = workerWithLeftOver();
    worker.lostStops = 100;
    const world = worldOf(t, worker);
    await world.advance(5);
    const record = run(world, batchOf({ payload: '60', goalMs: 3000, deadlineInMs: 5000 }));
    await world.advance(1000);
    expect(worker.outcomes.get(LEFT_OVER)).toEqual({ end: RunOutcome.lapsed, atMs: LEASE_LEFT_MS });
    expect(record.outcome).toEqual({ type: 'done' });
  });
});

describe('the run of a batch that is withdrawn', () => {
  /** A world whose only worker runs a batch, which is withdrawn after 300 ms. */
  async function withdrawn(t: TestContext, lostStops: number): Promise<LeasedWorker> {
    const worker = new LeasedWorker('w0');
    const world = worldOf(t, worker);
    await world.advance(5);
    const batch = batchOf({ jobId: 'left', payload: '5000', estimateMs: 5000, deadlineInMs: 9000 });
    run(world, { ...batch, goalMs: 9000 });
    await world.advance(WITHDRAWN_AT_MS - 5);
    worker.lostStops = lostStops;
    world.owner.withdraw(batch.batchId, BatchReason.withdrawn);
    await world.advance(3000);
    return worker;
  }

  // Guards against renewals that keep a run in progress as long as its stops are lost.
  it('ends with the last lease before the withdrawal when all stops are lost', async (t) => {
    const worker = await withdrawn(t, 100);
    const end = worker.outcomes.get('left.0.0.0');
    expect(end?.end).toEqual(RunOutcome.lapsed);
    expect(end?.atMs ?? Infinity).toBeLessThanOrEqual(WITHDRAWN_AT_MS + MAX_LEASE_MS);
  });

  // Guards against waiting for a report before a stop that had no answer is sent again.
  it('is stopped again as soon as a stop had no answer', async (t) => {
    const worker = await withdrawn(t, 2);
    const end = worker.outcomes.get('left.0.0.0');
    expect(end?.end).toEqual(RunOutcome.stopped);
    // Two unanswered orders of 120 ms, each followed by a period of the timer, and the stop itself.
    expect(end?.atMs ?? Infinity).toBeLessThanOrEqual(WITHDRAWN_AT_MS + 2 * (120 + 20) + 25);
  });
});

describe('a new owner of a cell and a run that its submitter claims', () => {
  // Guards against losing work in an ordinary change of owner.
  it('extends the lease in time, so that the run goes on to its end', async (t) => {
    const batch = claimOf('alive', 1500);
    const worker = new LeasedWorker('w0');
    worker.leaseEndsAtMs = LEASE_LEFT_MS;
    worker.hold('alive.0.0.0', 1500);
    const world = worldOf(t, worker);
    await world.advance(CLAIM_MS);
    const record = run(world, batch);
    await world.advance(2000);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(worker.starts).toEqual([]);
  });

  // Guards against a claimed run that lapses because the run beside it is not claimed.
  it('extends the lease in time beside a run that nobody claims', async (t) => {
    const batch = claimOf('alive', 1500);
    const worker = workerWithLeftOver();
    worker.hold('alive.0.0.0', 1500);
    const world = worldOf(t, worker);
    await world.advance(CLAIM_MS);
    const record = run(world, batch);
    await world.advance(2000);
    expect(worker.outcomes.get(LEFT_OVER)?.end).toEqual(RunOutcome.stopped);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(worker.starts).toEqual([]);
  });
});

describe('a worker that never answers again', () => {
  // Guards against renewals without an answer that push the end of the leases ahead of them.
  it('loses its runs when the leases are over, so that the tasks start elsewhere', async (t) => {
    const world = worldOf(t, new LeasedWorker('w0'), new LeasedWorker('w1'));
    await world.advance(5);
    run(world, batchOf({ payload: '900', estimateMs: 900, goalMs: 5000, deadlineInMs: 6000 }));
    await world.advance(100);
    const busy = world.workers.find(({ starts }) => starts.length > 0);
    Object.assign(busy ?? {}, { silent: true });
    await world.advance(3000);
    expect(world.workers.map(({ starts }) => starts.length)).toEqual([1, 1]);
  });
});

describe('an owner that stood still while a batch waited', () => {
  const PAUSE_MS = 2300;

  /** A world whose only worker is full with two runs that end within the pause; a batch waits. */
  async function waiting(t: TestContext): Promise<{ world: OwnerWorld; batch: TaskBatch }> {
    const world = worldOf(t, new LeasedWorker('w0'));
    await world.advance(5);
    const long = { estimateMs: 600, payload: '600', goalMs: 9000, deadlineInMs: 9000 };
    run(world, batchOf({ ...long, taskCount: 2 }));
    const batch = batchOf({ ...long, jobId: 'waits', begun: true });
    run(world, batch);
    await world.advance(95);
    return { world, batch };
  }

  function startsOf(world: OwnerWorld): readonly string[] {
    return world.workers.flatMap(({ starts }) => starts.map(({ task }) => task));
  }

  function startedAtMs(world: OwnerWorld): number | undefined {
    return world.workers[0]?.starts.find(({ task }) => task === 'waits.0.0.0')?.atMs;
  }

  // Guards against a start by the timer, which runs before the end of the submitter's call is read.
  it('does not start it if its submitter has closed the call meanwhile', async (t) => {
    const { world, batch } = await waiting(t);
    expect(startsOf(world).length).toEqual(2);
    world.pause(PAUSE_MS);
    await world.advance(3);
    world.owner.withdraw(batch.batchId, BatchReason.withdrawn);
    await world.advance(2000);
    expect(startsOf(world).length).toEqual(2);
  });

  // Guards against a start at the end of a suspension, which the steady clock does not count.
  it('does not start it either if its machine was suspended', async (t) => {
    const { world, batch } = await waiting(t);
    await world.advance(350);
    world.suspend(PAUSE_MS);
    // The runs of the other batch end, so that there is room.
    await world.advance(300);
    world.owner.withdraw(batch.batchId, BatchReason.withdrawn);
    await world.advance(2000);
    expect(startsOf(world).length).toEqual(2);
  });

  // Guards against a hold that ends before a submitter that fell silent meanwhile counts as gone.
  it('starts it 450 ms after the pause, unless it is withdrawn', async (t) => {
    const { world } = await waiting(t);
    world.pause(PAUSE_MS);
    await world.advance(1000);
    // The first and the last event may each come a period of the timer later.
    expect(startedAtMs(world) ?? 0).toBeGreaterThanOrEqual(100 + PAUSE_MS + 450);
    expect(startedAtMs(world) ?? Infinity).toBeLessThanOrEqual(100 + PAUSE_MS + 450 + 2 * 20);
  });

  // Guards against starts that are held after each short delay of a loaded host.
  it('starts it at once after 350 ms', async (t) => {
    const { world } = await waiting(t);
    await world.advance(400);
    world.pause(350);
    await world.advance(25);
    expect(startsOf(world).length).toEqual(3);
  });
});

describe('a start that has no answer and is carried out late', () => {
  const LONG = { payload: '900', estimateMs: 900, goalMs: 9000, deadlineInMs: 12_000 } as const;

  /** A world whose worker that is chosen first leaves a start unanswered, and carries it out late. */
  function lateWorld(t: TestContext, lateMs: number, lostStops: number): OwnerWorld {
    const first = new LeasedWorker('w0');
    Object.assign(first, { lateStartsMs: [lateMs], lostStops });
    return worldOf(t, first, new LeasedWorker('w1'));
  }

  // Guards against a second run after the lease of the start, which renewals have extended at the worker.
  it('does not run beside a second run when its stops are lost at first', async (t) => {
    const world = lateWorld(t, 1679, 12);
    await world.advance(5);
    const record = run(world, batchOf(LONG));
    await world.advance(8000);
    expect(world.overlaps).toEqual([]);
    expect(record.outcome).toEqual({ type: 'done' });
  });

  // Guards against holding the task until the late start, although the worker refuses it by then.
  it('lets its task start again once a stop is confirmed and a list lacks the run', async (t) => {
    const world = lateWorld(t, 5000, 0);
    await world.advance(5);
    run(world, batchOf(LONG));
    await world.advance(800);
    expect(world.workers.flatMap(({ starts }) => starts).length).toEqual(1);
    await world.advance(7000);
    expect(world.workers.flatMap(({ starts }) => starts).length).toEqual(1);
  });

  // Guards against leases that make the worker carry the start out when it answers again.
  it('does not run beside a second run when its worker was silent beyond its leases', async (t) => {
    const world = lateWorld(t, 1900, 0);
    await world.advance(5);
    const record = run(world, batchOf(LONG));
    await world.advance(3);
    const [first, second] = world.workers;
    Object.assign(first ?? {}, { silent: true });
    await world.advance(1500);
    expect(second?.starts.length).toEqual(1);
    Object.assign(first ?? {}, { silent: false, lostStops: 3 });
    await world.advance(3000);
    expect(world.overlaps).toEqual([]);
    expect(record.outcome).toEqual({ type: 'done' });
  });

  // Guards against a caller that waits beyond its deadline, and against a worker that is lost for good.
  it('holds its task until the deadline if no stop is ever confirmed, and uses the worker again', async (t) => {
    const worker = new LeasedWorker('w0');
    Object.assign(worker, { lateStartsMs: [100_000], lostStops: 1e9 });
    const world = worldOf(t, worker);
    await world.advance(5);
    const record = run(world, batchOf({ ...LONG, deadlineInMs: 3000 }));
    await world.advance(3100);
    const { outcome } = record;
    expect(outcome?.type === 'lost' ? outcome.reason : outcome?.type).toEqual(BatchReason.deadline);
    await world.advance(30_000);
    const next = run(world, batchOf({ ...LONG, payload: '60' }));
    await world.advance(400);
    expect(next.outcome).toEqual({ type: 'done' });
  });
});

describe('a job that its client submits again while a run of it is here', () => {
  const FIRST = { jobId: 'twice', estimateMs: 900, goalMs: 9000, deadlineInMs: 12_000 } as const;

  /** A world in which the first submission is running; both workers lose `lostStops` stops. */
  async function submittedOnce(
    t: TestContext,
    runMs: number,
    lostStops: number,
  ): Promise<{ world: OwnerWorld; first: TaskBatch; record: { outcome: BatchOutcome | null } }> {
    const workers = ['w0', 'w1'].map((id) => new LeasedWorker(id));
    workers.forEach((worker) => Object.assign(worker, { lostStops }));
    const world = worldOf(t, ...workers);
    await world.advance(5);
    const first = batchOf({ ...FIRST, payload: String(runMs) });
    const record = run(world, first);
    await world.advance(WITHDRAWN_AT_MS - 5);
    return { world, first, record };
  }

  // Guards against a start beside an earlier run that is being stopped.
  it('starts when the end of the stopped run is known, with a higher number', async (t) => {
    const { world, first } = await submittedOnce(t, 5000, 3);
    world.owner.withdraw(first.batchId, BatchReason.withdrawn);
    const record = run(world, batchOf({ ...FIRST, payload: '900' }));
    await world.advance(3000);
    expect(world.overlaps).toEqual([]);
    const starts = world.workers.flatMap((worker) => worker.starts);
    expect(starts.map((start) => start.run)).toEqual([1, 2]);
    expect(record.outcome).toEqual({ type: 'done' });
  });

  // Guards against renewals for a run whose submitter is gone, because a new batch waits for its end.
  it('gives the stopped run no lease after the withdrawal', async (t) => {
    const { world, first } = await submittedOnce(t, 5000, 1e9);
    world.owner.withdraw(first.batchId, BatchReason.withdrawn);
    const record = run(world, batchOf({ ...FIRST, payload: '900' }));
    await world.advance(3000);
    expect(world.overlaps).toEqual([]);
    expect(record.outcome).toEqual({ type: 'done' });
    const starts = world.workers.flatMap((worker) => worker.starts);
    expect(starts[1]?.atMs ?? Infinity).toBeLessThanOrEqual(WITHDRAWN_AT_MS + MAX_LEASE_MS + 100);
  });

  // Guards against a second start of a task that has ended well before its stop arrived.
  it('takes the success of a run that ended before its stop', async (t) => {
    const { world, first } = await submittedOnce(t, 400, 3);
    world.owner.withdraw(first.batchId, BatchReason.withdrawn);
    const record = run(world, batchOf({ ...FIRST, payload: '900' }));
    await world.advance(400);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(world.workers.flatMap(({ starts }) => starts).length).toEqual(1);
  });

  // Guards against two batches that both wait for, and start, one task.
  it('ends the first submission as lost, and goes on with its run', async (t) => {
    const { world, record } = await submittedOnce(t, 900, 0);
    const second = run(world, batchOf({ ...FIRST, payload: '900' }));
    await world.advance(1000);
    const reason = record.outcome?.type === 'lost' ? record.outcome.reason : null;
    expect(reason).toEqual(BatchReason.superseded);
    expect(second.outcome).toEqual({ type: 'done' });
    expect(world.workers.flatMap(({ starts }) => starts).length).toEqual(1);
  });
});
