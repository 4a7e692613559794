/**
 * Times of leases on two clocks: that of the host which gives them, and that of the worker which
 * measures them and may run slower.
 */

/** A worker's clock may run slower than this host's by up to this fraction. */
const MAX_CLOCK_DRIFT = 0.02;
/** Covers rounding and network delay of a request. */
const LEASE_MARGIN_MS = 30;

/** Latest end, on this host's clock, of a lease of `leaseMs` given at `nowMs`. */
export function latestLeaseEndMs(leaseMs: number, nowMs: number): number {
  return nowMs + leaseMs * (1 + MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS;
}

/** Longest lease, on the worker's clock, that ends within `limitMs` on this host's clock. */
export function longestLeaseMs(limitMs: number): number {
  return (limitMs - LEASE_MARGIN_MS) / (1 + MAX_CLOCK_DRIFT);
}

/** A reading of the clock of a worker's process, which starts anew with each process. */
export class WorkerClock {
  /** Start of the process, in Unix milliseconds. */
  readonly processStartMs: number;

  readonly #clockMs: number;

  readonly #readAtMs: number;

  /** `readAtMs` is the time of the reading on this host's clock. */
  constructor(processStartMs: number, clockMs: number, readAtMs: number) {
    this.processStartMs = processStartMs;
    this.#clockMs = clockMs;
    this.#readAtMs = readAtMs;
  }

  /** True if another reading was taken before this one, by this process or one before it. */
  isAfter(processStartMs: number, clockMs: number): boolean {
    if (processStartMs === this.processStartMs) return clockMs < this.#clockMs;
    return processStartMs < this.processStartMs;
  }

  /** Time on the worker's clock, at `nowMs` on this host's. */
  timeMs(nowMs: number): number {
    return this.#clockMs + nowMs - this.#readAtMs;
  }
}
