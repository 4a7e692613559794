/** Monotonic clock of the process. It keeps running while the process is stopped by a signal. */
import type { Clock } from '../core/clock';

/** Time since an arbitrary origin before the start of the process. */
export const MONOTONIC_CLOCK: Clock = {
  nowMs: () => performance.now(),
};
