/** The process's clocks. The monotonic one goes on while the process is stopped by a signal. */
import type { Clock } from '../core/clock';

/** Monotonic time since an arbitrary point before the start of the process. */
export const MONOTONIC_CLOCK: Clock = {
  nowMs: () => performance.now(),
};
