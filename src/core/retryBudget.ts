/**
 * Retry budget: a token bucket that is filled by starts, so that retries stay a bounded fraction of
 * the starts however many workers refuse.
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

  /** Adds a fraction of a token for a start. */
  recordStart(): void {
    this.#tokens = Math.min(this.#burst, this.#tokens + this.#fraction);
  }

  /** Takes one token. False if there is none. */
  tryTake(nowMs: number): boolean {
    this.#refill(nowMs);
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  /** Adds one token per `REFILL_PERIOD_MS`, so that a host with few starts can retry too. */
  #refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#refilledAtMs);
    this.#refilledAtMs = nowMs;
    this.#tokens = Math.min(this.#burst, this.#tokens + elapsedMs / REFILL_PERIOD_MS);
  }
}
