/** The record of a case: what was sent, answered and run, one line an event, with its time. */
import { createWriteStream, type WriteStream } from 'node:fs';

/** Writes the record of one case. Times are milliseconds since its start. */
export class CaseRecord {
  readonly #startedAtMs = performance.now();

  readonly #file: WriteStream;

  constructor(path: string) {
    this.#file = createWriteStream(path);
  }

  /** Time since the start of the case. */
  nowMs(): number {
    return Math.round(performance.now() - this.#startedAtMs);
  }

  /** Adds a line: who, what, and details. */
  add(who: string, event: string, details: object = {}): void {
    this.#file.write(`${this.nowMs()} ${who} ${event} ${JSON.stringify(details)}\n`);
  }

  async close(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#file.end(resolve);
    });
  }
}
