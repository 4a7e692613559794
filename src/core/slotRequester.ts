/**
 * Requests slots for submissions from the schedulers of the domains, and passes granted slots on.
 * The pending slots of a submission's requests add up to its queued tasks, less those that the
 * retry budget delays. A grant for which no task is queued is returned as unused.
 */
import { DomainLoads, type Portion } from './domainLoads';
import { Reason } from './job';
import {
  GrantOutcome,
  type Grant,
  type LoadSummary,
  type SlotGrant,
  type SlotRefusal,
} from './messages';
import type { CoreOptions } from './options';
import type { Outbox } from './outbox';
import type { Roles } from './roles';
import type { Submission } from './submission';

/** Time after which a waiting request may move to a domain with free slots. */
const SPILL_AFTER_MS = 5;
/** Time after which an unanswered request is sent again, in case a message was lost. */
const RESEND_AFTER_MS = 2000;

interface PendingRequest {
  readonly requestId: number;
  readonly submission: Submission;
  readonly domain: string;
  /** Slots that have not been granted or cancelled yet. */
  pending: number;
  sentAtMs: number;
}

/** Callbacks of the requester to the submitter. */
export interface RequesterCallbacks {
  /** Uses a grant. Returns false if it is not needed. */
  start(submission: Submission, grant: Grant, domain: string, nowMs: number): boolean;
  refused(submission: Submission, reason: Reason, retryAfterMs: number, nowMs: number): void;
}

/** Slot requests of one host's submissions. */
export class SlotRequester {
  readonly #ownDomain: string;

  readonly #options: CoreOptions;

  readonly #outbox: Outbox;

  readonly #callbacks: RequesterCallbacks;

  readonly #loads: DomainLoads;

  readonly #requests = new Map<number, PendingRequest>();

  #roles: Roles;

  #nextRequestId = 0;

  constructor(
    ownDomain: string,
    options: CoreOptions,
    outbox: Outbox,
    roles: Roles,
    callbacks: RequesterCallbacks,
  ) {
    this.#ownDomain = ownDomain;
    this.#options = options;
    this.#outbox = outbox;
    this.#roles = roles;
    this.#callbacks = callbacks;
    this.#loads = new DomainLoads(ownDomain);
  }

  get size(): number {
    return this.#requests.size;
  }

  /** Number of a submission's queued tasks for which slots have been requested. */
  requestedTasks(submission: Submission): number {
    return [...submission.requestIds].reduce(
      (sum, requestId) => sum + (this.#requests.get(requestId)?.pending ?? 0),
      0,
    );
  }

  /** Slots of a domain according to its last load summary; 0 if there is no current one. */
  capacitySlots(domain: string, nowMs: number): number {
    return this.#loads.capacitySlots(domain, nowMs);
  }

  isImpossible(submission: Submission, nowMs: number): boolean {
    return this.#loads.isImpossible(submission.job.resources, this.#roles.domains(), nowMs);
  }

  /** Requests slots for `count` queued tasks of a submission. */
  requestSlots(submission: Submission, count: number, nowMs: number): void {
    const { team, resources } = submission.job;
    const { spill } = this.#options.guards;
    const portions = this.#loads.split(
      { team, count, resources },
      this.#roles.domains(),
      spill,
      nowMs,
    );
    portions.forEach((portion) => this.#request(submission, portion, nowMs));
  }

  /** Uses the grants of the scheduler `from`, or returns them to it. */
  handleGrant(from: string, message: SlotGrant, nowMs: number): void {
    const request = this.#requests.get(message.requestId);
    message.grants.forEach((grant) => {
      if (!request || request.pending === 0 || request.submission.answer) {
        this.returnGrant(from, grant.grantId);
        return;
      }
      request.pending -= 1;
      if (request.pending === 0) this.#remove(request);
      const used = this.#callbacks.start(request.submission, grant, request.domain, nowMs);
      if (!used) this.returnGrant(from, grant.grantId);
    });
  }

  handleRefusal(message: SlotRefusal, nowMs: number): void {
    const request = this.#requests.get(message.requestId);
    if (!request) return;
    const { submission, domain, pending } = request;
    this.#remove(request);
    if (submission.answer) return;
    submission.refusedBy.add(domain);
    const reason = message.reason as Reason;
    const other = this.#alternativeDomain(submission, pending, nowMs);
    if (other) {
      this.#outbox.count('requests.moved');
      this.#outbox.decide('move-request', reason, { key: submission.key, from: domain, to: other });
      this.#request(submission, { domain: other, count: pending }, nowMs);
    } else {
      this.#callbacks.refused(submission, reason, message.retryAfterMs, nowMs);
    }
  }

  handleSummary(message: LoadSummary, nowMs: number): void {
    this.#loads.update(message, nowMs);
  }

  /** Cancels all requests of a submission. */
  withdraw(submission: Submission): void {
    [...submission.requestIds].forEach((requestId) => {
      const request = this.#requests.get(requestId);
      if (request) this.#cancel(request, request.pending);
    });
  }

  /** Moves waiting requests to domains with free slots, and repeats unanswered ones. */
  tick(nowMs: number): void {
    if (this.#options.guards.spill) this.#spill(nowMs);
    this.#requests.forEach((request) => {
      if (nowMs - request.sentAtMs >= RESEND_AFTER_MS) this.#send(request, nowMs);
    });
  }

