/**
 * Drain of a cell, while its failure domain is drained by the operators. No task is started. A batch
 * of which nothing has been started is refused, and one that has started goes back to its submitter
 * once none of its tasks can be in progress, so that the rest runs in other domains. Runs in
 * progress go on, and their leases are renewed, until they end.
 */
import type { Batch } from './batch';
import { refusalOf, type CellState } from './cellState';
import { BatchReason, type BatchOutcome, type CellRoom } from './messages';

/** Time after which a refused caller may come back; operators do not say when a drain ends. */
const RETRY_AFTER_MS = 1000;

/** Room in a drained cell. */
export const NO_ROOM_IN_DRAIN: CellRoom = {
  startable: 0,
  tasks: 0,
  retryAfterMs: RETRY_AFTER_MS,
  reason: BatchReason.domainDrained,
};

/** True if no task of the batch is in progress, or held until a lost worker has been judged. */
function isIdle(batch: Batch, nowMs: number): boolean {
  return batch.progress(nowMs).started.length === 0 && !batch.tasks.some(({ isHeld }) => isHeld);
}

function returnOf(batch: Batch, nowMs: number): BatchOutcome {
  const reason = BatchReason.domainDrained;
  if (!batch.started) return refusalOf(reason, RETRY_AFTER_MS);
  return { type: 'lost', reason, ...batch.progress(nowMs), failures: batch.failures };
}

/** Whether one cell is drained, and what that means for its batches. */
export class CellDrain {
  readonly #state: CellState;

  #sinceMs: number | null = null;

  #isEmpty = false;

  constructor(state: CellState) {
    this.#state = state;
  }

  get isActive(): boolean {
    return this.#sinceMs !== null;
  }

  begin(nowMs: number): void {
    if (this.isActive) return;
    this.#sinceMs = nowMs;
    this.#isEmpty = false;
    const { size: batches } = this.#state.batches;
    this.#state.logDecision('drain-begun', { batches, runs: this.#state.runTracker.runCount });
    this.returnBatches(nowMs);
  }

  end(nowMs: number): void {
    if (this.#sinceMs === null) return;
    const elapsedMs = Math.round(nowMs - this.#sinceMs);
    const runs = this.#state.runTracker.runCount;
    this.#sinceMs = null;
    this.#state.logDecision('drain-ended', { elapsedMs, runs });
  }

  /** The refusal of a new batch; null if it may claim runs that the previous owner has started. */
  refusalFor(batch: Batch): BatchOutcome | null {
    if (!this.isActive || batch.spec.mayRun) return null;
    return refusalOf(BatchReason.domainDrained, RETRY_AFTER_MS);
  }

  /** Ends the batches that have nothing in progress, so that their submitters send them elsewhere. */
  returnBatches(nowMs: number): void {
    this.#state.batches.forEach((batch) => {
      if (batch.isDone || !isIdle(batch, nowMs)) return;
      this.#state.finish(batch, returnOf(batch, nowMs), nowMs);
    });
    this.#reportEmpty(nowMs);
  }

  /** Logs once that the last run has ended. */
  #reportEmpty(nowMs: number): void {
    if (this.#isEmpty || this.#sinceMs === null || this.#state.runTracker.runCount > 0) return;
    this.#isEmpty = true;
    this.#state.logDecision('drain-completed', { elapsedMs: Math.round(nowMs - this.#sinceMs) });
  }
}
