/**
 * Submitter: owns the submissions whose keys this process incarnation issued, from arrival to
 * answer. Each call gets exactly one answer. An answer says "not run" only if no task has started
 * or ever will.
 */
import { createHash } from 'node:crypto';
import type { Configuration, KindPolicy } from '../configuration/policy';
import { completeAnswer, incompleteAnswer, keyReusedAnswer, unusedKeyAnswer } from './answers';
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

/** Fraction of the deadline within which a job must start; otherwise it is refused. */
const START_DEADLINE_FRACTION = 0.5;
/** Refusals are scheduled this much earlier, because deadlines are checked at ticks only. */
const START_DEADLINE_MARGIN_MS = 20;

const FAILURE_REASONS: Partial<Record<TaskState, Reason>> = {
  [TaskState.failed]: Reason.taskFailed,
  [TaskState.stopped]: Reason.taskUnknown,
  [TaskState.unknown]: Reason.taskUnknown,
};

/**
 * Hash that identifies the body of a job. It leaves out the deadline: a caller that submits again
 * has less time left, and one that sets no deadline gets the default of the configuration then in
 * force.
 */
function bodyHashOf({ deadlineMs, ...body }: JobSpec): string {
  return createHash('sha256').update(JSON.stringify(body)).digest('base64');
}

/** Job of a submission that was cancelled before its job arrived. */
const PLACEHOLDER_JOB: JobSpec = {
  team: '',
  kind: '',
  deadlineMs: 0,
  resources: NO_RESOURCES,
  tasks: [],
};

