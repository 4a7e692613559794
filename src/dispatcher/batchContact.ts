/** When the submitter of a batch last said that it waits for it, by the clocks of the owner. */
import type { SubmitterContact } from '../cells/submitterContact';
import { readClocks, type ClockReading, type HostClock } from './peerClocks';

/** The later of two moments, on each clock. */
export function laterReading(left: ClockReading, right: ClockReading): ClockReading {
  return {
    steadyMs: Math.max(left.steadyMs, right.steadyMs),
    dayMs: Math.max(left.dayMs, right.dayMs),
  };
}

/** The moment `durationMs` before a reading. */
export function readingBefore(reading: ClockReading, durationMs: number): ClockReading {
  return { steadyMs: reading.steadyMs - durationMs, dayMs: reading.dayMs - durationMs };
}

/** Contact by the batch's own call, and by the questions that name it since. */
export class BatchContact implements SubmitterContact {
  readonly #clock: HostClock;

  readonly #calledAt: ClockReading;

  readonly #lastAskedAt: () => ClockReading;

  /** `calledAt` is when the batch was sent; `lastAskedAt` is when the last question was. */
  constructor(clock: HostClock, calledAt: ClockReading, lastAskedAt: () => ClockReading) {
    this.#clock = clock;
    this.#calledAt = calledAt;
    this.#lastAskedAt = lastAskedAt;
  }

  /** The steady clock does not count a suspension, and the time of day may be set back. */
  silentMs(): number {
    const now = readClocks(this.#clock);
    const heardAt = laterReading(this.#calledAt, this.#lastAskedAt());
    return Math.max(now.steadyMs - heardAt.steadyMs, now.dayMs - heardAt.dayMs);
  }
}
