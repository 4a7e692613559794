/**
 * Callers behind a load balancer. A call goes to a ready host in turn; a call with a key is forwarded
 * to the host that issued it, and gets `unknown` when that process is gone or out of reach.
 */
import type { CoreEvent } from '../core/events';
import type { JobAnswer, JobSpec } from '../core/job';
import type { EntryHost } from './entryHost';
import type { FleetShape } from './fleet';
import type { Network } from './network';
import type { CallRecord, JobPlan, JobRecord, RunRecord } from './records';
import type { Timeline } from './timeline';

/** After this time an issuer that can't be reached is given up. */
const FORWARD_TIMEOUT_MS = 1000;

/** The job as it is submitted; a task's payload tells the fake worker its run time. */
export function specOf(job: JobRecord): JobSpec {
  const { plan, jobId } = job;
  return {
    team: plan.team,
    kind: plan.kind,
    deadlineMs: plan.deadlineMs,
    resources: plan.resources,
    tasks: plan.tasks.map(({ runMs, declaredMs }, index) => ({
      id: `t${index}`,
      payload: { jobId, runMs },
      declaredMs,
    })),
  };
}

/** What the callers need of the run. */
export interface CallerSite {
  readonly shape: FleetShape;
  readonly timeline: Timeline;
  readonly network: Network;
  readonly record: RunRecord;
  readonly hosts: readonly EntryHost[];
}

/** All callers of a run. */
export class Callers {
  readonly #site: CallerSite;

  /** Calls without an answer. */
  readonly #open = new Map<number, CallRecord>();

  /** Turns of the balancer; keys have their own, so that jobs with keys do not skip every other host. */
  #turn = 0;

  #keyTurn = 0;

  constructor(site: CallerSite) {
    this.#site = site;
  }

  /** Submits a new job; returns the id of the call, or null if no host is ready. */
  submit(plan: JobPlan): number | null {
    const issuer = plan.keyed ? this.#nextIssuer() : null;
    if (plan.keyed && issuer === null) {
      return null;
    }
    const { record, timeline } = this.#site;
    const job: JobRecord = {
      jobId: record.jobs.length,
      plan,
      key: issuer?.core.issueKeys(1, timeline.nowMs())[0] ?? null,
      issuerId: issuer?.id ?? null,
      issuerIncarnation: issuer?.incarnation ?? null,
    };
    record.jobs.push(job);
    return this.#call(job, 'submit');
  }

  /** Submits a job with a key once more, through the next host. */
  resubmit(jobId: number): number {
    return this.#call(this.#keyedJob(jobId), 'submit');
  }

  cancel(jobId: number): number {
    return this.#call(this.#keyedJob(jobId), 'cancel');
  }

