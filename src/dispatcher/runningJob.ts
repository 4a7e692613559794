/** A job in progress at the host that took it, and how jobs end. */
import type { Job, QueuePolicy } from '../cells/job';

/** How a job ended. */
export type JobOutcome =
  | { readonly type: 'completed' }
  | { readonly type: 'failed' }
  /** Nothing of it has run or ever will; the caller may come back after the given time. */
  | { readonly type: 'refused'; readonly reason: string; readonly retryAfterMs: number }
  /** Given up after a start; it may be submitted again. */
  | { readonly type: 'lost'; readonly reason: string };

/** A job that a caller waits for. */
export interface JobRequest {
  readonly job: Job;
  readonly policy: QueuePolicy;
  /** Time that the caller waits. */
  readonly deadlineInMs: number;
}

/** A job that is in progress, until it ends in whatever way. */
export class RunningJob {
  readonly request: JobRequest;

  readonly arrivedAtMs: number;

  readonly deadlineAtMs: number;

  /** A part of it has ended otherwise than refused, so that it can't be refused any more. */
  begun = false;

  /** Parts that have not been refused by all cells; they may have started. */
  openParts = 0;

  readonly #endListeners = new Set<() => void>();

  #hasEnded = false;

  constructor(request: JobRequest, arrivedAtMs: number, deadlineAtMs: number) {
    this.request = request;
    this.arrivedAtMs = arrivedAtMs;
    this.deadlineAtMs = deadlineAtMs;
  }

  /** Once true, no batch of it may be sent. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /**
   * Ends the job: batches in progress are withdrawn and waits are over at once. Nothing of it may go on,
   * because its caller may hand it in again elsewhere after the answer.
   */
  end(): void {
    this.#hasEnded = true;
    const listeners = [...this.#endListeners];
    this.#endListeners.clear();
    listeners.forEach((listener) => listener());
  }

  /** Calls `listener` at the end of the job; returns how to take that back. */
  onEnd(listener: () => void): () => void {
    this.#endListeners.add(listener);
    return () => {
      this.#endListeners.delete(listener);
    };
  }

  /** Waits, but not beyond the end of the job. */
  pause(delayMs: number): Promise<void> {
    if (this.#hasEnded) return Promise.resolve();
    return new Promise((resolve) => {
      const forget = this.onEnd(resolve);
      setTimeout(() => {
        forget();
        resolve();
      }, delayMs);
    });
  }
}

/** The first outcome that is not a success decides, but a refusal says that nothing at all has run. */
function joined(outcomes: readonly JobOutcome[]): JobOutcome {
  const first = outcomes.find(({ type }) => type !== 'completed');
  if (first?.type !== 'refused') return first ?? { type: 'completed' };
  const areAllRefused = outcomes.every(({ type }) => type === 'refused');
  return areAllRefused ? first : { type: 'lost', reason: first.reason };
}

/**
 * Completed when all are. The first other outcome ends the job, and is returned at once; a refusal only
 * when the rest has been withdrawn and nothing of it was taken.
 */
export function joinOutcomes(
  job: RunningJob,
  pending: readonly Promise<JobOutcome>[],
): Promise<JobOutcome> {
  return new Promise((resolve) => {
    const outcomes: JobOutcome[] = [];
    const add = (outcome: JobOutcome) => {
      outcomes.push(outcome);
      if (outcome.type !== 'completed') job.end();
      const hasRun = outcome.type === 'failed' || outcome.type === 'lost';
      if (hasRun || outcomes.length === pending.length) resolve(joined(outcomes));
    };
    pending.forEach((end) => end.then(add));
  });
}
