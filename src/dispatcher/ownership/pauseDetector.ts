/**
 * Detects pauses of this process: periods in which it did not run, for example because its machine
 * was suspended. After a pause, timers that became due run before the messages received meanwhile
 * are read.
 */
import { readClocks, type ClockReading, type HostClock } from '../peers/peerClocks';

/**
 * A longer time between two checks is a pause, in milliseconds. A silent submitter counts as lost
 * after 700 ms, and its clients resubmit their jobs after 1300 ms. After a gap shorter than this,
 * there is still time to stop its runs.
 */
const PAUSE_GAP_MS = 400;

/**
 * Compares successive readings of both clocks, since the steady clock does not advance while the
 * machine is suspended. A forward step of the time of day is reported as a pause as well.
 */
export class PauseDetector {
  readonly #clock: HostClock;

  #last: ClockReading;

  constructor(clock: HostClock) {
    this.#clock = clock;
    this.#last = readClocks(clock);
  }

  /** Length of the pause that has just ended, or 0. Must be called at short intervals. */
  check(): number {
    const now = readClocks(this.#clock);
    const last = this.#last;
    this.#last = now;
    const gapMs = Math.max(now.steadyMs - last.steadyMs, now.dayMs - last.dayMs);
    return gapMs > PAUSE_GAP_MS ? gapMs : 0;
  }
}
