/**
 * Asks the domains' schedulers for slots on behalf of submissions, and hands granted slots out. The
 * waiting counts of a submission's requests together equal its queued tasks, less those delayed by
 * the retry budget; a grant that finds no queued task is given back as unused.
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

/** Requests that wait longer than this move to a domain with free slots. */
const SPILL_AFTER_MS = 5;
/** A request without news is sent again after this time, in case a message was lost. */
const RESEND_AFTER_MS = 2000;

interface WaitingRequest {
  readonly requestId: number;
  readonly submission: Submission;
  readonly domain: string;
  waiting: number;
  sentAtMs: number;
}

/** What the requester tells the submitter. */
export interface RequesterEvents {
  /** False if the grant is not used. */
  start(submission: Submission, grant: Grant, domain: string, nowMs: number): boolean;
  refused(submission: Submission, reason: Reason, retryAfterMs: number, nowMs: number): void;
}

/** Slot requests of one host. */
export class SlotRequester {
  readonly #ownDomain: string;

  readonly #options: CoreOptions;

  readonly #outbox: Outbox;

  readonly #events: RequesterEvents;

  readonly #loads: DomainLoads;

  readonly #requests = new Map<number, WaitingRequest>();

  #roles: Roles;

  #nextRequestId = 0;

  constructor(
    ownDomain: string,
    options: CoreOptions,
    outbox: Outbox,
    roles: Roles,
    events: RequesterEvents,
  ) {
    this.#ownDomain = ownDomain;
    this.#options = options;
    this.#outbox = outbox;
    this.#roles = roles;
    this.#events = events;
    this.#loads = new DomainLoads(ownDomain);
  }

  get size(): number {
    return this.#requests.size;
  }

  /** Queued tasks of a submission that requests cover. */
  waiting(submission: Submission): number {
    return [...submission.requestIds].reduce(
      (sum, requestId) => sum + (this.#requests.get(requestId)?.waiting ?? 0),
      0,
    );
  }

  /** Slots of a domain as its scheduler last told; 0 if it is not heard of. */
  capacitySlots(domain: string, nowMs: number): number {
    return this.#loads.capacitySlots(domain, nowMs);
  }

  isImpossible(submission: Submission, nowMs: number): boolean {
    return this.#loads.isImpossible(submission.job.resources, this.#roles.domains(), nowMs);
  }

  /** Requests slots for `count` queued tasks of a submission. */
  place(submission: Submission, count: number, nowMs: number): void {
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

  /** Uses the grants of the scheduler `from`, or gives them back to it. */
  grant(from: string, message: SlotGrant, nowMs: number): void {
    const request = this.#requests.get(message.requestId);
    message.grants.forEach((grant) => {
      if (!request || request.waiting === 0 || request.submission.answer) {
        this.giveBack(from, grant.grantId);
        return;
      }
      request.waiting -= 1;
      if (request.waiting === 0) this.#drop(request);
      const used = this.#events.start(request.submission, grant, request.domain, nowMs);
      if (!used) this.giveBack(from, grant.grantId);
    });
  }

  refusal(message: SlotRefusal, nowMs: number): void {
    const request = this.#requests.get(message.requestId);
    if (!request) return;
    const { submission, domain, waiting } = request;
    this.#drop(request);
    if (submission.answer) return;
    submission.refusedBy.add(domain);
    const reason = message.reason as Reason;
    const other = this.#otherDomain(submission, waiting, nowMs);
    if (other) {
      this.#outbox.count('requests.moved');
      this.#outbox.decide('move-request', reason, { key: submission.key, from: domain, to: other });
      this.#request(submission, { domain: other, count: waiting }, nowMs);
    } else {
      this.#events.refused(submission, reason, message.retryAfterMs, nowMs);
    }
  }

  summary(message: LoadSummary, nowMs: number): void {
    this.#loads.update(message, nowMs);
  }

  /** Withdraws all requests of a submission. */
  withdraw(submission: Submission): void {
    [...submission.requestIds].forEach((requestId) => {
      const request = this.#requests.get(requestId);
      if (request) this.#cancel(request, request.waiting);
    });
  }

  /** Moves requests to other domains and repeats those without news. */
  tick(nowMs: number): void {
    if (this.#options.guards.spill) this.#spill(nowMs);
    this.#requests.forEach((request) => {
      if (nowMs - request.sentAtMs >= RESEND_AFTER_MS) this.#send(request, nowMs);
    });
  }

  /** Requests everything again under new ids, so that grants from before a pause are not used. */
  reissue(nowMs: number): void {
    [...this.#requests.values()].forEach((request) => {
      const { submission, domain, waiting } = request;
      this.#cancel(request, waiting);
      this.#request(submission, { domain, count: waiting }, nowMs);
    });
  }

