/**
 * Takes over the runs that a cell's previous owner started. Workers list what runs and what has ended;
 * the submitters' batches claim it, whichever comes first. A task that may still run under a lease of
 * the previous owner is not started before those leases are over.
 */
import { RunOutcome } from './actions';
import type { Batch, TaskEntry } from './batch';
import type { CellState } from './cellState';
import { BatchReason } from './messages';
import { RunState, type Run } from './run';
import { StopReason } from './runDecisions';

/**
 * Time that a run found on a worker may go unclaimed by a submitter, in milliseconds. Leases there are
 * not extended meanwhile, and the claimed runs beside it need that again. Submitters that are alive
 * learn of a new owner within 150 ms. The least that is left of a lease after an owner was killed is
 * 1000 ms less a renewal of 350, a status call of 150 and a claim of 60.
 */
const CLAIM_WINDOW_MS = 250;

/** Takeover of one cell. */
export class Takeover {
  readonly #state: CellState;

  constructor(state: CellState) {
    this.#state = state;
  }

  /**
   * Time from which a task that no worker lists is surely not running. The list of workers may lack one
   * that still obeys the previous owner, which stops when its submitter has turned away from it.
   */
  settledAtMs(nowMs: number): number {
    const { leaseMs, abandonDetectionMs: abandonMs } = this.#state.options;
    return nowMs + abandonMs + leaseMs;
  }

  /** True if tasks of a new batch wait here for an earlier submission, or may be in progress here. */
  concerns(batch: Batch): boolean {
    const { ledger } = this.#state;
    if (batch.tasks.some(({ name }) => ledger.runsOf(name).length > 0)) return true;
    return this.#earlierBatches(batch).length > 0;
  }

  /**
   * Takes over from earlier submissions of a new batch's tasks, and finds runs of them that are in
   * progress or have ended without a claim.
   */
  claimFor(batch: Batch, nowMs: number): void {
    const superseded = this.#earlierBatches(batch);
    batch.tasks.forEach((task) => {
      if (!this.claimRun(batch, task)) this.#claimEnd(batch, task);
    });
    superseded.forEach((before) => {
      // A refusal would send its tasks to another cell.
      before.markStarted();
      this.#state.giveUp(before, BatchReason.superseded, nowMs);
    });
  }

  /** A worker has told of a run after the batch that waits for it had come. */
  found(name: string): void {
    const batch = [...this.#state.batches.values()].find((candidate) => {
      const task = candidate.task(name);
      return task !== undefined && !task.done && task.workerId === null;
    });
    const task = batch?.task(name);
    if (batch && task && !this.claimRun(batch, task)) this.#claimEnd(batch, task);
  }

  /**
   * Claims a run of a task that may be in progress; false if there is none. The task waits for the end
   * of a run that is being stopped, and is then started with a higher number if it has not succeeded.
   */
  claimRun(batch: Batch, task: TaskEntry): boolean {
    const runs = this.#state.ledger.runsOf(task.name);
    const run = runs.find(({ state }) => state !== RunState.stopping) ?? runs[0];
    if (run) this.#claim(batch, task, run);
    return run !== undefined;
  }

  /** Ends batches whose last task turned out to have succeeded under the previous owner. */
  update(nowMs: number): void {
    this.#state.batches.forEach((batch) => {
      if (batch.isDone) this.#state.finish(batch, { type: 'done' }, nowMs);
    });
  }

  /** Stops runs that no submitter has claimed. */
  stopUnclaimed(nowMs: number): void {
    const { ledger } = this.#state;
    ledger.workers.forEach((worker) => {
      worker.runs.forEach((run) => {
        const isUnclaimed = run.batchId === null && run.state === RunState.running;
        if (isUnclaimed && nowMs - run.startedAtMs > CLAIM_WINDOW_MS) {
          ledger.stop(run, StopReason.unclaimed, nowMs);
        }
      });
    });
  }

  /** Batches of the same job that have tasks of this one: its client has submitted the job again. */
  #earlierBatches(batch: Batch): readonly Batch[] {
    const { jobId } = batch.order;
    return [...this.#state.batches.values()].filter(
      (other) =>
        other !== batch &&
        other.order.jobId === jobId &&
        other.tasks.some(({ name }) => batch.task(name) !== undefined),
    );
  }

  #claim(batch: Batch, task: TaskEntry, run: Run): void {
    const claimed = run;
    const entry = task;
    claimed.batchId = batch.id;
    // No lease covers a run that is being stopped because its submitter may be gone.
    if (run.state !== RunState.stopping) claimed.awaited = true;
    claimed.shape = batch.order.shape;
    claimed.queue = batch.order.queue;
    claimed.expectedMs = batch.expectedMs;
    entry.workerId = run.workerId;
    entry.lastRun = Math.max(entry.lastRun, run.run);
    batch.markStarted();
    const { task: name, run: number, workerId, state } = run;
    this.#state.decide('run-claimed', { task: name, run: number, worker: workerId, state });
  }

  #claimEnd(batch: Batch, task: TaskEntry): void {
    const end = this.#state.ledger.takeUnclaimedEnd(task.name);
    if (!end) return;
    const entry = task;
    entry.lastRun = Math.max(entry.lastRun, end.run);
    // A job that is submitted anew runs from the start.
    if (!batch.order.mayRun) return;
    // Any other end says nothing of a later run, which the previous owner may have started elsewhere.
    if (end.end === RunOutcome.succeeded) entry.done = true;
    if (end.end === RunOutcome.failed) entry.failures += 1;
  }
}
