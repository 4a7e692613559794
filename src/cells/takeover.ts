/**
 * Takes over the runs that a cell's previous owner started. Workers list running and ended runs,
 * and the batches that submitters send claim them; either may arrive first. A task that may still
 * be running under a lease of the previous owner is not started until those leases have expired.
 */
import { RunOutcome } from './actions';
import type { Batch, TaskEntry } from './batch';
import type { CellState } from './cellState';
import { BatchReason } from './messages';
import { RunState, type Run } from './run';
import { StopReason } from './runDecisions';

/**
 * Time after which a run found on a worker is stopped if no submitter has claimed it, in
 * milliseconds. Until then the leases of that worker are not extended, although its claimed runs
 * need that soon. Live submitters learn of a new owner within 150 ms. After an owner was killed,
 * the shortest remaining lease is 1000 ms less 350 ms for a renewal, 150 ms for a status call and
 * 60 ms for claiming the cell.
 */
const CLAIM_WINDOW_MS = 250;

/** Takeover of the runs of one cell. */
export class Takeover {
  readonly #state: CellState;

  constructor(state: CellState) {
    this.#state = state;
  }

  /**
   * Time from which a task that no worker lists is certain not to be running. The worker list may
   * lack a worker that still accepts the previous owner, which stops its runs once it notices that
   * submitters no longer use it.
   */
  previousRunsOverAtMs(nowMs: number): number {
    const { leaseMs, abandonDetectionMs: abandonMs } = this.#state.options;
    return nowMs + abandonMs + leaseMs;
  }

  /**
   * True if tasks of a new batch may be in progress here, or wait here for an earlier submission.
   */
  holdsTasksOf(batch: Batch): boolean {
    const { runTracker } = this.#state;
    if (batch.tasks.some(({ name }) => runTracker.runsOf(name).length > 0)) return true;
    return this.#earlierBatches(batch).length > 0;
  }

  /**
   * Lets a new batch claim runs of its tasks that are in progress or have ended unclaimed, and ends
   * earlier submissions of those tasks.
   */
  claimRunsFor(batch: Batch, nowMs: number): void {
    const superseded = this.#earlierBatches(batch);
    batch.tasks.forEach((task) => {
      if (!this.claimRun(batch, task)) this.#claimEnd(batch, task);
    });
    superseded.forEach((earlier) => {
      // Ends as lost: a refusal would make its submitter send the tasks to another cell.
      earlier.markStarted();
      this.#state.giveUp(earlier, BatchReason.superseded, nowMs);
    });
  }

  /** A worker has listed a run; claims it if a batch that arrived before waits for its task. */
  runFound(name: string): void {
    const batch = [...this.#state.batches.values()].find((candidate) => {
      const task = candidate.task(name);
      return task !== undefined && !task.done && task.workerId === null;
    });
    const task = batch?.task(name);
    if (batch && task && !this.claimRun(batch, task)) this.#claimEnd(batch, task);
  }

  /**
   * Claims a run of the task that may be in progress; false if there is none. If that run is being
   * stopped, the task waits for its end and, unless it has succeeded, starts with a higher run
   * number.
   */
  claimRun(batch: Batch, task: TaskEntry): boolean {
    const runs = this.#state.runTracker.runsOf(task.name);
    const run = runs.find(({ state }) => state !== RunState.stopping) ?? runs[0];
    if (run) this.#claim(batch, task, run);
    return run !== undefined;
  }

  /** Ends batches whose tasks have all succeeded, the last of them under the previous owner. */
  finishCompletedBatches(nowMs: number): void {
    this.#state.batches.forEach((batch) => {
      if (batch.isDone) this.#state.finish(batch, { type: 'done' }, nowMs);
    });
  }

  /** Stops runs that no submitter has claimed in time. */
  stopUnclaimed(nowMs: number): void {
    const { runTracker } = this.#state;
    runTracker.workers.forEach((worker) => {
      worker.runs.forEach((run) => {
        const isUnclaimed = run.batchId === null && run.state === RunState.running;
        if (isUnclaimed && nowMs - run.startedAtMs > CLAIM_WINDOW_MS) {
          runTracker.stop(run, StopReason.unclaimed, nowMs);
        }
      });
    });
  }

  /** Batches of the same job with tasks in common: the client has submitted the job again. */
  #earlierBatches(batch: Batch): readonly Batch[] {
    const { jobId } = batch.spec;
    return [...this.#state.batches.values()].filter(
      (other) =>
        other !== batch &&
        other.spec.jobId === jobId &&
        other.tasks.some(({ name }) => batch.task(name) !== undefined),
    );
  }

  #claim(batch: Batch, task: TaskEntry, run: Run): void {
    const claimed = run;
    const entry = task;
    claimed.batchId = batch.id;
    // No lease may cover a run that is being stopped because its submitter may be gone.
    if (run.state !== RunState.stopping) claimed.awaited = true;
    claimed.shape = batch.spec.shape;
    claimed.queue = batch.spec.queue;
    claimed.expectedMs = batch.expectedMs;
    entry.workerId = run.workerId;
    entry.mayHaveRun = false;
    entry.lastRun = Math.max(entry.lastRun, run.run);
    batch.markStarted();
    const { task: name, run: number, workerId, state } = run;
    this.#state.logDecision('run-claimed', { task: name, run: number, worker: workerId, state });
  }

  #claimEnd(batch: Batch, task: TaskEntry): void {
    const end = this.#state.runTracker.takeUnclaimedEnd(task.name);
    if (!end) return;
    const entry = task;
    entry.mayHaveRun = false;
    entry.lastRun = Math.max(entry.lastRun, end.run);
    // A job that is submitted again runs from the beginning.
    if (!batch.spec.mayRun) return;
    // An end other than success does not rule out a later run that the previous owner started
    // elsewhere.
    if (end.outcome === RunOutcome.succeeded) entry.done = true;
    if (end.outcome === RunOutcome.failed) entry.failures += 1;
  }
}
