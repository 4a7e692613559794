/** A job in progress at the host that accepted it, and the outcomes of jobs. */
import type { Job, QueuePolicy } from '../../cells/job';

/** How a job ended. */
export type JobOutcome =
  | { readonly type: 'completed' }
  | { readonly type: 'failed' }
  /** Nothing has run or will run; the caller may retry after the given time. */
  | { readonly type: 'refused'; readonly reason: string; readonly retryAfterMs: number }
  /** Abandoned after it may have started; it may be submitted again. */
  | { readonly type: 'lost'; readonly reason: string };

/** A caller's request to run a job. */
export interface JobRequest {
  readonly job: Job;
  readonly policy: QueuePolicy;
  /** How long the caller waits for the answer. */
  readonly deadlineInMs: number;
}

/** A job in progress. */
export class RunningJob {
  readonly request: JobRequest;

  readonly arrivedAtMs: number;

  readonly deadlineAtMs: number;

  /** Set once a batch has ended other than refused; the job can no longer be refused. */
  begun = false;

  /**
   * Time for which no cell could start the job: there was no owner yet, or runs of an earlier
   * submission had to end. It is no sign of overload, so objectives count from its end.
   */
  heldMs = 0;

  /** Task groups that have not been refused by all cells, so that they may have started. */
  openGroups = 0;

  readonly #endListeners = new Set<() => void>();

  #hasEnded = false;

  constructor(request: JobRequest, arrivedAtMs: number, deadlineAtMs: number) {
    this.request = request;
    this.arrivedAtMs = arrivedAtMs;
    this.deadlineAtMs = deadlineAtMs;
  }

  /** Once true, no batch of the job may be sent. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /**
   * Ends the job: withdraws batches in progress and ends all waits at once. Nothing may go on after
   * this, because the caller may resubmit the job to another host as soon as it has the answer.
   */
  end(): void {
    this.#hasEnded = true;
    const listeners = [...this.#endListeners];
    this.#endListeners.clear();
    listeners.forEach((listener) => listener());
  }

  /** Calls `listener` when the job ends. Returns a function that removes the listener. */
  onEnd(listener: () => void): () => void {
    this.#endListeners.add(listener);
    return () => {
      this.#endListeners.delete(listener);
    };
  }

  /** Waits for the delay, or until the job ends if that is earlier. */
  wait(delayMs: number): Promise<void> {
    if (this.#hasEnded) return Promise.resolve();
    return new Promise((resolve) => {
      const removeListener = this.onEnd(resolve);
      setTimeout(() => {
        removeListener();
        resolve();
      }, delayMs);
    });
  }
}

/**
 * The first outcome other than `completed` determines the result. `refused` asserts that nothing
 * has run, so it is returned only if all outcomes are refusals, and as `lost` otherwise.
 */
function combined(outcomes: readonly JobOutcome[]): JobOutcome {
  const first = outcomes.find(({ type }) => type !== 'completed');
  if (first?.type !== 'refused') return first ?? { type: 'completed' };
  const areAllRefused = outcomes.every(({ type }) => type === 'refused');
  return areAllRefused ? first : { type: 'lost', reason: first.reason };
}

/**
 * Resolves to `completed` when all outcomes are. The first other outcome ends the job. `failed` and
 * `lost` are returned at once, `refused` only after the rest has been withdrawn without being
 * accepted.
 */
export function combineOutcomes(
  job: RunningJob,
  pending: readonly Promise<JobOutcome>[],
): Promise<JobOutcome> {
  return new Promise((resolve) => {
    const outcomes: JobOutcome[] = [];
    const add = (outcome: JobOutcome) => {
      outcomes.push(outcome);
      if (outcome.type !== 'completed') job.end();
      const hasRun = outcome.type === 'failed' || outcome.type === 'lost';
      if (hasRun || outcomes.length === pending.length) resolve(combined(outcomes));
    };
    pending.forEach((pendingOutcome) => pendingOutcome.then(add));
  });
}
