/**
 * Starts tasks on granted workers and follows each attempt to its end. A start whose fate is unclear
 * is never repeated elsewhere: the same worker is asked to revoke it, and only its word that the task
 * never started lets the task be tried again. Results that match no attempt reach nobody.
 */
import type { AttemptResult } from '../workers/workers';
import { AttemptTable, type Attempt } from './attempts';
import { TaskState } from './job';
import { GrantOutcome, type Claim, type Grant } from './messages';
import type { CoreOptions } from './options';
import type { Outbox } from './outbox';
import type { Submission } from './submission';

const ASK_AGAIN_MS = 200;
const INQUIRE_WAIT_MS = 1000;

/** What the runner tells the submitter. */
export interface RunnerEvents {
  succeeded(submission: Submission, nowMs: number): void;
  /** A task has failed, was stopped, or its outcome can't be known. */
  failed(submission: Submission, state: TaskState, nowMs: number): void;
  /** A task has provably not started and is queued again. */
  notStarted(submission: Submission, nowMs: number): void;
  release(grantId: number, domain: string, outcome: GrantOutcome, runTimeMs: number): void;
}

/** Where an answer on an attempt comes from. */
export type ResultSource = 'start' | 'revoke' | 'inquire';

/** Attempts of one host. */
export class TaskRunner {
  readonly #options: CoreOptions;

  readonly #outbox: Outbox;

  readonly #events: RunnerEvents;

  readonly #attempts: AttemptTable;

  constructor(options: CoreOptions, outbox: Outbox, events: RunnerEvents) {
    this.#options = options;
    this.#outbox = outbox;
    this.#events = events;
    this.#attempts = new AttemptTable(options.taskLeaseMs);
  }

  /** Attempts in progress. */
  get size(): number {
    return this.#attempts.size;
  }