  /**
   * Replaces all requests by new ones with new ids, so that grants made before a pause are not
   * used.
   */
  reissue(nowMs: number): void {
    [...this.#requests.values()].forEach((request) => {
      const { submission, domain, pending } = request;
      this.#cancel(request, pending);
      this.#request(submission, { domain, count: pending }, nowMs);
    });
  }

  /**
   * Applies a change of schedulers. Requests go to the new scheduler of their domain, or to the own
   * domain if theirs has no scheduler any more.
   */
  setRoles(roles: Roles, changed: ReadonlySet<string>, nowMs: number): void {
    this.#roles = roles;
    [...this.#requests.values()]
      .filter((request) => changed.has(request.domain))
      .forEach((request) => {
        if (roles.schedulerOf(request.domain) !== null) {
          this.#send(request, nowMs);
          return;
        }
        const { submission, pending } = request;
        this.#remove(request);
        this.#request(submission, { domain: this.#ownDomain, count: pending }, nowMs);
      });
    changed.forEach((domain) => {
      if (roles.schedulerOf(domain) === null) this.#loads.remove(domain);
    });
  }

  /** Returns an unused grant to the scheduler that made it. */
  returnGrant(scheduler: string, grantId: number): void {
    this.#outbox.count('grants.unused');
    this.#outbox.send(scheduler, {
      type: 'slotRelease',
      grantId,
      outcome: GrantOutcome.unused,
      runTimeMs: 0,
    });
  }

  release(grantId: number, domain: string, outcome: GrantOutcome, runTimeMs: number): void {
    const scheduler = this.#roles.schedulerOf(domain);
    if (scheduler === null) return;
    this.#outbox.send(scheduler, { type: 'slotRelease', grantId, outcome, runTimeMs });
  }

  #request(submission: Submission, { domain, count }: Portion, nowMs: number): void {
    this.#nextRequestId += 1;
    const request = {
      requestId: this.#nextRequestId,
      submission,
      domain,
      pending: count,
      sentAtMs: nowMs,
    };
    this.#requests.set(request.requestId, request);
    submission.requestIds.add(request.requestId);
    this.#loads.recordRequest(domain, count);
    this.#send(request, nowMs);
  }

  #send(pending: PendingRequest, nowMs: number): void {
    const request = pending;
    const { submission, domain } = request;
    const { job } = submission;
    request.sentAtMs = nowMs;
    const scheduler = this.#roles.schedulerOf(domain);
    if (scheduler === null) return;
    this.#outbox.decide('request-slots', domain === this.#ownDomain ? 'own-domain' : 'spill', {
      key: submission.key,
      requestId: request.requestId,
      domain,
      scheduler,
      count: request.pending,
    });
    this.#outbox.send(scheduler, {
      type: 'slotRequest',
      requestId: request.requestId,
      team: job.team,
      kind: job.kind,
      count: request.pending,
      resources: job.resources,
      deadlineMs: Math.max(0, submission.deadlineAtMs - nowMs),
      jobTasks: job.tasks.length,
      begun: submission.begun,
      waitedMs: nowMs - submission.arrivedAtMs,
    });
  }

  #cancel(pending: PendingRequest, count: number): void {
    const request = pending;
    request.pending -= count;
    if (request.pending === 0) this.#remove(request);
    const scheduler = this.#roles.schedulerOf(request.domain);
    if (scheduler === null) return;
    this.#outbox.send(scheduler, { type: 'slotCancel', requestId: request.requestId, count });
  }

  #remove(request: PendingRequest): void {
    this.#requests.delete(request.requestId);
    request.submission.requestIds.delete(request.requestId);
  }

  #spill(nowMs: number): void {
    const free = this.#roles
      .domains()
      .map((domain) => ({ domain, slots: this.#loads.freeSlots(domain, nowMs) }))
      .filter(({ slots }) => slots > 0);
    if (free.length === 0) return;
    [...this.#requests.values()].forEach((request) => {
      if (nowMs - request.sentAtMs < SPILL_AFTER_MS) return;
      free.forEach(({ domain }) => this.#move(request, domain, nowMs));
    });
  }

  #move(request: PendingRequest, domain: string, nowMs: number): void {
    const { submission } = request;
    if (domain === request.domain || request.pending === 0) return;
    if (!this.#loads.canRun(domain, submission.job.resources, nowMs)) return;
    const movable = this.#loads.movableTasks(submission.job.team, request.domain, domain, nowMs);
    const count = Math.min(request.pending, movable);
    if (count === 0) return;
    this.#outbox.count('requests.moved', count);
    this.#cancel(request, count);
    this.#request(submission, { domain, count }, nowMs);
  }

  /** A domain that has not refused the job and has room for its tasks; null if there is none. */
  #alternativeDomain({ job, refusedBy }: Submission, count: number, nowMs: number): string | null {
    if (!this.#options.guards.spill) return null;
    const demand = { team: job.team, count, resources: job.resources };
    const others = this.#roles.domains().filter((domain) => !refusedBy.has(domain));
    return others.find((domain) => this.#loads.hasRoomFor(demand, domain, nowMs)) ?? null;
  }
}
