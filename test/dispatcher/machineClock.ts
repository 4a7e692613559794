/** Fake clocks of a machine, which a test advances, steps and suspends. */
import type { HostClock } from '../../src/dispatcher/peers/peerClocks';

/** Clocks that start at the given times and advance with `elapsedMs`. */
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

  /** Advances both clocks without waiting. */
  advance(durationMs: number): void {
    this.#steadyMs += durationMs;
    this.#dayMs += durationMs;
  }

  /** Suspends the machine: only the time of day advances, not the steady clock. */
  suspend(durationMs: number): void {
    this.#dayMs += durationMs;
  }

  stepTimeOfDay(byMs: number): void {
    this.#dayMs += byMs;
  }
}
