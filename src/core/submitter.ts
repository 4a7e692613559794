/**
 * Submitter: owns the submissions whose keys this incarnation issued, from arrival to answer. Each
 * call gets exactly one answer; an answer says "not run" only if no task has started or ever will.
 */
import { createHash } from 'node:crypto';
import type { Configuration, KindPolicy } from '../configuration/policy';
import { completeAnswer, earlyAnswer, keyReusedAnswer, unusedKeyAnswer } from './answers';
import { Responder } from './responder';
import { ClaimSchedule } from './claimSchedule';
import type { CoreEvent } from './events';
import { Deadlines, DueKind } from './deadlines';
import { Outcome, Reason, TaskState, type JobAnswer, type JobSpec } from './job';
import type { Grant, SlotMessage } from './messages';
import type { CoreOptions } from './options';
import type { Outbox } from './outbox';
import { RetryQueue } from './retryQueue';
import { Roles } from './roles';
import { SlotRequester } from './slotRequester';
import { Submission } from './submission';
import type { KeyIssuer } from './submissionKey';
import { SubmissionTable } from './submissionTable';
import { TaskRunner } from './taskRunner';
import type { SubmitterView } from './views';
import { NO_RESOURCES } from './workerTable';

const HALF = 0.5;
/** Refusals at half of the deadline are due this much earlier, so that ticks do not make them late. */
const HALF_MARGIN_MS = 20;

const FAILURE_REASONS: Partial<Record<TaskState, Reason>> = {
  [TaskState.failed]: Reason.taskFailed,
  [TaskState.stopped]: Reason.taskUnknown,
  [TaskState.unknown]: Reason.taskUnknown,
};

/**
 * Identifies the body of a job. The deadline is left out: a caller that comes back has less time, and
 * one that gives no deadline gets the default of the configuration in force.
 */
function hashOf({ deadlineMs, ...body }: JobSpec): string {
  return createHash('sha256').update(JSON.stringify(body)).digest('base64');
}

/** Stands in for a job that was cancelled before it arrived. */
const NO_JOB: JobSpec = { team: '', kind: '', deadlineMs: 0, resources: NO_RESOURCES, tasks: [] };

/** What a submitter is built from. */
export interface SubmitterParts {
  readonly domain: string;
  readonly options: CoreOptions;
  readonly outbox: Outbox;
  readonly issuer: KeyIssuer;
}

/** Submissions of one host. */
export class Submitter {
  readonly #options: CoreOptions;

  readonly #outbox: Outbox;

  readonly #issuer: KeyIssuer;

  readonly #table: SubmissionTable;

  readonly #deadlines = new Deadlines();

  readonly #requester: SlotRequester;

  readonly #runner: TaskRunner;

  readonly #retries: RetryQueue;

  readonly #responder: Responder;

  #configuration: Configuration | null = null;

  #roles = Roles.none();

  #draining = false;

  readonly #claims = new ClaimSchedule();

