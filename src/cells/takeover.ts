/**
 * Takes over the runs that a cell's previous owner started. Workers list what runs and what has ended;
 * the submitters' batches claim it, whichever comes first. A task that may still run under a lease of
 * the previous owner is not started before those leases are over.
 */
import { RunEnd } from './actions';
import type { Batch, TaskEntry } from './batch';
import type { CellState } from './cellState';
import { BatchReason } from './messages';
import { RunState, type Run } from './run';
import { StopReason } from './runLedger';

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
    const { leaseMs, abandonMs } = this.#state.options;
    return nowMs + abandonMs + leaseMs;
  }

  /** Finds runs of a new batch's tasks that are in progress or have ended without a claim. */
  claimFor(batch: Batch, nowMs: number): void {
    const { ledger, batches } = this.#state;
    const superseded = new Set<Batch>();
    batch.tasks.forEach((task) => {
      const run = ledger.find(task.name);
      if (run) {
        const before = run.batchId === null ? undefined : batches.get(run.batchId);
        if (before) superseded.add(before);
        this.#claim(batch, task, run);
      } else if (batch.order.mayRun) {
        this.#claimEnd(task);
      }
    });
    superseded.forEach((before) => this.#state.giveUp(before, BatchReason.superseded, nowMs));
  }

  /** A worker has told of a run after the batch that waits for it had come. */
  found(name: string): void {
    const { batches, ledger } = this.#state;
    const batch = [...batches.values()].find(
      (candidate) => candidate.order.mayRun && candidate.task(name)?.workerId === null,
    );
    const task = batch?.task(name);
    if (!batch || !task || task.done) return;
    const run = ledger.find(name);
    if (run) this.#claim(batch, task, run);
    else this.#claimEnd(task);
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

  #claim(batch: Batch, task: TaskEntry, run: Run): void {
    const claimed = run;
    const entry = task;
    claimed.batchId = batch.id;
    claimed.awaited = true;
    claimed.shape = batch.order.shape;
    claimed.queue = batch.order.queue;
    claimed.expectedMs = batch.expectedMs;
    entry.workerId = run.workerId;
    entry.lastRun = Math.max(entry.lastRun, run.run);
    batch.markStarted();
    this.#state.decide('run-claimed', { task: run.task, run: run.run, worker: run.workerId });
  }

  #claimEnd(task: TaskEntry): void {
    const end = this.#state.ledger.takeUnclaimedEnd(task.name);
    if (!end) return;
    const entry = task;
    entry.lastRun = Math.max(entry.lastRun, end.run);
    entry.notBeforeMs = 0;
    if (end.end === RunEnd.succeeded) entry.done = true;
    if (end.end === RunEnd.failed) entry.failures += 1;
  }
}
