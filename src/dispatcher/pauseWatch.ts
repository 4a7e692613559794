/**
 * Finds pauses of this process: times in which it did nothing because it, or its machine, stood still.
 * What others said meanwhile lies unread, and timers that became due run before it is read.
 */
import { readClocks, type ClockReading, type HostClock } from './peerClocks';

/**
 * A longer time between two looks is a pause, in milliseconds. A submitter that is lost counts as gone
 * after 700 ms, and its clients send their jobs again after 1300 ms: shorter gaps leave time for a stop.
 */
const PAUSE_GAP_MS = 400;

/**
 * Compares two looks at the clocks, on both: the steady one does not count a suspension of the machine.
 * A step of the time of day forward looks like a pause as well.
 */
export class PauseWatch {
  readonly #clock: HostClock;

  #last: ClockReading;

  constructor(clock: HostClock) {
    this.#clock = clock;
    this.#last = readClocks(clock);
  }

  /** Length of the pause that has just ended; 0 if there was none. To be called at short intervals. */
  look(): number {
    const now = readClocks(this.#clock);
    const last = this.#last;
    this.#last = now;
    const gapMs = Math.max(now.steadyMs - last.steadyMs, now.dayMs - last.dayMs);
    return gapMs > PAUSE_GAP_MS ? gapMs : 0;
  }
}
