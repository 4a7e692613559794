/** Virtual time: callbacks run in the order of their time, and those of one time as scheduled. */
import TinyQueue from 'tinyqueue';
import type { Clock } from '../core/clock';

interface Entry {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

/** The event queue of a run. */
export class Timeline implements Clock {
  readonly #queue = new TinyQueue<Entry>(
    [],
    (left, right) => left.atMs - right.atMs || left.sequence - right.sequence,
  );

  #nowMs = 0;

  #sequence = 0;

  nowMs(): number {
    return this.#nowMs;
  }

  /** A time that has passed means now. */
  at(atMs: number, run: () => void): void {
    this.#sequence += 1;
    this.#queue.push({ atMs: Math.max(atMs, this.#nowMs), sequence: this.#sequence, run });
  }

  after(delayMs: number, run: () => void): void {
    this.at(this.#nowMs + delayMs, run);
  }

  /** Runs everything due up to `untilMs`; the clock then shows `untilMs`. */
  runUntil(untilMs: number): void {
    let next = this.#queue.peek();
    while (next !== undefined && next.atMs <= untilMs) {
      this.#queue.pop();
      this.#nowMs = next.atMs;
      next.run();
      next = this.#queue.peek();
    }
    this.#nowMs = Math.max(this.#nowMs, untilMs);
  }
}
