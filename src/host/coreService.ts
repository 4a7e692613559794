/**
 * Runs the core (the decision logic) of a host: passes events to it, performs the resulting
 * actions, and resolves each call with its answer. Submissions with keys that another host issued
 * are forwarded to that host.
 */
import type { Configuration, KindPolicy } from '../configuration/policy';
import {
  Outcome,
  parseKey,
  Reason,
  TICK_MS,
  type Clock,
  type Core,
  type CoreAction,
  type CoreEvent,
  type HostView,
  type JobAnswer,
  type JobSpec,
} from '../core';
import { MemberState, type Member, type SlotMessage } from '../core/messages';
import { ServiceName, type Service } from '../kernel';
import type { DecisionLog, Metrics } from '../observe';
import type { PeerOrigin, PeerTransport } from '../peers/transport';
import type { HostListEntry, Workers } from '../workers';
import { canonicalJob } from './canonicalJob';
import { reportGauges } from './gauges';
import type { SubmissionService } from './submissionService';

const GAUGE_PERIOD_MS = 1000;
/** Limit of connections to one worker, divided evenly among the entry hosts that are not dead. */
const WORKER_CONNECTIONS = 60;

/** Dependencies of a `CoreService`. */
export interface CoreServiceParts {
  readonly hostId: string;
  readonly core: Omit<Core, 'inspect'> & { inspect(nowMs: number): HostView };
  readonly clock: Clock;
  readonly workers: Workers;
  readonly peers: PeerTransport;
  readonly decisions: DecisionLog;
  readonly metrics: Metrics;
}

function unknownOutcome(key: string): JobAnswer {
  return {
    outcome: Outcome.unknown,
    key,
    notRun: false,
    reason: Reason.issuerUnreachable,
    tasks: [],
  };
}

/** Connects the core of a host to callers, peers, workers and outputs. */
export class CoreService implements Service, SubmissionService {
  readonly name = ServiceName.core;

  readonly #parts: CoreServiceParts;

  readonly #calls = new Map<number, (answer: JobAnswer) => void>();

  #nextCallId = 0;

  #timer: NodeJS.Timeout | null = null;

  #gaugeTimer: NodeJS.Timeout | null = null;

  #members: ReadonlyMap<string, Member> = new Map();

  #configuration: Configuration | null = null;

  #draining = false;

  constructor(parts: CoreServiceParts) {
    this.#parts = parts;
  }

  async open(): Promise<void> {
    this.#timer = setInterval(() => this.#dispatch({ type: 'tick' }), TICK_MS);
    this.#gaugeTimer = setInterval(
      () => reportGauges(this.inspect(), this.#parts.metrics),
      GAUGE_PERIOD_MS,
    );
  }

  async close(): Promise<void> {
    if (this.#timer) clearInterval(this.#timer);
    if (this.#gaugeTimer) clearInterval(this.#gaugeTimer);
    this.#timer = null;
  }

  submit(key: string | null, job: JobSpec): Promise<JobAnswer> {
    const issuer = key === null ? null : this.#remoteIssuer(key);
    if (key === null || issuer === null) {
      return this.#submitHere(key, job);
    }
    return this.#forward(key, issuer, (address, incarnation) =>
      this.#parts.peers.forward(address, incarnation, key, job),
    );
  }

  cancel(key: string): Promise<JobAnswer> {
    const issuer = this.#remoteIssuer(key);
    if (issuer === null) return this.acceptForwardedCancel(key);
    return this.#forward(key, issuer, (address, incarnation) =>
      this.#parts.peers.forwardCancel(address, incarnation, key),
    );
  }

