/**
 * Scheduler of one domain: queues slot requests from all submitters and grants the free slots of the
 * domain's workers. All of its state is soft. Workers refuse when full, so a wrong grant, or a second
 * scheduler during a change of role, costs a message and never a second start.
 */
import type { Configuration } from '../configuration/policy';
import type { HostListEntry } from '../workers/hostList';
import type { WorkerStatus } from '../workers/workers';
import { Admission } from './admission';
import type { RandomSource } from './clock';
import { leafKey, RunTimeEstimates } from './estimates';
import { FairShares, type Choice } from './fairness';
import { GrantLedger, type GrantRecord } from './grantLedger';
import { Reason } from './job';
import type { LeafQueue, QueuedRequest } from './leafQueue';
import {
  GrantOutcome,
  type Grant,
  type LoadSummary,
  type SlotClaims,
  type SlotRelease,
  type SlotRequest,
} from './messages';
import type { CoreOptions } from './options';
import type { Outbox } from './outbox';
import { SlotQueues } from './slotQueues';
import { KindFailures } from './kindFailures';
import { StatusPolls } from './statusPolls';
import { freeSlots, occupy, toRef, vacate, WorkerTable, type WorkerEntry } from './workerTable';

const CONNECTIONS_KEPT_FOR_CONTROL = 1;
const DEFAULT_CONNECTIONS = 60;
const CLAIM_MIN_AGE_MS = 3000;
const GRANT_ID_RANGE = 2 ** 52;
const REQUESTS_TRIED_PER_QUEUE = 4;
const SUMMARY_MS_PER_HOST = 8;
/** A new scheduler waits this long for the submitters' claims, to avoid granting used slots. */
const TAKEOVER_GRACE_MS = 30;

/** What a scheduler is built from. */
export interface SchedulerParts {
  readonly domain: string;
  readonly options: CoreOptions;
  readonly random: RandomSource;
  readonly outbox: Outbox;
}

/** Scheduler of a domain; it grants only while it is active. */
export class Scheduler {
  readonly #domain: string;

  readonly #options: CoreOptions;

  readonly #outbox: Outbox;

  readonly #workers: WorkerTable;

  readonly #queues = new SlotQueues();

  readonly #ledger = new GrantLedger();

  readonly #shares = new FairShares();

  readonly #estimates = new RunTimeEstimates();

  readonly #admission: Admission;

  readonly #kindFailures = new KindFailures();

  readonly #polls: StatusPolls;

  #hosts: readonly string[] = [];

  #active = false;

  #suspended = false;

  #grantsFromMs = 0;

  #nextGrantId: number;

  #nextSummaryMs = 0;

  #grantsOfPass = new Map<QueuedRequest, Grant[]>();

  constructor(parts: SchedulerParts) {
    this.#domain = parts.domain;
    this.#options = parts.options;
    this.#outbox = parts.outbox;
    this.#workers = new WorkerTable(parts.options.guards);
    this.#admission = new Admission(this.#shares, this.#estimates);
    this.#polls = new StatusPolls(parts.options.statusPeriodMs);
    this.#nextGrantId = Math.floor(parts.random.next() * GRANT_ID_RANGE);
  }

  get active(): boolean {
    return this.#active;
  }

  configure(configuration: Configuration, nowMs: number): void {
    this.#shares.configure(configuration);
    this.#grantAll(nowMs);
  }

