/** Ends of runs that no batch of this owner waits for: a submitter may still claim one for a while. */
import type { RunOutcome } from './actions';

/** How a run ended, and when its worker listed that. */
export interface UnclaimedEnd {
  readonly end: RunOutcome;
  readonly run: number;
  readonly seenAtMs: number;
}

/** Time for which a submitter may claim the end of a run that the previous owner started. */
const KEPT_MS = 3000;

/** The latest unclaimed end of each task. */
export class UnclaimedEnds {
  readonly #ends = new Map<string, UnclaimedEnd>();

  note(task: string, end: UnclaimedEnd): void {
    this.#ends.set(task, end);
  }

  /** An end can be claimed once. */
  take(task: string): UnclaimedEnd | null {
    const end = this.#ends.get(task) ?? null;
    this.#ends.delete(task);
    return end;
  }

  forgetOld(nowMs: number): void {
    this.#ends.forEach(({ seenAtMs }, task) => {
      if (nowMs - seenAtMs > KEPT_MS) this.#ends.delete(task);
    });
  }
}