  /** Starts the next queued task of a submission; false if none is queued. */
  start(submission: Submission, grant: Grant, domain: string, nowMs: number): boolean {
    const next = submission.start();
    const task = next ? submission.job.tasks[next.index] : undefined;
    if (!next || !task) return false;
    const { key, job } = submission;
    const { worker, grantId } = grant;
    const attemptId = `${key}~${next.index}.${next.attempt}`;
    const leaseUntilMs = nowMs + this.#options.taskLeaseMs;
    this.#attempts.add(
      {
        attemptId,
        submission,
        index: next.index,
        worker,
        grantId,
        domain,
        leaseUntilMs,
        unclearSinceMs: null,
        askAtMs: null,
      },
      nowMs,
    );
    this.#outbox.decide('start', next.attempt === 1 ? 'granted' : 'retry', {
      attemptId,
      grantId,
      worker: worker.id,
      domain,
    });
    this.#outbox.push({
      type: 'startTask',
      worker,
      start: {
        attemptId,
        submission: key,
        task: task.id,
        team: job.team,
        kind: job.kind,
        payload: task.payload,
        resources: job.resources,
        leaseMs: this.#options.taskLeaseMs,
      },
    });
    return true;
  }

  result(attemptId: string, source: ResultSource, result: AttemptResult, nowMs: number): void {
    const attempt = this.#attempts.get(attemptId);
    if (!attempt) {
      this.#outbox.count('results.late', 1, { state: result.state });
      return;
    }
    switch (result.state) {
      case 'succeeded':
        this.#succeed(attempt, result.result, result.runTimeMs, nowMs);
        break;
      case 'failed':
        this.#end(attempt, GrantOutcome.failed, result.runTimeMs);
        this.#fail(attempt, TaskState.failed, result.error, nowMs);
        break;
      case 'stopped':
        this.#end(attempt, GrantOutcome.stopped, 0);
        this.#fail(attempt, TaskState.stopped, 'the worker stopped the task', nowMs);
        break;
      case 'notStarted':
        this.#notStarted(attempt, result.reason, nowMs);
        break;
      case 'running':
        this.#running(attempt);
        break;
      default:
        this.#unclear(attempt, source, result.gone === true, nowMs);
    }
  }

  /** Stops what a finished submission still has running. */
  stopAll(submission: Submission): void {
    submission.attemptIds.forEach((attemptId) => {
      const attempt = this.#attempts.get(attemptId);
      if (attempt) this.#outbox.push({ type: 'stopTask', worker: attempt.worker, attemptId });
    });
  }

  /** Renews leases and asks again about unclear starts. */
  tick(nowMs: number): void {
    this.#attempts.takeRenewals(nowMs).forEach(({ worker, attemptIds }) => {
      const leaseMs = this.#options.taskLeaseMs;
      this.#outbox.push({ type: 'renewLeases', worker, attemptIds, leaseMs });
    });
    this.#attempts.unclear().forEach((attempt) => {
      if (nowMs - (attempt.unclearSinceMs ?? nowMs) >= this.#options.taskLeaseMs) {
        this.#giveUp(attempt, nowMs);
      } else if (attempt.askAtMs !== null && attempt.askAtMs <= nowMs) {
        this.#ask(attempt, nowMs);
      }
    });
  }

  claims(domain: string): readonly Claim[] {
    return this.#attempts.claims(domain);
  }

  #succeed(attempt: Attempt, result: unknown, runTimeMs: number, nowMs: number): void {
    this.#end(attempt, GrantOutcome.succeeded, runTimeMs);
    const { submission, index } = attempt;
    if (submission.answer) {
      this.#outbox.count('results.unwanted');
      return;
    }
    submission.succeed(index, result);
    this.#events.succeeded(submission, nowMs);
  }

  #fail(attempt: Attempt, state: TaskState, error: string, nowMs: number): void {
    const { submission, index } = attempt;
    if (submission.answer) return;
    submission.fail(index, state, error);
    this.#events.failed(submission, state, nowMs);
  }

  #notStarted(attempt: Attempt, reason: string, nowMs: number): void {
    const outcome = reason === 'unreachable' ? GrantOutcome.unreachable : GrantOutcome.refused;
    this.#end(attempt, outcome, 0);
    this.#outbox.count('starts.refused', 1, { reason });
    this.#outbox.decide('start-refused', reason, {
      attemptId: attempt.attemptId,
      worker: attempt.worker.id,
    });
    const { submission, index } = attempt;
    if (submission.answer) return;
    submission.requeue(index);
    this.#events.notStarted(submission, nowMs);
  }

  /** The worker confirmed that the attempt runs, although the answer to its start was lost. */
  #running(attempt: Attempt): void {
    this.#attempts.markClear(attempt);
    const { worker, attemptId } = attempt;
    this.#outbox.push({ type: 'inquireTask', worker, attemptId, waitMs: INQUIRE_WAIT_MS });
  }

  #unclear(attempt: Attempt, source: ResultSource, gone: boolean, nowMs: number): void {
    this.#outbox.count('starts.unclear', 1, { source });
    if (attempt.submission.answer) {
      this.#end(attempt, GrantOutcome.unknown, 0);
    } else if (source === 'start') {
      this.#ask(attempt, nowMs);
    } else if (gone) {
      this.#giveUp(attempt, nowMs);
    } else {
      this.#attempts.markUnclear(attempt, nowMs, nowMs + ASK_AGAIN_MS);
    }
  }

  #ask(attempt: Attempt, nowMs: number): void {
    this.#attempts.markUnclear(attempt, nowMs, null);
    const { worker, attemptId } = attempt;
    this.#outbox.decide('revoke', 'unclear-start', { attemptId, worker: worker.id });
    this.#outbox.push({ type: 'revokeTask', worker, attemptId });
  }

  /** The process on the worker is gone, or the lease has lapsed without an answer. */
  #giveUp(attempt: Attempt, nowMs: number): void {
    this.#end(attempt, GrantOutcome.unknown, 0);
    this.#fail(attempt, TaskState.unknown, 'the worker can not be reached', nowMs);
  }

  #end(attempt: Attempt, outcome: GrantOutcome, runTimeMs: number): void {
    this.#attempts.remove(attempt);
    this.#events.release(attempt.grantId, attempt.domain, outcome, runTimeMs);
  }
}