  awaitAnswer(key: string): Promise<JobAnswer> {
    const issuer = this.#remoteIssuer(key);
    if (issuer === null) return this.acceptForwardedAwait(key);
    return this.#forward(key, issuer, (address, incarnation) =>
      this.#parts.peers.forwardAwait(address, incarnation, key),
    );
  }

  issueKeys(count: number): readonly string[] {
    return this.#parts.core.issueKeys(count, this.#parts.clock.nowMs());
  }

  kindPolicy(team: string, kind: string): KindPolicy | null {
    return this.#configuration?.teams.get(team)?.kinds.get(kind) ?? null;
  }

  ready(): boolean {
    return this.#configuration !== null && !this.#draining;
  }

  /**
   * Accepts a submission forwarded by another host. Only the core of this incarnation decides on
   * it.
   */
  acceptForwarded(key: string, job: JobSpec): Promise<JobAnswer> {
    return this.#submitHere(key, job);
  }

  acceptForwardedCancel(key: string): Promise<JobAnswer> {
    return this.#call((callId) => ({ type: 'cancel', callId, key }));
  }

  acceptForwardedAwait(key: string): Promise<JobAnswer> {
    return this.#call((callId) => ({ type: 'await', callId, key }));
  }

  receive(from: PeerOrigin, messages: readonly SlotMessage[]): void {
    this.#dispatch({ type: 'peerMessages', from, messages });
  }

  setConfiguration(configuration: Configuration): void {
    this.#configuration = configuration;
    this.#dispatch({ type: 'configuration', configuration });
  }

  setMembers(members: readonly Member[]): void {
    this.#members = new Map(members.map((member) => [member.hostId, member]));
    const alive = members.filter(({ state }) => state !== MemberState.dead).length;
    const connections = Math.floor(WORKER_CONNECTIONS / Math.max(1, alive));
    this.#parts.workers.setConnectionLimit(Math.max(1, connections));
    this.#dispatch({ type: 'members', members });
  }

  setWorkerList(entries: readonly HostListEntry[]): void {
    this.#dispatch({ type: 'workerList', entries });
  }

  confirm(): void {
    this.#dispatch({ type: 'confirmed' });
  }

  drain(): void {
    this.#draining = true;
    this.#dispatch({ type: 'drain' });
  }

  pending(): number {
    return this.#parts.core.pending();
  }

  inspect(): HostView {
    return this.#parts.core.inspect(this.#parts.clock.nowMs());
  }

  #submitHere(key: string | null, job: JobSpec): Promise<JobAnswer> {
    const canonical = canonicalJob(job);
    const answer = this.#call((callId) => ({ type: 'submit', callId, key, job: canonical }));
    this.#recordResponseTime(job, answer);
    return answer;
  }

  async #recordResponseTime({ team, kind }: JobSpec, pending: Promise<JobAnswer>): Promise<void> {
    const { clock, metrics } = this.#parts;
    const startedAtMs = clock.nowMs();
    const { outcome } = await pending;
    metrics.timing('jobs.response', clock.nowMs() - startedAtMs, { team, kind, outcome });
  }

  /**
   * Returns the issuer of a key if it is another host. The core refuses malformed keys (null here).
   */
  #remoteIssuer(key: string): { readonly hostId: string; readonly incarnation: string } | null {
    const parts = parseKey(key);
    return parts === null || parts.hostId === this.#parts.hostId ? null : parts;
  }

  async #forward(
    key: string,
    issuer: { readonly hostId: string; readonly incarnation: string },
    send: (address: string, incarnation: string) => Promise<JobAnswer | null>,
  ): Promise<JobAnswer> {
    const member = this.#members.get(issuer.hostId);
    const reachable =
      member !== undefined &&
      member.incarnation === issuer.incarnation &&
      member.state !== MemberState.dead;
    this.#parts.decisions.record({
      decision: 'forward',
      reason: reachable ? 'issuer' : Reason.issuerUnreachable,
      fields: { key, issuer: issuer.hostId },
    });
    if (!reachable) return unknownOutcome(key);
    return (await send(member.peerAddress, member.incarnation)) ?? unknownOutcome(key);
  }

  #call(createEvent: (callId: number) => CoreEvent): Promise<JobAnswer> {
    this.#nextCallId += 1;
    const callId = this.#nextCallId;
    return new Promise((resolve) => {
      this.#calls.set(callId, resolve);
      this.#dispatch(createEvent(callId));
    });
  }

  #dispatch(event: CoreEvent): void {
    this.#parts.core
      .handle(event, this.#parts.clock.nowMs())
      .forEach((action) => this.#perform(action));
  }

  #perform(action: CoreAction): void {
    const { peers, decisions, metrics } = this.#parts;
    switch (action.type) {
      case 'send':
        peers.send(this.#members.get(action.to)?.peerAddress ?? '', action.messages);
        break;
      case 'answer':
        this.#calls.get(action.callId)?.(action.answer);
        this.#calls.delete(action.callId);
        break;
      case 'decision':
        decisions.record(action.decision);
        break;
      case 'count':
        metrics.count(action.name, action.value, action.tags);
        break;
      default:
        this.#performWorkerAction(action);
    }
  }

  #performWorkerAction(action: CoreAction): void {
    const { workers } = this.#parts;
    switch (action.type) {
      case 'startTask':
        this.#reportAttemptResult(
          action.start.attemptId,
          'start',
          workers.start(action.worker, action.start),
        );
        break;
      case 'revokeTask':
        this.#reportAttemptResult(
          action.attemptId,
          'revoke',
          workers.revoke(action.worker, action.attemptId),
        );
        break;
      case 'inquireTask':
        this.#reportAttemptResult(
          action.attemptId,
          'inquire',
          workers.inquire(action.worker, action.attemptId, action.waitMs),
        );
        break;
      case 'stopTask':
        workers.stop(action.worker, action.attemptId);
        break;
      case 'renewLeases':
        workers.renew(action.worker, action.attemptIds, action.leaseMs);
        break;
      case 'pollStatus':
        this.#poll(action.workerId, action.address);
        break;
      default:
    }
  }

  async #reportAttemptResult(
    attemptId: string,
    source: 'start' | 'revoke' | 'inquire',
    pending: ReturnType<Workers['start']>,
  ): Promise<void> {
    this.#dispatch({ type: 'attemptResult', attemptId, source, result: await pending });
  }

  async #poll(workerId: string, address: string): Promise<void> {
    const status = await this.#parts.workers.status(address);
    this.#dispatch({ type: 'workerStatus', workerId, status });
  }
}
