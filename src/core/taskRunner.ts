/**
 * Starts tasks on granted workers and tracks each attempt to its end. When the outcome of a start
 * is unclear, the task is not started elsewhere: the same worker is asked to revoke the start, and
 * only if it confirms that the task never started is the task queued again. Results that match no
 * attempt are counted and dropped.
 */
import type { AttemptResult } from '../workers/workers';
import { AttemptTable, type Attempt } from './attempts';
import { TaskState } from './job';
import { GrantOutcome, type Claim, type Grant } from './messages';
import type { CoreOptions } from './options';
import type { Outbox } from './outbox';
import type { Submission } from './submission';

/** Time between an unanswered revocation and the next one. */
const REVOKE_RETRY_MS = 200;
/** Time that a worker may hold an inquiry open while the task runs. */
const INQUIRE_WAIT_MS = 1000;

/** Callbacks of the runner to the submitter. */
export interface RunnerCallbacks {
  succeeded(submission: Submission, nowMs: number): void;
  /** A task has failed, was stopped, or its outcome is unknown. */
  failed(submission: Submission, state: TaskState, nowMs: number): void;
  /** A task is queued again after it provably did not start. */
  notStarted(submission: Submission, nowMs: number): void;
  release(grantId: number, domain: string, outcome: GrantOutcome, runTimeMs: number): void;
}

/** The call to the worker that gave the result of an attempt. */
export type ResultSource = 'start' | 'revoke' | 'inquire';

/** Attempts of one host. */
export class TaskRunner {
  readonly #options: CoreOptions;

  readonly #outbox: Outbox;

  readonly #callbacks: RunnerCallbacks;

  readonly #attempts: AttemptTable;

  constructor(options: CoreOptions, outbox: Outbox, callbacks: RunnerCallbacks) {
    this.#options = options;
    this.#outbox = outbox;
    this.#callbacks = callbacks;
    this.#attempts = new AttemptTable(options.taskLeaseMs);
  }

  /** Number of attempts in progress. */
  get size(): number {
    return this.#attempts.size;
  }

  /** Starts the next queued task of a submission. False if none is queued. */
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
        revokeAtMs: null,
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
        this.#handleNotStarted(attempt, result.reason, nowMs);
        break;
      case 'running':
        this.#confirmRunning(attempt);
        break;
      default:
        this.#handleUnclear(attempt, source, result.gone === true, nowMs);
    }
  }

  /** Stops the running tasks of a finished submission. */
  stopAll(submission: Submission): void {
    submission.attemptIds.forEach((attemptId) => {
      const attempt = this.#attempts.get(attemptId);
      if (attempt) this.#outbox.push({ type: 'stopTask', worker: attempt.worker, attemptId });
    });
  }

  /** Renews leases, and revokes unclear starts again or gives them up. */
  tick(nowMs: number): void {
    this.#attempts.takeRenewals(nowMs).forEach(({ worker, attemptIds }) => {
      const leaseMs = this.#options.taskLeaseMs;
      this.#outbox.push({ type: 'renewLeases', worker, attemptIds, leaseMs });
    });
    this.#attempts.unclear().forEach((attempt) => {
      if (nowMs - (attempt.unclearSinceMs ?? nowMs) >= this.#options.taskLeaseMs) {
        this.#endUnknown(attempt, nowMs);
      } else if (attempt.revokeAtMs !== null && attempt.revokeAtMs <= nowMs) {
        this.#revoke(attempt, nowMs);
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
    this.#callbacks.succeeded(submission, nowMs);
  }

  #fail(attempt: Attempt, state: TaskState, error: string, nowMs: number): void {
    const { submission, index } = attempt;
    if (submission.answer) return;
    submission.fail(index, state, error);
    this.#callbacks.failed(submission, state, nowMs);
  }

  #handleNotStarted(attempt: Attempt, reason: string, nowMs: number): void {
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
    this.#callbacks.notStarted(submission, nowMs);
  }

  /** The worker has confirmed that the task runs, although the answer to its start was lost. */
  #confirmRunning(attempt: Attempt): void {
    this.#attempts.markRunning(attempt);
    const { worker, attemptId } = attempt;
    this.#outbox.push({ type: 'inquireTask', worker, attemptId, waitMs: INQUIRE_WAIT_MS });
  }

  #handleUnclear(attempt: Attempt, source: ResultSource, gone: boolean, nowMs: number): void {
    this.#outbox.count('starts.unclear', 1, { source });
    if (attempt.submission.answer) {
      this.#end(attempt, GrantOutcome.unknown, 0);
    } else if (source === 'start') {
      this.#revoke(attempt, nowMs);
    } else if (gone) {
      this.#endUnknown(attempt, nowMs);
    } else {
      this.#attempts.markUnclear(attempt, nowMs, nowMs + REVOKE_RETRY_MS);
    }
  }

  #revoke(attempt: Attempt, nowMs: number): void {
    this.#attempts.markUnclear(attempt, nowMs, null);
    const { worker, attemptId } = attempt;
    this.#outbox.decide('revoke', 'unclear-start', { attemptId, worker: worker.id });
    this.#outbox.push({ type: 'revokeTask', worker, attemptId });
  }

  /** Called when the worker process is gone, or the lease has lapsed without an answer. */
  #endUnknown(attempt: Attempt, nowMs: number): void {
    this.#end(attempt, GrantOutcome.unknown, 0);
    this.#fail(attempt, TaskState.unknown, 'the worker can not be reached', nowMs);
  }

  #end(attempt: Attempt, outcome: GrantOutcome, runTimeMs: number): void {
    this.#attempts.remove(attempt);
    this.#callbacks.release(attempt.grantId, attempt.domain, outcome, runTimeMs);
  }
}
