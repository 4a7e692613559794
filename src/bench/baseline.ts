/**
 * Baseline policy for comparison: each host has one first-in-first-out queue and starts tasks on a
 * random worker of its domain. It keeps the invariants, but has no scheduler, no shares, and refuses
 * only what has not started by half of its deadline.
 */
import type { Core, CoreAction, CoreEvent } from '../core/events';
import type { JobAnswer, JobSpec, Outcome, Reason } from '../core/job';
import type { AttemptResult } from '../workers/workers';
import type { BaselineAttempt, BaselineTask } from './baselineJob';
import { Submission } from './baselineJob';
import { BaselineWorkers } from './baselineWorkers';
import type { CoreContext } from './entryHost';

type ResultEvent = Extract<CoreEvent, { type: 'attemptResult' }>;

const RETRY_AFTER_MS = 1000;
const INQUIRY_WAIT_MS = 1000;

/** Decision code of one host. */
class BaselineCore implements Core {
  readonly #context: CoreContext;

  readonly #workers: BaselineWorkers;

  readonly #submissions = new Map<string, Submission>();

  readonly #open = new Set<Submission>();

  readonly #attempts = new Map<string, BaselineAttempt>();

  #queue: BaselineTask[] = [];

  #head = 0;

  #counter = 0;

  #draining = false;

  #actions: CoreAction[] = [];

  constructor(context: CoreContext) {
    this.#context = context;
    this.#workers = new BaselineWorkers(context.random, context.options.statusPeriodMs);
  }

  issueKeys(count: number, nowMs: number): readonly string[] {
    const expiryMs = Math.round(nowMs + this.#context.options.keyLifetimeMs);
    return Array.from({ length: count }, () => `${this.#nextId()}.${expiryMs}`);
  }

  pending(): number {
    return this.#open.size;
  }

  inspect(): unknown {
    return { queued: this.#queue.length - this.#head, attempts: this.#attempts.size };
  }

  handle(event: CoreEvent, nowMs: number): readonly CoreAction[] {
    this.#actions = [];
    switch (event.type) {
      case 'submit':
        this.#submit(event.callId, event.key, event.job, nowMs);
        break;
      case 'cancel':
        this.#cancel(event.callId, event.key);
        break;
      case 'await':
        this.#await(event.callId, event.key);
        break;
      case 'attemptResult':
        this.#onResult(event, nowMs);
        break;
      case 'workerList':
        this.#workers.list(event.entries);
        break;
      case 'workerStatus':
        this.#workers.status(event.workerId, event.status);
        break;
      case 'tick':
        this.#tick(nowMs);
        break;
      case 'drain':
        this.#draining = true;
        break;
      default:
        break;
    }
    this.#dispatch(nowMs);
    return this.#actions;
  }

  #nextId(): string {
    this.#counter += 1;
    return `${this.#context.hostId}.${this.#context.incarnation}.${this.#counter}`;
  }

  #submit(callId: number, key: string | null, job: JobSpec, nowMs: number): void {
    const known = key === null ? undefined : this.#submissions.get(key);
    if (known === undefined) {
      this.#accept(callId, new Submission(key ?? this.#nextId(), job, nowMs));
    } else if (known.body === JSON.stringify(job)) {
      this.#join(callId, known);
    } else {
      this.#reply(callId, BaselineCore.#refusal(known.key, 'key-reused', false));
    }
  }

