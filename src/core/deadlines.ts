/** Timers of submissions, earliest first. */
import TinyQueue from 'tinyqueue';

/** What a timer is for. */
export const DueKind = {
  /** Half of the deadline has passed: a job of which no task has started is refused. */
  startDeadline: 'startDeadline',
  /** The deadline has passed: a job that is not complete fails. */
  jobDeadline: 'jobDeadline',
  /** The key has expired: the submission is removed. */
  keyExpiry: 'keyExpiry',
} as const;
export type DueKind = (typeof DueKind)[keyof typeof DueKind];

interface DueEntry {
  readonly atMs: number;
  readonly key: string;
  readonly kind: DueKind;
}

/** Queue of timers. */
export class Deadlines {
  readonly #heap = new TinyQueue<DueEntry>([], (a, b) => a.atMs - b.atMs);

  add(atMs: number, key: string, kind: DueKind): void {
    this.#heap.push({ atMs, key, kind });
  }

  /** Removes and returns the timers that are due. */
  take(nowMs: number): readonly DueEntry[] {
    const due: DueEntry[] = [];
    let head = this.#heap.peek();
    while (head && head.atMs <= nowMs) {
      this.#heap.pop();
      due.push(head);
      head = this.#heap.peek();
    }
    return due;
  }
}
