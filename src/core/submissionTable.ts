/**
 * Submissions of this process incarnation, kept until their keys expire. The size of kept answers
 * is limited: beyond the limit the oldest answers lose their results, and later calls with their
 * keys get the reason `answer-dropped`.
 */
import { Outcome, Reason } from './job';
import type { Submission } from './submission';

/** Submissions by key. */
export class SubmissionTable {
  readonly #bytesLimit: number;

  readonly #byKey = new Map<string, Submission>();

  /** Sizes of the answers that still have their results, oldest first. */
  readonly #keptBytes = new Map<string, number>();

  #bytes = 0;

  #pending = 0;

  constructor(bytesLimit: number) {
    this.#bytesLimit = bytesLimit;
  }

  get size(): number {
    return this.#byKey.size;
  }

  /** Number of submissions without an answer. */
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

  /** To be called after the answer of the submission has been set. */
  finish(submission: Submission): void {
    this.#pending -= 1;
    const bytes = JSON.stringify(submission.answer).length;
    this.#keptBytes.set(submission.key, bytes);
    this.#bytes += bytes;
    this.#dropOldest();
  }

  /** Removes a finished submission whose key has expired. */
  expire(key: string): void {
    this.#forgetBytes(key);
    this.#byKey.delete(key);
  }

  /** Dropped answers leave the list of sizes, so that the work per answer stays constant. */
  #dropOldest(): void {
    const oldest = this.#keptBytes.keys();
    while (this.#bytes > this.#bytesLimit) {
      const next = oldest.next();
      if (next.done) return;
      this.#forgetBytes(next.value);
      this.#dropResults(next.value);
    }
  }

  #forgetBytes(key: string): void {
    this.#bytes -= this.#keptBytes.get(key) ?? 0;
    this.#keptBytes.delete(key);
  }

  #dropResults(key: string): void {
    const submission = this.#byKey.get(key);
    if (!submission?.answer || submission.answer.tasks.length === 0) return;
    submission.answer = {
      outcome: Outcome.unknown,
      key,
      notRun: false,
      reason: Reason.answerDropped,
      tasks: [],
    };
  }
}