  #accept(callId: number, submission: Submission): void {
    if (this.#draining) {
      this.#reply(callId, BaselineCore.#refusal(submission.key, 'draining', true));
      return;
    }
    submission.calls.push(callId);
    this.#submissions.set(submission.key, submission);
    this.#open.add(submission);
    this.#queue.push(...submission.tasks);
  }

  #cancel(callId: number, key: string): void {
    const submission = this.#submissions.get(key);
    this.#await(callId, key);
    if (submission !== undefined && submission.answer === null) {
      this.#finish(submission, submission.untouched ? 'cancelled' : 'failed', 'cancelled');
    }
  }

  #await(callId: number, key: string): void {
    const submission = this.#submissions.get(key);
    if (submission === undefined) {
      this.#reply(callId, BaselineCore.#refusal(key, 'invalid-key', false));
    } else {
      this.#join(callId, submission);
    }
  }

  #join(callId: number, submission: Submission): void {
    if (submission.answer === null) {
      submission.calls.push(callId);
    } else {
      this.#reply(callId, submission.answer);
    }
  }

  static #refusal(key: string, reason: Reason, notRun: boolean): JobAnswer {
    return { outcome: 'refused', key, notRun, reason, tasks: [] };
  }

  #reply(callId: number, answer: JobAnswer): void {
    this.#actions.push({ type: 'answer', callId, answer });
  }

  #finish(submission: Submission, outcome: Outcome, reason?: Reason): void {
    const retryAfterMs = outcome === 'refused' ? RETRY_AFTER_MS : undefined;
    const answer = submission.close(outcome, reason, retryAfterMs);
    this.#open.delete(submission);
    submission.calls.splice(0).forEach((callId) => this.#reply(callId, answer));
    if (outcome !== 'complete') {
      [...this.#attempts.values()]
        .filter(({ task }) => task.submission === submission)
        .forEach(({ id, worker }) =>
          this.#actions.push({ type: 'stopTask', worker, attemptId: id }),
        );
    }
  }

  #tick(nowMs: number): void {
    this.#actions.push(...this.#workers.polls(nowMs));
    this.#open.forEach((submission) => {
      const agedMs = nowMs - submission.arrivedMs;
      if (agedMs >= submission.job.deadlineMs) {
        this.#finish(submission, 'failed', 'deadline');
      } else if (agedMs >= submission.job.deadlineMs / 2 && submission.untouched) {
        this.#finish(submission, 'refused', 'overloaded');
      }
    });
    this.#renew(nowMs);
  }

  #renew(nowMs: number): void {
    const { taskLeaseMs } = this.#context.options;
    this.#attempts.forEach((entry) => {
      const attempt = entry;
      if (attempt.renewAtMs <= nowMs && attempt.task.submission.answer === null) {
        attempt.renewAtMs = nowMs + taskLeaseMs / 2;
        const { worker, id } = attempt;
        const attemptIds = [id];
        this.#actions.push({ type: 'renewLeases', worker, attemptIds, leaseMs: taskLeaseMs });
      }
    });
  }

  #dispatch(nowMs: number): void {
    while (this.#skipAnswered() && this.#startNext(nowMs));
    if (this.#head > 1000 && this.#head * 2 > this.#queue.length) {
      this.#queue = this.#queue.slice(this.#head);
      this.#head = 0;
    }
  }

  /** Moves past tasks of answered jobs; false at the end of the queue. */
  #skipAnswered(): boolean {
    while (this.#queue[this.#head]?.submission.answer) {
      this.#head += 1;
    }
    return this.#head < this.#queue.length;
  }

  #startNext(nowMs: number): boolean {
    const task = this.#queue[this.#head];
    const worker = task === undefined ? null : this.#workers.take(nowMs);
    if (task === undefined || worker === null) {
      return false;
    }
    this.#head += 1;
    this.#start(task, worker, nowMs);
    return true;
  }

  #start(target: BaselineTask, worker: BaselineAttempt['worker'], nowMs: number): void {
    const task = target;
    const { job, key } = task.submission;
    const { taskLeaseMs } = this.#context.options;
    const id = this.#nextId();
    task.state = 'started';
    this.#attempts.set(id, { id, task, worker, renewAtMs: nowMs + taskLeaseMs / 2 });
    this.#actions.push({
      type: 'startTask',
      worker,
      start: {
        attemptId: id,
        submission: key,
        task: task.spec.id,
        team: job.team,
        kind: job.kind,
        payload: task.spec.payload,
        resources: job.resources,
        leaseMs: taskLeaseMs,
      },
    });
  }

  #onResult({ attemptId, source, result }: ResultEvent, nowMs: number): void {
    const attempt = this.#attempts.get(attemptId);
    if (attempt === undefined) {
      return;
    }
    const { worker, task } = attempt;
    if (result.state === 'running') {
      const waitMs = INQUIRY_WAIT_MS;
      this.#actions.push({ type: 'inquireTask', worker, attemptId, waitMs });
    } else if (result.state === 'unclear' && source === 'start') {
      task.state = 'unclear';
      this.#actions.push({ type: 'revokeTask', worker, attemptId });
    } else {
      this.#attempts.delete(attemptId);
      this.#workers.giveBack(worker);
      if (result.state === 'notStarted') {
        this.#workers.refused(worker, result.reason === 'unreachable', nowMs);
      }
      this.#settle(task, result);
    }
  }

  #settle(target: BaselineTask, result: AttemptResult): void {
    const task = target;
    const { submission } = task;
    if (submission.answer !== null) {
      return;
    }
    if (result.state === 'notStarted') {
      task.state = 'queued';
      this.#requeue(task);
    } else if (result.state === 'succeeded') {
      task.state = 'succeeded';
      task.result = result.result;
      if (submission.complete) {
        this.#finish(submission, 'complete');
      }
    } else {
      task.state =
        result.state === 'unclear' || result.state === 'running' ? 'unknown' : result.state;
      task.error = 'error' in result ? result.error : undefined;
      const reason = task.state === 'unknown' ? 'task-unknown' : 'task-failed';
      this.#finish(submission, 'failed', reason);
    }
  }

  #requeue(task: BaselineTask): void {
    if (this.#head > 0) {
      this.#head -= 1;
      this.#queue[this.#head] = task;
    } else {
      this.#queue.unshift(task);
    }
  }
}

/** Creates the baseline of one host. */
export function createBaselineCore(context: CoreContext): Core {
  return new BaselineCore(context);
}
