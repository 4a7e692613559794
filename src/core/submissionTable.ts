/**
 * Submissions of this incarnation until their keys expire. Finished answers are kept within a limit
 * of bytes; past it the oldest lose their results, and a later inquiry is told so.
 */
import { Outcome, Reason } from './job';
import type { Submission } from './submission';

interface Kept {
  readonly submission: Submission;
  readonly bytes: number;
}

/** Submissions by key. */
export class SubmissionTable {
  readonly #bytesLimit: number;

  readonly #byKey = new Map<string, Submission>();

  /** Finished submissions, oldest first. */
  readonly #finished = new Map<string, Kept>();

  #bytes = 0;

  #pending = 0;

  constructor(bytesLimit: number) {
    this.#bytesLimit = bytesLimit;
  }

  get size(): number {
    return this.#byKey.size;
  }

  /** Submissions without an answer. */
  get pending(): number {
    return this.#pending;
  }

  get(key: string): Submission | undefined {
    return this.#byKey.get(key);
  }

  add(submission: Submission): void {
    this.#byKey.set(submission.key, submission);
    this.#pending += 1;
  }

  /** Call after the answer has been set. */
  finish(submission: Submission): void {
    this.#pending -= 1;
    const bytes = JSON.stringify(submission.answer).length;
    this.#finished.set(submission.key, { submission, bytes });
    this.#bytes += bytes;
    this.#dropOldest();
  }

  /** Forgets a finished submission whose key has expired. */
  expire(key: string): void {
    const kept = this.#finished.get(key);
    if (!kept) return;
    this.#bytes -= kept.bytes;
    this.#finished.delete(key);
    this.#byKey.delete(key);
  }

  #dropOldest(): void {
    const oldest = this.#finished.entries();
    while (this.#bytes > this.#bytesLimit) {
      const next = oldest.next();
      if (next.done) return;
      const [key, { submission, bytes }] = next.value;
      const dropped = {
        outcome: Outcome.unknown,
        key,
        notRun: false,
        reason: Reason.answerDropped,
        tasks: [],
      };
      if (submission.answer && submission.answer.tasks.length > 0) {
        submission.answer = dropped;
        this.#finished.set(key, { submission, bytes: 0 });
        this.#bytes -= bytes;
      }
    }
  }
}