  /** Follows a change of roles; requests to domains that were lost wait in the own domain. */
  setRoles(roles: Roles, changed: ReadonlySet<string>, nowMs: number): void {
    this.#roles = roles;
    [...this.#requests.values()]
      .filter((request) => changed.has(request.domain))
      .forEach((request) => {
        if (roles.schedulerOf(request.domain) !== null) {
          this.#send(request, nowMs);
          return;
        }
        const { submission, waiting } = request;
        this.#drop(request);
        this.#request(submission, { domain: this.#ownDomain, count: waiting }, nowMs);
      });
    changed.forEach((domain) => {
      if (roles.schedulerOf(domain) === null) this.#loads.forget(domain);
    });
  }

  /** Returns a grant that is not used to the scheduler that made it. */
  giveBack(scheduler: string, grantId: number): void {
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
      waiting: count,
      sentAtMs: nowMs,
    };
    this.#requests.set(request.requestId, request);
    submission.requestIds.add(request.requestId);
    this.#loads.ask(domain, count);
    this.#send(request, nowMs);
  }

  #send(waiting: WaitingRequest, nowMs: number): void {
    const request = waiting;
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
      count: request.waiting,
    });
    this.#outbox.send(scheduler, {
      type: 'slotRequest',
      requestId: request.requestId,
      team: job.team,
      kind: job.kind,
      count: request.waiting,
      resources: job.resources,
      deadlineMs: Math.max(0, submission.deadlineAtMs - nowMs),
      jobTasks: job.tasks.length,
      begun: submission.begun,
      waitedMs: nowMs - submission.arrivedAtMs,
    });
  }

  #cancel(waiting: WaitingRequest, count: number): void {
    const request = waiting;
    request.waiting -= count;
    if (request.waiting === 0) this.#drop(request);
    const scheduler = this.#roles.schedulerOf(request.domain);
    if (scheduler === null) return;
    this.#outbox.send(scheduler, { type: 'slotCancel', requestId: request.requestId, count });
  }

  #drop(request: WaitingRequest): void {
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

  #move(request: WaitingRequest, domain: string, nowMs: number): void {
    const { submission } = request;
    if (domain === request.domain || request.waiting === 0) return;
    if (!this.#loads.couldRun(domain, submission.job.resources, nowMs)) return;
    const movable = this.#loads.movable(submission.job.team, request.domain, domain, nowMs);
    const count = Math.min(request.waiting, movable);
    if (count === 0) return;
    this.#outbox.count('requests.moved', count);
    this.#cancel(request, count);
    this.#request(submission, { domain, count }, nowMs);
  }

  /** A domain that has not refused the job and has room for it, or a much shorter queue. */
  #otherDomain({ job, refusedBy }: Submission, count: number, nowMs: number): string | null {
    if (!this.#options.guards.spill) return null;
    const work = { team: job.team, count, resources: job.resources };
    const others = this.#roles.domains().filter((domain) => !refusedBy.has(domain));
    return others.find((domain) => this.#loads.hasRoomFor(work, domain, nowMs)) ?? null;
  }
}
