/**
 * Sources of time and randomness for the decision code. Both are injected, so that runs with the
 * same events, clock and seed make the same decisions.
 */

/** Monotonic time in milliseconds; it advances while the process is paused. */
export interface Clock {
  nowMs(): number;
}

/** Uniform random numbers in [0, 1). */
export interface RandomSource {
  next(): number;
}