  constructor({ domain, options, outbox, issuer }: SubmitterParts) {
    this.#options = options;
    this.#outbox = outbox;
    this.#issuer = issuer;
    this.#table = new SubmissionTable(options.answerBytesLimit);
    this.#requester = new SlotRequester(domain, options, outbox, this.#roles, {
      start: (submission, grant, from, nowMs) => this.#start(submission, grant, from, nowMs),
      refused: (submission, reason, retryAfterMs, nowMs) =>
        this.#slotsRefused(submission, reason, retryAfterMs, nowMs),
    });
    this.#retries = new RetryQueue(options, this.#requester);
    this.#responder = new Responder(outbox);
    this.#runner = new TaskRunner(options, outbox, {
      succeeded: (submission) => this.#taskSucceeded(submission),
      failed: (submission, state) => this.#taskFailed(submission, state),
      notStarted: (submission, nowMs) => this.#retries.add(submission, nowMs),
      release: (grantId, from, outcome, runTimeMs) =>
        this.#requester.release(grantId, from, outcome, runTimeMs),
    });
  }

  pending(): number {
    return this.#table.pending;
  }

  configure(configuration: Configuration): void {
    this.#configuration = configuration;
  }

  drain(): void {
    this.#draining = true;
  }

  setRoles(roles: Roles, nowMs: number): void {
    const changed = roles.changedSince(this.#roles);
    this.#roles = roles;
    changed.forEach((domain) => this.#claim(domain));
    this.#requester.setRoles(roles, changed, nowMs);
  }

  submit(event: Extract<CoreEvent, { type: 'submit' }>, nowMs: number): void {
    const { callId, job } = event;
    const policy = this.#configuration?.teams.get(job.team)?.kinds.get(job.kind);
    const key = event.key ?? (policy?.idempotent ? this.#issuer.issue(nowMs) : null);
    if (key === null) {
      this.#responder.refuse(callId, '', this.#reasonWithoutKey(job, policy));
      return;
    }
    const verified = this.#issuer.verify(key, nowMs);
    if (verified.err) {
      this.#responder.refuse(callId, key, verified.val);
      return;
    }
    const known = this.#table.get(key);
    if (known) {
      this.#join(known, callId, hashOf(job));
      return;
    }
    const submission = this.#open(callId, key, job, hashOf(job), verified.val.expiresAtMs, nowMs);
    const refusal = this.#refusalOnArrival(submission, policy, nowMs);
    if (refusal) this.#finishEarly(submission, Outcome.refused, refusal);
    else this.#accept(submission, nowMs);
  }

  /** Cancels; a key that was not used yet can't be used any more. */
  cancel(callId: number, key: string, nowMs: number): void {
    const verified = this.#issuer.verify(key, nowMs);
    const known = this.#table.get(key);
    if (known) {
      known.callIds.add(callId);
      if (known.answer) this.#responder.answer(callId, known.answer);
      else this.#finishEarly(known, Outcome.cancelled, Reason.cancelled);
    } else if (verified.err) {
      this.#responder.refuse(callId, key, verified.val);
    } else {
      const unused = this.#open(callId, key, NO_JOB, '', verified.val.expiresAtMs, nowMs);
      this.#finishEarly(unused, Outcome.cancelled, Reason.cancelled);
    }
  }

  await(callId: number, key: string): void {
    const known = this.#table.get(key);
    if (!known) {
      this.#responder.answer(callId, unusedKeyAnswer(key));
    } else if (known.answer) {
      this.#responder.answer(callId, known.answer);
    } else {
      known.callIds.add(callId);
    }
  }

  attemptResult(event: Extract<CoreEvent, { type: 'attemptResult' }>, nowMs: number): void {
    this.#runner.result(event.attemptId, event.source, event.result, nowMs);
  }

  receive(from: string, message: SlotMessage, nowMs: number): void {
    if (message.type === 'slotGrant') this.#requester.grant(from, message, nowMs);
    else if (message.type === 'slotRefusal') this.#requester.refusal(message, nowMs);
    else if (message.type === 'loadSummary') this.#requester.summary(message, nowMs);
  }

  /** After a pause of the process: what is overdue is refused before anything is started. */
  resume(nowMs: number): void {
    this.#expire(nowMs);
    this.#requester.reissue(nowMs);
  }

  tick(nowMs: number): void {
    this.#expire(nowMs);
    this.#runner.tick(nowMs);
    this.#retries.place(nowMs);
    this.#requester.tick(nowMs);
    this.#roles
      .domains()
      .filter((domain) =>
        this.#claims.isDue(domain, this.#requester.capacitySlots(domain, nowMs), nowMs),
      )
      .forEach((domain) => this.#claim(domain));
  }

  inspect(): SubmitterView {
    return {
      submissions: this.#table.size,
      pending: this.#table.pending,
      attemptsInProgress: this.#runner.size,
      waitingRequests: this.#requester.size,
      draining: this.#draining,
    };
  }

  #reasonWithoutKey(job: JobSpec, policy: KindPolicy | undefined): Reason {
    return policy ? Reason.keyRequired : this.#unknownWork(job);
  }

  #unknownWork(job: JobSpec): Reason {
    if (!this.#configuration) return Reason.noConfiguration;
    return this.#configuration.teams.has(job.team) ? Reason.unknownKind : Reason.unknownTeam;
  }

  #refusalOnArrival(
    submission: Submission,
    policy: KindPolicy | undefined,
    nowMs: number,
  ): Reason | null {
    if (this.#draining) return Reason.draining;
    if (!policy) return this.#unknownWork(submission.job);
    return this.#requester.isImpossible(submission, nowMs) ? Reason.impossibleJob : null;
  }

  #join(known: Submission, callId: number, bodyHash: string): void {
    if (known.bodyHash !== bodyHash && known.bodyHash !== '') {
      this.#responder.answer(callId, keyReusedAnswer(known.key));
      return;
    }
    this.#outbox.decide('join', 'same-key', { key: known.key });
    if (known.answer) this.#responder.answer(callId, known.answer);
    else known.callIds.add(callId);
  }

  /** Takes a key into use. From now on each call with this key gets the same answer. */
  #open(
    callId: number,
    key: string,
    job: JobSpec,
    bodyHash: string,
    expiresAtMs: number,
    nowMs: number,
  ): Submission {
    const submission = new Submission(key, job, bodyHash, nowMs, expiresAtMs);
    submission.callIds.add(callId);
    this.#table.add(submission);
    this.#deadlines.add(expiresAtMs, key, DueKind.expiry);
    return submission;
  }

  #accept(submission: Submission, nowMs: number): void {
    const { key, job } = submission;
    const halfMs = Math.max(0, job.deadlineMs * HALF - HALF_MARGIN_MS);
    this.#deadlines.add(nowMs + halfMs, key, DueKind.half);
    this.#deadlines.add(submission.deadlineAtMs, key, DueKind.full);
    this.#requester.place(submission, job.tasks.length, nowMs);
  }

  #start(submission: Submission, grant: Grant, domain: string, nowMs: number): boolean {
    if (!submission.begun && nowMs >= submission.arrivedAtMs + submission.job.deadlineMs * HALF) {
      this.#finishEarly(submission, Outcome.refused, Reason.overloaded);
      return false;
    }
    this.#retries.earn();
    return this.#runner.start(submission, grant, domain, nowMs);
  }

  #slotsRefused(submission: Submission, reason: Reason, retryAfterMs: number, nowMs: number): void {
    if (!submission.begun) {
      this.#finishEarly(submission, Outcome.refused, reason, retryAfterMs);
    } else if (reason === Reason.impossibleJob || reason === Reason.unknownKind) {
      this.#finishEarly(submission, Outcome.failed, reason);
    } else {
      this.#requestMissing(submission, nowMs);
    }
  }

  /** Requests slots for the queued tasks that no request covers. */
  #requestMissing(submission: Submission, nowMs: number): void {
    const missing = submission.queuedTasks - this.#requester.waiting(submission);
    if (missing > 0) this.#requester.place(submission, missing, nowMs);
  }

  #taskSucceeded(submission: Submission): void {
    if (submission.succeeded) this.#finish(submission, completeAnswer(submission));
  }

  #taskFailed(submission: Submission, state: TaskState): void {
    this.#finishEarly(submission, Outcome.failed, FAILURE_REASONS[state] ?? Reason.taskUnknown);
  }

  #expire(nowMs: number): void {
    this.#deadlines.take(nowMs).forEach(({ key, kind }) => {
      const submission = this.#table.get(key);
      if (!submission) return;
      if (kind === DueKind.expiry) this.#expireKey(submission, nowMs);
      else if (!submission.answer) this.#expireDeadline(submission, kind);
    });
  }

  #expireKey(submission: Submission, nowMs: number): void {
    if (submission.answer) this.#table.expire(submission.key);
    else this.#deadlines.add(nowMs + this.#options.taskLeaseMs, submission.key, DueKind.expiry);
  }

  #expireDeadline(submission: Submission, kind: DueKind): void {
    if (!submission.begun) {
      this.#finishEarly(submission, Outcome.refused, Reason.overloaded);
    } else if (kind === DueKind.full) {
      this.#finishEarly(submission, Outcome.failed, Reason.deadline);
    }
  }

  #claim(domain: string): void {
    const scheduler = this.#roles.schedulerOf(domain);
    const claims = this.#runner.claims(domain);
    if (scheduler !== null) this.#outbox.send(scheduler, { type: 'slotClaims', claims });
  }

  /** Ends a submission that is not complete. */
  #finishEarly(
    submission: Submission,
    outcome: Outcome,
    reason: Reason,
    retryAfterMs?: number,
  ): void {
    this.#finish(submission, earlyAnswer(submission, outcome, reason, retryAfterMs));
  }

  #finish(submission: Submission, answer: JobAnswer): void {
    const finished = submission;
    finished.finish(answer);
    this.#requester.withdraw(finished);
    this.#runner.stopAll(finished);
    this.#table.finish(finished);
    this.#responder.finish(finished, answer);
  }
}
