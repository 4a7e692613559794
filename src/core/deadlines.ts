/** Points in time at which something is due for a submission, earliest first. */
import TinyQueue from 'tinyqueue';

/** What is due. */
export const DueKind = {
  /** Half of the deadline has gone: a job that has not begun is refused. */
  half: 'half',
  /** The deadline has passed: a job that is not complete fails. */
  full: 'full',
  /** The key has expired: the submission is forgotten. */
  expiry: 'expiry',
} as const;
export type DueKind = (typeof DueKind)[keyof typeof DueKind];

interface Due {
  readonly atMs: number;
  readonly key: string;
  readonly kind: DueKind;
}

/** Queue of due times. */
export class Deadlines {
  readonly #heap = new TinyQueue<Due>([], (a, b) => a.atMs - b.atMs);

  add(atMs: number, key: string, kind: DueKind): void {
    this.#heap.push({ atMs, key, kind });
  }

  /** Takes all that is due. */
  take(nowMs: number): readonly Due[] {
    const due: Due[] = [];
    let head = this.#heap.peek();
    while (head && head.atMs <= nowMs) {
      this.#heap.pop();
      due.push(head);
      head = this.#heap.peek();
    }
    return due;
  }
}
