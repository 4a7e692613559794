/**
 * Retry budget: a token bucket that grows with the starts made, so that retries stay a bounded
 * fraction of the traffic however many workers refuse.
 */

const REFILL_PERIOD_MS = 100;

/** Tokens for retries of tasks that have provably not started. */
export class RetryBudget {
  readonly #fraction: number;

  readonly #burst: number;

  #tokens: number;

  #refilledAtMs = 0;

  constructor(fraction: number, burst: number) {
    this.#fraction = fraction;
    this.#burst = burst;
    this.#tokens = burst;
  }

  /** Accounts for one first start. */
  earn(): void {
    this.#tokens = Math.min(this.#burst, this.#tokens + this.#fraction);
  }

  /** Takes one token; false if the budget is used up for now. */
  take(nowMs: number): boolean {
    this.#refill(nowMs);
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  /** One token each 100 ms, so that an idle host is not left without retries. */
  #refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#refilledAtMs);
    this.#refilledAtMs = nowMs;
    this.#tokens = Math.min(this.#burst, this.#tokens + elapsedMs / REFILL_PERIOD_MS);
  }
}
