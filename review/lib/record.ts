/** Record of one run of a case: what was sent, answered and run, in the order of time. */
import { writeFile } from 'node:fs/promises';

/** Fields of one line. */
export type RecordFields = Readonly<Record<string, unknown>>;

/** Collects the lines of `record.txt`. */
export class CaseRecord {
  readonly #lines: string[] = [];

  readonly #startedAtMs = performance.now();

  /** Milliseconds since the start of the case. */
  nowMs(): number {
    return performance.now() - this.#startedAtMs;
  }

  write(event: string, fields: RecordFields = {}): void {
    const time = this.nowMs().toFixed(0).padStart(6);
    this.#lines.push(`${time} ms ${event} ${JSON.stringify(fields)}`);
  }

  /** Writes the record to a file. */
  async save(file: string): Promise<void> {
    await writeFile(file, `${this.#lines.join('\n')}\n`);
  }
}
