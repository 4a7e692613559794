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

/** What is known of a job that is in progress. */
export interface RunningJob {
  readonly request: JobRequest;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly aborts: Set<AbortController>;
  readonly outcome: Promise<JobOutcome>;
  waiters: number;
  /** A part of it has ended otherwise than refused, so that it can't be refused any more. */
  begun: boolean;
  /** Parts that have not been refused by all cells; they may have started. */
  openParts: number;
  abandoned: boolean;
}

/** Completed when all are; otherwise the first other outcome, and the rest is withdrawn. */
export function firstObstacle(
  job: RunningJob,
  outcomes: readonly Promise<JobOutcome>[],
): Promise<JobOutcome> {
  return new Promise((resolve) => {
    let left = outcomes.length;
    outcomes.forEach((pending) => {
      pending.then((outcome) => {
        left -= 1;
        if (outcome.type !== 'completed') {
          resolve(outcome);
          job.aborts.forEach((abort) => abort.abort());
        } else if (left === 0) {
          resolve(outcome);
        }
      });
    });
  });
}
