/** Tracks when the submitter of a batch last confirmed that it awaits it, on the owner's clocks. */
import type { SubmitterContact } from '../../cells/submitterContact';
import { readClocks, type ClockReading, type HostClock } from './peerClocks';

/** The later of two readings, for each clock. */
export function laterReading(left: ClockReading, right: ClockReading): ClockReading {
  return {
    steadyMs: Math.max(left.steadyMs, right.steadyMs),
    dayMs: Math.max(left.dayMs, right.dayMs),
  };
}

/** The reading `durationMs` earlier. */
export function readingBefore(reading: ClockReading, durationMs: number): ClockReading {
  return { steadyMs: reading.steadyMs - durationMs, dayMs: reading.dayMs - durationMs };
}

/** Contact through the batch call itself and through the later status requests that list it. */
export class BatchContact implements SubmitterContact {
  readonly #clock: HostClock;

  readonly #sentAt: ClockReading;

  readonly #lastStatusRequestAt: () => ClockReading;

  /**
   * `sentAt` is when the batch was sent; `lastStatusRequestAt` is when the last status request was.
   */
  constructor(clock: HostClock, sentAt: ClockReading, lastStatusRequestAt: () => ClockReading) {
    this.#clock = clock;
    this.#sentAt = sentAt;
    this.#lastStatusRequestAt = lastStatusRequestAt;
  }

  /**
   * Uses both clocks: the monotonic one stops during a suspension, the time of day may be set back.
   */
  silentMs(): number {
    const now = readClocks(this.#clock);
    const lastContactAt = laterReading(this.#sentAt, this.#lastStatusRequestAt());
    return Math.max(now.steadyMs - lastContactAt.steadyMs, now.dayMs - lastContactAt.dayMs);
  }
}
