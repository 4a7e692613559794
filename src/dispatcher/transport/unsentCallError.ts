/** Failure of a call that was never sent. */
import type { HttpReply } from './httpConnection';

/** Why a call was not sent. */
export interface UnsentCallReason {
  /**
   * Start of the process that answers in place of the intended one, in Unix milliseconds; null if
   * none has been found.
   */
  readonly answeringStartMs?: number | null;
  /** Reply to the query for the process, if there was one. */
  readonly reply?: HttpReply | null;
  readonly cause?: Error;
}

/** The call was not sent, so the server has not carried it out and will not. */
export class UnsentCallError extends Error {
  readonly answeringStartMs: number | null;

  readonly reply: HttpReply | null;

  constructor(message: string, { answeringStartMs, reply, cause }: UnsentCallReason) {
    super(message, { cause });
    this.answeringStartMs = answeringStartMs ?? null;
    this.reply = reply ?? null;
  }
}
