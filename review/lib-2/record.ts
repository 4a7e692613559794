/** The record of a case: one line for each event that clients, workers or the platform have seen. */
import { writeFileSync } from 'node:fs';

/** Lines of one run of a case. Times are in milliseconds since the run began. */
export class CaseRecord {
  readonly #file: string;

  readonly #lines: string[] = [];

  readonly #startedAtMs = performance.now();

  constructor(file: string) {
    this.#file = file;
  }

  /** Milliseconds since the run began. */
  get nowMs(): number {
    return performance.now() - this.#startedAtMs;
  }

  add(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
    this.#lines.push(`${Math.round(this.nowMs)} ${event} ${JSON.stringify(fields)}`);
  }

  /** Writes all lines to the file. */
  close(): void {
    // eslint-disable-next-line n/no-sync -- also called while the process exits
    writeFileSync(this.#file, `${this.#lines.join('\n')}\n`);
  }
}
