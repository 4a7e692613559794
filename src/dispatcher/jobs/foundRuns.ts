/**
 * What the new owners of cells have found on their workers. After a change of owner every job waits
 * for this answer before it starts. An owner is therefore asked once for all jobs of this host, not
 * once for each: runs that it has not found when all of its workers have listed theirs do not exist.
 */
import type { Clock } from '../../core/clock';
import type { RunsReply, RunsRequest } from '../peers/peerMessages';

/** Asks the owner of a cell; null if it does not answer. */
export type AskOwner = (address: string, request: RunsRequest) => Promise<RunsReply | null>;

/** An owner and a question to it. */
export interface RunsQuestion extends RunsRequest {
  readonly address: string;
  /** Process that owns the cell. */
  readonly incarnation: string;
  /** Its fencing token; what was found under another one is not used. */
  readonly token: number;
}

/** An answer that does not yet hold for good is used for this long. */
const PROVISIONAL_MS = 20;

interface Question {
  readonly asked: RunsQuestion;
  readonly askedAtMs: number;
  readonly reply: Promise<RunsReply | null>;
  /** Undefined until there is a reply. */
  answer: RunsReply | null | undefined;
}

function listsOther(reply: RunsReply, jobId: string): boolean {
  return reply.foundJobs !== undefined && !reply.foundJobs.includes(jobId);
}

/** Answers of the owners of cells, one for each cell. */
export class FoundRuns {
  readonly #ask: AskOwner;

  readonly #clock: Clock;

  readonly #questions = new Map<string, Question>();

  constructor(ask: AskOwner, clock: Clock) {
    this.#ask = ask;
    this.#clock = clock;
  }

  /** True if runs of the job may be in progress in the cell; false also without an answer. */
  async mayRunJob(question: RunsQuestion): Promise<boolean> {
    const known = this.#questions.get(question.cell);
    const isUsable = known !== undefined && this.#isUsable(known, question);
    const current = isUsable ? known : this.#askAnew(question);
    const reply = await current.reply;
    if (reply === null) return false;
    // An owner of an earlier version answers for the job of the question only.
    const isForOther = reply.foundJobs === undefined && current.asked.jobId !== question.jobId;
    if (isForOther) return (await this.#askAnew(question).reply)?.mayRun ?? false;
    if (reply.foundJobs?.includes(question.jobId)) return true;
    return reply.foundJobs === undefined ? reply.mayRun : (reply.mayRunOthers ?? false);
  }

  #isUsable(known: Question, { incarnation, token, jobId }: RunsQuestion): boolean {
    if (known.asked.incarnation !== incarnation || known.asked.token !== token) return false;
    if (known.answer === undefined) return true;
    if (this.#clock.nowMs() - known.askedAtMs < PROVISIONAL_MS) return true;
    if (known.answer === null || !known.answer.areAllListed) return false;
    return listsOther(known.answer, jobId);
  }

  #askAnew(asked: RunsQuestion): Question {
    const { address, cell, jobId } = asked;
    const reply = this.#ask(address, { cell, jobId });
    const question: Question = {
      asked,
      askedAtMs: this.#clock.nowMs(),
      reply,
      answer: undefined,
    };
    this.#questions.set(cell, question);
    reply.then((answer) => {
      question.answer = answer;
    });
    return question;
  }
}
