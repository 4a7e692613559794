/**
 * The log of decisions, bounded in volume: each kind of line has an allowance per second, and what is
 * left out is counted and said in one line a second. Writing never waits for the reader.
 */
import type { LogFields } from '../observe/observer';

/** Takes finished lines; `PinoLog` is one. */
export interface LineWriter {
  writeLine(fields: LogFields): void;
}

/** What the parts of a dispatcher tell the log. */
export interface DispatchJournal {
  /** One decision, or one change of what the process believes. */
  logDecision(decision: string, fields: LogFields): void;
}

const SECOND_MS = 1000;

/** Journal over a log. */
export class RateLimitedJournal implements DispatchJournal {
  readonly #writer: LineWriter;

  #linesPerSecond: number;

  readonly #nowMs: () => number;

  readonly #written = new Map<string, number>();

  #windowStartMs = 0;

  #dropped = 0;

  constructor(writer: LineWriter, linesPerSecond: number, nowMs: () => number) {
    this.#writer = writer;
    this.#linesPerSecond = linesPerSecond;
    this.#nowMs = nowMs;
  }

  /** Changes the allowance of each kind of line. */
  setLimit(linesPerSecond: number): void {
    this.#linesPerSecond = linesPerSecond;
  }

  /** Lines left out since the start. */
  get dropped(): number {
    return this.#dropped;
  }

  logDecision(decision: string, fields: LogFields): void {
    const nowMs = this.#nowMs();
    if (nowMs - this.#windowStartMs >= SECOND_MS) this.#openWindow(nowMs);
    const count = (this.#written.get(decision) ?? 0) + 1;
    this.#written.set(decision, count);
    if (count <= this.#linesPerSecond) this.#writer.writeLine({ decision, ...fields });
  }

  #openWindow(nowMs: number): void {
    const omitted: Record<string, number> = {};
    this.#written.forEach((count, decision) => {
      if (count > this.#linesPerSecond) omitted[decision] = count - this.#linesPerSecond;
    });
    this.#written.clear();
    this.#windowStartMs = nowMs;
    const total = Object.values(omitted).reduce((sum, count) => sum + count, 0);
    if (total === 0) return;
    this.#dropped += total;
    this.#writer.writeLine({ decision: 'lines-omitted', omitted });
  }
}