  /** Calls of a host that dies break; those forwarded to it get `unknown`. */
  hostGone(hostId: string): void {
    [...this.#open.values()].forEach((call) => {
      const { entryId, ownerId } = call;
      if (entryId === hostId) {
        this.#lose(call);
      } else if (ownerId === hostId) {
        this.#answerUnknown(call);
      }
    });
  }

  /** Forwarded calls over a path that was cut get `unknown` after a while. */
  pathsCut(): void {
    this.#site.timeline.after(FORWARD_TIMEOUT_MS, () => {
      [...this.#open.values()]
        .filter((call) => this.#forwardBlocked(call))
        .forEach((call) => this.#answerUnknown(call));
    });
  }

  /** Takes a core's answer to the caller. */
  onAnswer(host: EntryHost, callId: number, answer: JobAnswer): void {
    const { timeline, network, record } = this.#site;
    const call = record.call(callId);
    call.coreAnswers.push(answer);
    if (call.type === 'submit') {
      record.answeredJobs.add(call.jobId);
    }
    call.decidedAtMs ??= timeline.nowMs();
    const entry = this.#hostOf(call.entryId);
    if (entry === null || entry === host) {
      this.#reply(call, answer);
    } else {
      network.deliver(host.domain, entry.domain, () => this.#reply(call, answer));
    }
  }

  #call(job: JobRecord, type: 'submit' | 'cancel'): number {
    const { record, timeline, shape } = this.#site;
    const call: CallRecord = {
      callId: record.calls.length,
      jobId: job.jobId,
      type,
      sentAtMs: timeline.nowMs(),
      entryId: null,
      ownerId: null,
      arrivedAtMs: null,
      decidedAtMs: null,
      answeredAtMs: null,
      answer: null,
      coreAnswers: [],
      lost: false,
    };
    record.calls.push(call);
    this.#open.set(call.callId, call);
    timeline.after(shape.clientMs, () => this.#arrive(job, call));
    return call.callId;
  }

  #arrive(job: JobRecord, target: CallRecord): void {
    const call = target;
    const entry = this.#nextHost();
    if (entry === null) {
      this.#lose(call);
      return;
    }
    const { timeline, network } = this.#site;
    call.entryId = entry.id;
    call.arrivedAtMs = timeline.nowMs();
    const owner = job.issuerId === null ? entry : this.#hostOf(job.issuerId);
    call.ownerId = owner?.id ?? null;
    if (owner === entry) {
      this.#handOver(job, call, entry);
    } else if (owner === null || network.blocked(entry.domain, owner.domain)) {
      timeline.after(FORWARD_TIMEOUT_MS, () => this.#answerUnknown(call));
    } else {
      network.deliver(entry.domain, owner.domain, () => this.#handOver(job, call, owner));
    }
  }

  #handOver(job: JobRecord, call: CallRecord, owner: EntryHost): void {
    const foreign = job.issuerIncarnation !== null && job.issuerIncarnation !== owner.incarnation;
    if (owner.phase === 'down' || foreign) {
      this.#answerUnknown(call);
      return;
    }
    const { callId } = call;
    const event: CoreEvent =
      call.type === 'cancel'
        ? { type: 'cancel', callId, key: job.key ?? '' }
        : { type: 'submit', callId, key: job.key, job: specOf(job) };
    owner.deliver(event);
  }

  /** What the entry host's service answers when the issuer can't be reached. */
  #answerUnknown(call: CallRecord): void {
    const { record } = this.#site;
    this.#reply(call, {
      outcome: 'unknown',
      key: record.job(call.jobId).key ?? '',
      notRun: false,
      reason: 'issuer-unreachable',
      tasks: [],
    });
  }

  #reply(target: CallRecord, answer: JobAnswer): void {
    const call = target;
    const { timeline, shape } = this.#site;
    if (!this.#open.has(call.callId) || this.#hostOf(call.entryId)?.phase === 'down') {
      return;
    }
    this.#open.delete(call.callId);
    call.answer = answer;
    call.decidedAtMs ??= timeline.nowMs();
    call.answeredAtMs = timeline.nowMs() + shape.clientMs;
  }

  #lose(target: CallRecord): void {
    const call = target;
    this.#open.delete(call.callId);
    call.lost = true;
  }

  #forwardBlocked(call: CallRecord): boolean {
    const entry = this.#hostOf(call.entryId);
    const owner = this.#hostOf(call.ownerId);
    return (
      entry !== null && owner !== null && this.#site.network.blocked(entry.domain, owner.domain)
    );
  }

  #hostOf(id: string | null): EntryHost | null {
    return this.#site.hosts.find((host) => host.id === id) ?? null;
  }

  #nextHost(): EntryHost | null {
    const ready = this.#site.hosts.filter((host) => host.ready);
    this.#turn += 1;
    return ready[this.#turn % ready.length] ?? null;
  }

  #nextIssuer(): EntryHost | null {
    const ready = this.#site.hosts.filter((host) => host.ready && host.phase === 'up');
    this.#keyTurn += 1;
    return ready[this.#keyTurn % ready.length] ?? null;
  }

  #keyedJob(jobId: number): JobRecord {
    const job = this.#site.record.job(jobId);
    if (job.key === null) {
      throw new Error(`job ${jobId} has no key`);
    }
    return job;
  }
}