  /** Takes or gives up the role. */
  setActive(active: boolean, nowMs: number): void {
    if (active === this.#active) return;
    this.#active = active;
    this.#suspended = false;
    this.#outbox.decide('scheduler', active ? 'role-taken' : 'role-given-up', {
      domain: this.#domain,
    });
    if (active) {
      this.#grantsFromMs = nowMs + TAKEOVER_GRACE_MS;
      this.#polls.startTakeover(nowMs);
    } else {
      this.#queues.clear();
      this.#ledger.clear().forEach((record) => this.#unuse(record));
    }
  }

  /** After a pause of the process: no grants until membership has confirmed this host. */
  suspend(): void {
    this.#suspended = this.#active;
  }

  confirm(nowMs: number): void {
    if (!this.#suspended) return;
    this.#suspended = false;
    this.#grantAll(nowMs);
  }

  /** Hosts that are alive; the grants of others are reclaimed after one task lease. */
  setHosts(hosts: readonly string[], nowMs: number): void {
    this.#hosts = hosts;
    const alive = new Set(hosts);
    hosts.forEach((host) => this.#ledger.markAlive(host));
    this.#ledger
      .hosts()
      .filter((host) => !alive.has(host))
      .forEach((host) => {
        this.#ledger.markDead(host, nowMs);
        this.#queues.dropHost(host);
      });
  }

  setWorkerList(entries: readonly HostListEntry[], nowMs: number): void {
    this.#workers.setList(entries);
    if (this.#active) this.#poll(nowMs);
  }

  workerStatus(workerId: string, status: WorkerStatus | null, nowMs: number): void {
    const worker = this.#workers.get(workerId);
    if (!worker) return;
    if (worker.health.observeStatus(status !== null, nowMs)) {
      this.#logAvoided(worker, 'status-unanswered');
    }
    if (!status) return;
    if (worker.status && worker.status.incarnation !== status.incarnation) worker.health.restart();
    worker.status = status;
    worker.foreignSlots = this.#polls.inTakeover(nowMs)
      ? Math.max(0, status.running - worker.usedSlots)
      : 0;
    this.#grantAll(nowMs);
  }

  request(host: string, message: SlotRequest, nowMs: number): void {
    const { team, kind, requestId } = message;
    const policy = this.#shares.kind(team, kind);
    if (!policy) {
      this.#refuse(host, message, Reason.unknownKind, 0);
      return;
    }
    if (this.#active && this.#isImpossible(message)) {
      this.#refuse(host, message, Reason.impossibleJob, 0);
      return;
    }
    const refusal = this.#checkAdmission(message, nowMs);
    if (refusal) {
      this.#refuse(host, message, refusal.reason, refusal.retryAfterMs);
      return;
    }
    const leaf = leafKey(team, kind);
    const idealMs = this.#options.guards.learnedRunTimes
      ? this.#estimates.longestMs(leaf, message.jobTasks)
      : 0;
    const request: QueuedRequest = {
      host,
      requestId,
      leaf,
      resources: message.resources,
      arrivedAtMs: nowMs,
      dueAtMs: nowMs + idealMs,
      begun: message.begun,
      count: message.count,
    };
    this.#queues.add(request, team, kind);
    this.#grantAll(nowMs);
  }

  cancel(host: string, requestId: number, count: number): void {
    this.#queues.cancel(host, requestId, count);
  }

  release(host: string, message: SlotRelease, nowMs: number): void {
    const record = this.#ledger.remove(message.grantId, host);
    if (!record) {
      this.#outbox.count('scheduler.release_unmatched');
      return;
    }
    this.#unuse(record);
    this.#judge(record, message, nowMs);
    this.#grantAll(nowMs);
  }

  claims(host: string, message: SlotClaims, nowMs: number): void {
    const claimed = new Set(message.claims.map((claim) => claim.grantId));
    this.#ledger
      .removeUnclaimed(host, claimed, nowMs, CLAIM_MIN_AGE_MS)
      .forEach((record) => this.#unuse(record));
    message.claims.forEach((claim) => {
      const worker = this.#workers.get(claim.workerId);
      if (!worker || this.#ledger.has(claim.grantId)) return;
      const leaf = leafKey(claim.team, claim.kind);
      this.#use(worker, { ...claim, host, leaf, grantedAtMs: nowMs });
    });
    this.#grantAll(nowMs);
  }

  tick(nowMs: number): void {
    this.#workers.all().forEach((worker) => worker.health.tick(nowMs));
    this.#ledger.reclaim(nowMs, this.#options.taskLeaseMs).forEach((record) => this.#unuse(record));
    if (!this.#active) return;
    this.#poll(nowMs);
    this.#grantAll(nowMs);
    if (nowMs < this.#nextSummaryMs) return;
    this.#nextSummaryMs =
      nowMs + Math.max(this.#options.summaryPeriodMs, SUMMARY_MS_PER_HOST * this.#hosts.length);
    const summary = this.summary();
    this.#hosts.forEach((host) => this.#outbox.send(host, summary));
  }

  summary(): LoadSummary {
    const capacitySlots = this.#workers.capacity();
    const queuedTasks = this.#queues.tasks();
    const reserve = this.#reserveSlots(capacitySlots);
    return {
      type: 'loadSummary',
      domain: this.#domain,
      capacitySlots,
      freeSlots: queuedTasks > 0 ? 0 : Math.max(0, this.#workers.totalFree() - reserve),
      queuedTasks,
      waitMs: capacitySlots > 0 ? (queuedTasks * this.#meanRunTimeMs()) / capacitySlots : 0,
      largest: this.#workers.largest(),
    };
  }

  /** State for operators. */
  inspect(): unknown {
    return {
      domain: this.#domain,
      active: this.#active,
      suspended: this.#suspended,
      grantsInUse: this.#ledger.size,
      queues: [...this.#queues.leaves()].map((queue) => ({
        team: queue.team,
        kind: queue.kind,
        queuedTasks: queue.tasks,
        usedSlots: this.#shares.usedByLeaf(queue.leaf),
        meanRunTimeMs: this.#estimates.meanMs(queue.leaf),
      })),
      workers: this.#workers.all().map((worker) => ({
        id: worker.id,
        address: worker.address,
        state: worker.leaving ? 'leaving' : worker.health.state,
        slots: worker.status?.slots ?? 0,
        usedSlots: worker.usedSlots,
        freeSlots: freeSlots(worker),
        runTimeRatio: worker.health.runTimeRatio,
      })),
    };
  }

  #isImpossible(message: SlotRequest): boolean {
    const known = this.#workers.all().some((worker) => worker.status !== null);
    return known && !this.#workers.canEverRun(message.resources);
  }

  #checkAdmission(message: SlotRequest, nowMs: number) {
    if (!this.#options.guards.admission || message.begun || !this.#active) return null;
    const queued = this.#queues.leaf(leafKey(message.team, message.kind))?.tasks ?? 0;
    const capacity = this.#workers.capacity();
    if (capacity === 0) return null;
    const load = { capacitySlots: capacity, freeSlots: this.#grantable(message.team, capacity) };
    return this.#admission.check(message, queued, load, nowMs);
  }

  #grantable(team: string, capacity: number): number {
    const reserve = this.#shares.belowShare(team, capacity) ? 0 : this.#reserveSlots(capacity);
    return Math.max(0, this.#workers.totalFree() - reserve);
  }

  #reserveSlots(capacity: number): number {
    if (!this.#options.guards.reserve) return 0;
    return Math.floor(capacity * this.#options.reserveFraction);
  }

  #meanRunTimeMs(): number {
    let tasks = 0;
    let sumMs = 0;
    [...this.#queues.leaves()].forEach((queue) => {
      tasks += queue.tasks;
      sumMs += queue.tasks * this.#estimates.meanMs(queue.leaf);
    });
    return tasks > 0 ? sumMs / tasks : 0;
  }

  #poll(nowMs: number): void {
    this.#polls.due(this.#workers.all(), nowMs).forEach((worker) => {
      this.#outbox.push({ type: 'pollStatus', workerId: worker.id, address: worker.address });
    });
  }

  #grantAll(nowMs: number): void {
    if (!this.#active || this.#suspended || nowMs < this.#grantsFromMs) return;
    if (this.#queues.tasks() === 0) return;
    const blocked = new Set<string>();
    while (this.#grantOne(blocked, nowMs));
    this.#grantsOfPass.forEach((grants, request) => {
      this.#outbox.send(request.host, {
        type: 'slotGrant',
        requestId: request.requestId,
        grants,
        validMs: this.#options.grantValidMs,
      });
      this.#admission.observeGrants(request.leaf, grants.length, nowMs);
    });
    this.#grantsOfPass = new Map();
  }

  /** Grants one slot; false when nothing more can be granted. Queues that can't be served are blocked. */
  #grantOne(blocked: Set<string>, nowMs: number): boolean {
    const totalFree = this.#workers.totalFree();
    if (totalFree === 0) return false;
    const capacity = this.#workers.capacity();
    const contenders = [...this.#queues.leaves()].filter(
      (queue) =>
        queue.tasks > 0 &&
        !blocked.has(queue.leaf) &&
        this.#shares.withinQuota(queue.team) &&
        this.#leavesReserve(queue, totalFree, capacity),
    );
    const choice = this.#shares.choose(this.#withoutLong(contenders, capacity), capacity);
    if (!choice) return false;
    if (!this.#grantTo(choice, nowMs)) blocked.add(choice.contender.leaf);
    return true;
  }

  #leavesReserve(queue: LeafQueue, totalFree: number, capacity: number): boolean {
    if (this.#shares.belowShare(queue.team, capacity)) return true;
    return totalFree > this.#reserveSlots(capacity);
  }

  /** Holds long kinds back once they hold their part of the slots while shorter work waits. */
  #withoutLong(contenders: readonly LeafQueue[], capacity: number): readonly LeafQueue[] {
    const { guards, longTaskMs, longTaskFraction } = this.#options;
    if (!guards.longTaskCap) return contenders;
    const isLong = (queue: LeafQueue) => this.#estimates.meanMs(queue.leaf) > longTaskMs;
    const short = contenders.filter((queue) => !isLong(queue));
    if (short.length === 0 || short.length === contenders.length) return contenders;
    const longSlots = [...this.#queues.leaves()]
      .filter(isLong)
      .reduce((sum, queue) => sum + this.#shares.usedByLeaf(queue.leaf), 0);
    return longSlots >= capacity * longTaskFraction ? short : contenders;
  }

  #grantTo(choice: Choice<LeafQueue>, nowMs: number): boolean {
    const queue = choice.contender;
    let worker: WorkerEntry | null = null;
    const request = queue.firstWhere((candidate) => {
      worker = this.#workers.choose(candidate.host, candidate.resources, this.#slotsPerHost());
      return worker !== null;
    }, REQUESTS_TRIED_PER_QUEUE);
    if (!request || !worker) return false;
    this.#grant(request, worker, choice, nowMs);
    return true;
  }

  #grant(
    request: QueuedRequest,
    worker: WorkerEntry,
    { contender, rule }: Choice<LeafQueue>,
    nowMs: number,
  ): void {
    this.#queues.take(request, 1);
    this.#nextGrantId += 1;
    const grantId = this.#nextGrantId;
    const { host, leaf, resources } = request;
    const { team } = contender;
    this.#use(worker, {
      grantId,
      host,
      workerId: worker.id,
      team,
      leaf,
      resources,
      grantedAtMs: nowMs,
    });
    const grants = this.#grantsOfPass.get(request) ?? [];
    grants.push({ grantId, worker: toRef(worker) });
    this.#grantsOfPass.set(request, grants);
    this.#outbox.decide('grant', rule, {
      grantId,
      requestId: request.requestId,
      host,
      worker: worker.id,
      team,
      kind: contender.kind,
      waitedMs: nowMs - request.arrivedAtMs,
    });
  }

  /** Tasks one host may run on one worker, so that all hosts' connections fit on it. */
  #slotsPerHost(): number {
    const connections = this.#workers.all()[0]?.status?.connections ?? DEFAULT_CONNECTIONS;
    const perHost = Math.floor(connections / Math.max(1, this.#hosts.length));
    return Math.max(1, perHost - CONNECTIONS_KEPT_FOR_CONTROL);
  }

  #use(worker: WorkerEntry, record: GrantRecord): void {
    this.#ledger.add(record);
    occupy(worker, record.host, record.resources);
    this.#shares.use(record.team, record.leaf, 1);
  }

  #unuse(record: GrantRecord): void {
    const worker = this.#workers.get(record.workerId);
    if (worker) vacate(worker, record.host, record.resources);
    this.#shares.use(record.team, record.leaf, -1);
  }

  #judge(record: GrantRecord, message: SlotRelease, nowMs: number): void {
    const worker = this.#workers.get(record.workerId);
    if (!worker) return;
    const { outcome, runTimeMs } = message;
    if (outcome === GrantOutcome.refused) worker.foreignSlots += 1;
    if (outcome === GrantOutcome.succeeded) {
      this.#estimates.learn(record.leaf, runTimeMs);
      worker.health.observeRunTime(runTimeMs, this.#estimates.meanMs(record.leaf));
    }
    this.#kindFailures.observe(record.leaf, record.workerId, outcome);
    const peersFail = this.#kindFailures.failsElsewhere(record.leaf, record.workerId);
    if (worker.health.observe(outcome, peersFail, nowMs)) this.#logAvoided(worker, outcome);
  }

  #logAvoided(worker: WorkerEntry, reason: string): void {
    this.#outbox.decide('avoid-worker', reason, { worker: worker.id, domain: this.#domain });
    this.#outbox.count('worker.avoided', 1, { reason });
  }

  #refuse(host: string, message: SlotRequest, reason: Reason, retryAfterMs: number): void {
    const { requestId, team, kind, count } = message;
    this.#outbox.send(host, { type: 'slotRefusal', requestId, reason, retryAfterMs });
    this.#outbox.decide('refuse-slots', reason, { requestId, host, team, kind, count });
  }
}
