/** Clocks of a machine that a test lets pass, steps and suspends. */
import type { HostClock } from '../../src/dispatcher/peerClocks';

/** Clocks that show these times at the start, and run with `elapsedMs`. */
export class FakeMachineClock implements HostClock {
  #steadyMs: number;

  #dayMs: number;

  readonly #elapsedMs: () => number;

  constructor(steadyMs: number, dayMs: number, elapsedMs: () => number) {
    this.#steadyMs = steadyMs;
    this.#dayMs = dayMs;
    this.#elapsedMs = elapsedMs;
  }

  nowMs(): number {
    return this.#steadyMs + this.#elapsedMs();
  }

  timeOfDayMs(): number {
    return this.#dayMs + this.#elapsedMs();
  }

  /** Time passes that the test does not wait for. */
  advance(durationMs: number): void {
    this.#steadyMs += durationMs;
    this.#dayMs += durationMs;
  }

  /** The same, while the machine is suspended: its steady clock stands still. */
  suspend(durationMs: number): void {
    this.#dayMs += durationMs;
  }

  stepTimeOfDay(byMs: number): void {
    this.#dayMs += byMs;
  }
}
