/**
 * Ends of runs that no batch of this owner waits for, kept for submitters that claim them later.
 */
import type { RunOutcome } from './actions';

/** How a run ended, and when its worker reported it. */
export interface UnclaimedEnd {
  readonly outcome: RunOutcome;
  readonly run: number;
  readonly seenAtMs: number;
}

/** Time for which a submitter may claim the end of a run that a previous owner started. */
const RETENTION_MS = 3000;

/** The latest unclaimed end of each task. */
export class UnclaimedEnds {
  readonly #ends = new Map<string, UnclaimedEnd>();

  add(task: string, end: UnclaimedEnd): void {
    this.#ends.set(task, end);
  }

  /** Returns and removes the end of a task's run, so that it can be claimed only once. */
  take(task: string): UnclaimedEnd | null {
    const end = this.#ends.get(task) ?? null;
    this.#ends.delete(task);
    return end;
  }

  removeExpired(nowMs: number): void {
    this.#ends.forEach(({ seenAtMs }, task) => {
      if (nowMs - seenAtMs > RETENTION_MS) this.#ends.delete(task);
    });
  }
}
