/**
 * Time and randomness as the decision code sees them: both are passed in, so that a run with the
 * same events, clock and seed makes the same decisions.
 */

/** Monotonic time in milliseconds; it goes on while the process is paused. */
export interface Clock {
  nowMs(): number;
}

/** Uniform random numbers in [0, 1). */
export interface RandomSource {
  next(): number;
}
