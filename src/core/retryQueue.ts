/**
 * Submissions with tasks that are to be retried because they provably did not start. Slots for them
 * are requested again as the retry budget allows. The deadline of the job limits how long they
 * wait.
 */
import type { CoreOptions } from './options';
import { RetryBudget } from './retryBudget';
import type { SlotRequester } from './slotRequester';
import type { Submission } from './submission';

/** Submissions that wait for the retry budget. */
export class RetryQueue {
  readonly #limited: boolean;

  readonly #budget: RetryBudget;

  readonly #requester: SlotRequester;

  readonly #waiting = new Set<Submission>();

  constructor(options: CoreOptions, requester: SlotRequester) {
    this.#limited = options.guards.retryBudget;
    this.#budget = new RetryBudget(options.retryFraction, options.retryBurst);
    this.#requester = requester;
  }

  /** Records a start, which adds a fraction of a retry to the budget. */
  recordStart(): void {
    this.#budget.recordStart();
  }

  add(submission: Submission, nowMs: number): void {
    this.#waiting.add(submission);
    this.requestSlots(nowMs);
  }

  /**
   * Requests slots for as many retries as the budget allows. Finished submissions leave the queue,
   * because they have no queued tasks.
   */
  requestSlots(nowMs: number): void {
    this.#waiting.forEach((submission) => {
      const missing = submission.queuedTasks - this.#requester.requestedTasks(submission);
      const allowed = this.#takeTokens(missing, nowMs);
      if (allowed > 0) this.#requester.requestSlots(submission, allowed, nowMs);
      if (allowed === missing) this.#waiting.delete(submission);
    });
  }

  #takeTokens(wanted: number, nowMs: number): number {
    if (!this.#limited) return wanted;
    let allowed = 0;
    while (allowed < wanted && this.#budget.tryTake(nowMs)) allowed += 1;
    return allowed;
  }
}