/** Dependencies of a submitter. */
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

  readonly #retryQueue: RetryQueue;

  readonly #responder: Responder;

  #configuration: Configuration | null = null;

  #roles = Roles.empty();

  #draining = false;

  readonly #claimSchedule = new ClaimSchedule();

  constructor({ domain, options, outbox, issuer }: SubmitterParts) {
    this.#options = options;
    this.#outbox = outbox;
    this.#issuer = issuer;
    this.#table = new SubmissionTable(options.answerBytesLimit);
    this.#requester = new SlotRequester(domain, options, outbox, this.#roles, {
      start: (submission, grant, from, nowMs) => this.#startTask(submission, grant, from, nowMs),
      refused: (submission, reason, retryAfterMs, nowMs) =>
        this.#slotsRefused(submission, reason, retryAfterMs, nowMs),
    });
    this.#retryQueue = new RetryQueue(options, this.#requester);
    this.#responder = new Responder(outbox);
    this.#runner = new TaskRunner(options, outbox, {
      succeeded: (submission) => this.#taskSucceeded(submission),
      failed: (submission, state) => this.#taskFailed(submission, state),
      notStarted: (submission, nowMs) => this.#retryQueue.add(submission, nowMs),
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
    changed.forEach((domain) => this.#sendClaims(domain));
    this.#requester.setRoles(roles, changed, nowMs);
  }

  submit(event: Extract<CoreEvent, { type: 'submit' }>, nowMs: number): void {
    const { callId, job } = event;
    const policy = this.#configuration?.teams.get(job.team)?.kinds.get(job.kind);
    const key = event.key ?? (policy?.idempotent ? this.#issuer.issue(nowMs) : null);
    if (key === null) {
      this.#responder.refuse(callId, '', this.#missingKeyReason(job, policy));
      return;
    }
    const verified = this.#issuer.verify(key, nowMs);
    if (verified.err) {
      this.#responder.refuse(callId, key, verified.val);
      return;
    }
    const existing = this.#table.get(key);
    if (existing) {
      this.#join(existing, callId, bodyHashOf(job));
      return;
    }
    const submission = this.#createSubmission(
      callId,
      key,
      job,
      bodyHashOf(job),
      verified.val.expiresAtMs,
      nowMs,
    );
    const refusal = this.#refusalOnArrival(submission, policy, nowMs);
    if (refusal) this.#finishIncomplete(submission, Outcome.refused, refusal);
    else this.#accept(submission, nowMs);
  }

  /** Cancels a submission. If its job has not arrived yet, the job is never started. */
  cancel(callId: number, key: string, nowMs: number): void {
    const verified = this.#issuer.verify(key, nowMs);
    const existing = this.#table.get(key);
    if (existing) {
      existing.callIds.add(callId);
      if (existing.answer) this.#responder.answer(callId, existing.answer);
      else this.#finishIncomplete(existing, Outcome.cancelled, Reason.cancelled);
    } else if (verified.err) {
      this.#responder.refuse(callId, key, verified.val);
    } else {
      const unused = this.#createSubmission(
        callId,
        key,
        PLACEHOLDER_JOB,
        '',
        verified.val.expiresAtMs,
        nowMs,
      );
      this.#finishIncomplete(unused, Outcome.cancelled, Reason.cancelled);
    }
  }

  await(callId: number, key: string): void {
    const existing = this.#table.get(key);
    if (!existing) {
      this.#responder.answer(callId, unusedKeyAnswer(key));
    } else if (existing.answer) {
      this.#responder.answer(callId, existing.answer);
    } else {
      existing.callIds.add(callId);
    }
  }

  attemptResult(event: Extract<CoreEvent, { type: 'attemptResult' }>, nowMs: number): void {
    this.#runner.result(event.attemptId, event.source, event.result, nowMs);
  }

  receive(from: string, message: SlotMessage, nowMs: number): void {
    if (message.type === 'slotGrant') this.#requester.handleGrant(from, message, nowMs);
    else if (message.type === 'slotRefusal') this.#requester.handleRefusal(message, nowMs);
    else if (message.type === 'loadSummary') this.#requester.handleSummary(message, nowMs);
  }

  /** Called after a pause of the process: ends overdue submissions before any task is started. */
  resume(nowMs: number): void {
    this.#handleDeadlines(nowMs);
    this.#requester.reissue(nowMs);
  }

  tick(nowMs: number): void {
    this.#handleDeadlines(nowMs);
    this.#runner.tick(nowMs);
    this.#retryQueue.requestSlots(nowMs);
    this.#requester.tick(nowMs);
    this.#roles
      .domains()
      .filter((domain) =>
        this.#claimSchedule.markSentIfDue(
          domain,
          this.#requester.capacitySlots(domain, nowMs),
          nowMs,
        ),
      )
      .forEach((domain) => this.#sendClaims(domain));
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

  #missingKeyReason(job: JobSpec, policy: KindPolicy | undefined): Reason {
    return policy ? Reason.keyRequired : this.#unknownKindReason(job);
  }

  #unknownKindReason(job: JobSpec): Reason {
    if (!this.#configuration) return Reason.noConfiguration;
    return this.#configuration.teams.has(job.team) ? Reason.unknownKind : Reason.unknownTeam;
  }

  #refusalOnArrival(
    submission: Submission,
    policy: KindPolicy | undefined,
    nowMs: number,
  ): Reason | null {
    if (this.#draining) return Reason.draining;
    if (!policy) return this.#unknownKindReason(submission.job);
    return this.#requester.isImpossible(submission, nowMs) ? Reason.impossibleJob : null;
  }

  #join(existing: Submission, callId: number, bodyHash: string): void {
    if (existing.bodyHash !== bodyHash && existing.bodyHash !== '') {
      this.#responder.answer(callId, keyReusedAnswer(existing.key));
      return;
    }
    this.#outbox.decide('join', 'same-key', { key: existing.key });
    if (existing.answer) this.#responder.answer(callId, existing.answer);
    else existing.callIds.add(callId);
  }

  /** Creates the submission of a key. From now on each call with this key gets the same answer. */
  #createSubmission(
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
    this.#deadlines.add(expiresAtMs, key, DueKind.keyExpiry);
    return submission;
  }

  #accept(submission: Submission, nowMs: number): void {
    const { key, job } = submission;
    const startDeadlineMs = Math.max(
      0,
      job.deadlineMs * START_DEADLINE_FRACTION - START_DEADLINE_MARGIN_MS,
    );
    this.#deadlines.add(nowMs + startDeadlineMs, key, DueKind.startDeadline);
    this.#deadlines.add(submission.deadlineAtMs, key, DueKind.jobDeadline);
    this.#requester.requestSlots(submission, job.tasks.length, nowMs);
  }

  #startTask(submission: Submission, grant: Grant, domain: string, nowMs: number): boolean {
    if (
      !submission.begun &&
      nowMs >= submission.arrivedAtMs + submission.job.deadlineMs * START_DEADLINE_FRACTION
    ) {
      this.#finishIncomplete(submission, Outcome.refused, Reason.overloaded);
      return false;
    }
    this.#retryQueue.recordStart();
    return this.#runner.start(submission, grant, domain, nowMs);
  }

  #slotsRefused(submission: Submission, reason: Reason, retryAfterMs: number, nowMs: number): void {
    if (!submission.begun) {
      this.#finishIncomplete(submission, Outcome.refused, reason, retryAfterMs);
    } else if (reason === Reason.impossibleJob || reason === Reason.unknownKind) {
      this.#finishIncomplete(submission, Outcome.failed, reason);
    } else {
      this.#requestMissing(submission, nowMs);
    }
  }

  /** Requests slots for queued tasks for which none have been requested. */
  #requestMissing(submission: Submission, nowMs: number): void {
    const missing = submission.queuedTasks - this.#requester.requestedTasks(submission);
    if (missing > 0) this.#requester.requestSlots(submission, missing, nowMs);
  }

  #taskSucceeded(submission: Submission): void {
    if (submission.succeeded) this.#finish(submission, completeAnswer(submission));
  }

  #taskFailed(submission: Submission, state: TaskState): void {
    this.#finishIncomplete(
      submission,
      Outcome.failed,
      FAILURE_REASONS[state] ?? Reason.taskUnknown,
    );
  }

  #handleDeadlines(nowMs: number): void {
    this.#deadlines.take(nowMs).forEach(({ key, kind }) => {
      const submission = this.#table.get(key);
      if (!submission) return;
      if (kind === DueKind.keyExpiry) this.#expireKey(submission, nowMs);
      else if (!submission.answer) this.#expireDeadline(submission, kind);
    });
  }

  #expireKey(submission: Submission, nowMs: number): void {
    if (submission.answer) this.#table.expire(submission.key);
    else this.#deadlines.add(nowMs + this.#options.taskLeaseMs, submission.key, DueKind.keyExpiry);
  }

  #expireDeadline(submission: Submission, kind: DueKind): void {
    if (!submission.begun) {
      this.#finishIncomplete(submission, Outcome.refused, Reason.overloaded);
    } else if (kind === DueKind.jobDeadline) {
      this.#finishIncomplete(submission, Outcome.failed, Reason.deadline);
    }
  }

  #sendClaims(domain: string): void {
    const scheduler = this.#roles.schedulerOf(domain);
    const claims = this.#runner.claims(domain);
    if (scheduler !== null) this.#outbox.send(scheduler, { type: 'slotClaims', claims });
  }

  /** Answers a submission of which not all tasks have succeeded. */
  #finishIncomplete(
    submission: Submission,
    outcome: Outcome,
    reason: Reason,
    retryAfterMs?: number,
  ): void {
    this.#finish(submission, incompleteAnswer(submission, outcome, reason, retryAfterMs));
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
