/**
 * Submissions with tasks whose start has provably not happened. Slots for them are requested again as
 * the retry budget allows; the job's deadline bounds how long they wait.
 */
import type { CoreOptions } from './options';
import { RetryBudget } from './retryBudget';
import type { SlotRequester } from './slotRequester';
import type { Submission } from './submission';

/** Retries that wait for the budget. */
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

  /** Accounts for a start, which allows a fraction of a retry. */
  earn(): void {
    this.#budget.earn();
  }

  add(submission: Submission, nowMs: number): void {
    this.#waiting.add(submission);
    this.place(nowMs);
  }

  /** Requests slots for what the budget allows. A finished submission has no queued tasks left. */
  place(nowMs: number): void {
    this.#waiting.forEach((submission) => {
      const missing = submission.queuedTasks - this.#requester.waiting(submission);
      const allowed = this.#allow(missing, nowMs);
      if (allowed > 0) this.#requester.place(submission, allowed, nowMs);
      if (allowed === missing) this.#waiting.delete(submission);
    });
  }

  #allow(wanted: number, nowMs: number): number {
    if (!this.#limited) return wanted;
    let allowed = 0;
    while (allowed < wanted && this.#budget.take(nowMs)) allowed += 1;
    return allowed;
  }
}
