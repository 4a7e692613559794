/**
 * Rate-limited log of decisions. Each kind of decision may write a limited number of lines per
 * second. Dropped lines are counted and reported in one line per second. Writing never blocks on
 * the reader.
 */
import type { LogFields } from '../observe/observer';

/** Output for log lines, such as `PinoLog`. */
export interface LineWriter {
  writeLine(fields: LogFields): void;
}

/** Log of the decisions of a dispatcher. */
export interface DispatchJournal {
  /** Logs a decision, or a change in the process's view of the cluster. */
  logDecision(decision: string, fields: LogFields): void;
}

const SECOND_MS = 1000;

/** Journal with a limit per kind of decision. */
export class RateLimitedJournal implements DispatchJournal {
  readonly #writer: LineWriter;

  #linesPerSecond: number;

  readonly #nowMs: () => number;

  readonly #lineCounts = new Map<string, number>();

  #windowStartMs = 0;

  #dropped = 0;

  constructor(writer: LineWriter, linesPerSecond: number, nowMs: () => number) {
    this.#writer = writer;
    this.#linesPerSecond = linesPerSecond;
    this.#nowMs = nowMs;
  }

  /** Sets the number of lines per second for each kind of decision. */
  setLimit(linesPerSecond: number): void {
    this.#linesPerSecond = linesPerSecond;
  }

  /** Number of lines dropped since the start. */
  get dropped(): number {
    return this.#dropped;
  }

  logDecision(decision: string, fields: LogFields): void {
    const nowMs = this.#nowMs();
    if (nowMs - this.#windowStartMs >= SECOND_MS) this.#openWindow(nowMs);
    const count = (this.#lineCounts.get(decision) ?? 0) + 1;
    this.#lineCounts.set(decision, count);
    if (count <= this.#linesPerSecond) this.#writer.writeLine({ decision, ...fields });
  }

  #openWindow(nowMs: number): void {
    const omitted: Record<string, number> = {};
    this.#lineCounts.forEach((count, decision) => {
      if (count > this.#linesPerSecond) omitted[decision] = count - this.#linesPerSecond;
    });
    this.#lineCounts.clear();
    this.#windowStartMs = nowMs;
    const total = Object.values(omitted).reduce((sum, count) => sum + count, 0);
    if (total === 0) return;
    this.#dropped += total;
    this.#writer.writeLine({ decision: 'lines-omitted', omitted });
  }
}
