/** Sends answers to calls, and logs and counts the answer of each submission. */
import { refusalAnswer } from './answers';
import type { JobAnswer, Reason } from './job';
import type { Outbox } from './outbox';
import type { Submission } from './submission';

/** Answers of one host. */
export class Responder {
  readonly #outbox: Outbox;

  constructor(outbox: Outbox) {
    this.#outbox = outbox;
  }

  answer(callId: number, answer: JobAnswer): void {
    this.#outbox.push({ type: 'answer', callId, answer });
  }

  /** Refuses a call that creates no submission, because its key is missing or not valid. */
  refuse(callId: number, key: string, reason: Reason): void {
    const answer = refusalAnswer(key, reason);
    this.#outbox.count('jobs.refused', 1, { reason });
    this.#outbox.decide('answer', reason, { key, outcome: answer.outcome, notRun: answer.notRun });
    this.answer(callId, answer);
  }

  /** Answers all calls that wait for a submission, and logs the answer. */
  finish(submission: Submission, answer: JobAnswer): void {
    submission.callIds.forEach((callId) => this.answer(callId, answer));
    submission.callIds.clear();
    const { team, kind } = submission.job;
    const { outcome, notRun, reason } = answer;
    this.#outbox.count('jobs.answered', 1, reason ? { outcome, reason } : { outcome });
    this.#outbox.decide('answer', reason ?? outcome, {
      key: submission.key,
      team,
      kind,
      outcome,
      notRun,
    });
  }
}
