/**
 * Starts on one worker that had no answer and are not known to have arrived. The network may deliver such a start long afterwards, also
 * to the next process of the worker, which knows nothing of the stops that the one before has
 * confirmed. So each new process must confirm a stop of every one before it is used.
 */
import { runKey } from './run';

/** Names a run. */
export interface RunId {
  readonly task: string;
  readonly run: number;
}

interface UnansweredStart extends RunId {
  readonly sentAtMs: number;
  /** When the process that answers was last told to stop the run; null before. */
  stopSentAtMs: number | null;
}

/**
 * A start without an answer is carried out within this time or never. The platform states a delay
 * of seconds; 12 seconds have been observed.
 */
export const MAX_START_DELAY_MS = 30_000;
/** Time after which an unconfirmed stop is sent again. */
const STOP_RESEND_MS = 100;

/** Unanswered starts of one worker, by run. */
export class UnansweredStarts {
  readonly #starts = new Map<string, UnansweredStart>();

  /** Starts that the process that answers may still carry out, as it has confirmed no stop. */
  readonly #unstopped = new Map<string, UnansweredStart>();

  /** True while the process that answers may carry out a start that was sent to an earlier one. */
  get mayArrive(): boolean {
    return this.#unstopped.size > 0;
  }

  /** Number of starts that the process that answers must still be told to stop. */
  get unstoppedCount(): number {
    return this.#unstopped.size;
  }

  add({ task, run }: RunId, sentAtMs: number): void {
    const key = runKey(task, run);
    if (this.#starts.has(key)) return;
    this.#starts.set(key, { task, run, sentAtMs, stopSentAtMs: null });
  }

  /** The start has been delivered, as the worker lists the run or its end. */
  delivered(key: string): void {
    this.#starts.delete(key);
  }

  /** Another process answers, which has seen no stop. */
  processChanged(): void {
    this.#starts.forEach((start, key) =>
      this.#unstopped.set(key, { ...start, stopSentAtMs: null }),
    );
  }

  /** Returns the runs to stop now, and counts them as told. */
  takeDueStops(nowMs: number): readonly RunId[] {
    const due = [...this.#unstopped.values()].filter(
      ({ stopSentAtMs }) => stopSentAtMs === null || nowMs - stopSentAtMs >= STOP_RESEND_MS,
    );
    due.forEach((start) => {
      const told = start;
      told.stopSentAtMs = nowMs;
    });
    return due;
  }

  /** The process that answers has confirmed a stop, and refuses that start from then on. */
  stopConfirmed(key: string): void {
    this.#unstopped.delete(key);
  }

  /** Removes the starts that can't be delivered any more. */
  removeExpired(nowMs: number): void {
    [this.#starts, this.#unstopped].forEach((starts) =>
      starts.forEach(({ sentAtMs }, key) => {
        if (nowMs - sentAtMs > MAX_START_DELAY_MS) starts.delete(key);
      }),
    );
  }
}
