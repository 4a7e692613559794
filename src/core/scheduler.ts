/**
 * Scheduler of one domain: queues the slot requests of all submitters and grants them the free
 * slots of the domain's workers. Its state is soft: a new scheduler rebuilds it from claims and
 * status polls. A worker refuses a start when it is full, so a wrong grant, or two active
 * schedulers during a handover, costs an extra message but never starts a task twice.
 */
import type { Configuration } from '../configuration/policy';
import type { HostListEntry } from '../workers/hostList';
import type { WorkerStatus } from '../workers/workers';
import { Admission, type Refusal } from './admission';
import type { RandomSource } from './clock';
import { DomainSlots } from './domainSlots';
import { leafKey, RunTimeEstimates } from './estimates';
import { FairShares } from './fairness';
import type { GrantRecord } from './grantLedger';
import { Granter } from './granter';
import { Reason } from './job';
import { KindFailures } from './kindFailures';
import { LoadReporter } from './loadReporter';
import { GrantOutcome, type SlotClaims, type SlotRelease, type SlotRequest } from './messages';
import type { CoreOptions } from './options';
import type { Outbox } from './outbox';
import { SlotQueues } from './slotQueues';
import type { SchedulerView } from './views';
import { StatusPolls } from './statusPolls';
import { conditionOf, WorkerTable, type WorkerEntry } from './workerTable';

/** Time that a new scheduler waits for the submitters' claims, so as not to grant slots in use. */
const TAKEOVER_GRACE_MS = 30;

/** Dependencies of a scheduler. */
export interface SchedulerParts {
  readonly domain: string;
  readonly options: CoreOptions;
  readonly random: RandomSource;
  readonly outbox: Outbox;
}

/** Scheduler of a domain. It grants slots only while it is active. */
export class Scheduler {
  readonly #domain: string;

  readonly #options: CoreOptions;

  readonly #outbox: Outbox;

  readonly #workers: WorkerTable;

  readonly #shares = new FairShares();

  readonly #estimates = new RunTimeEstimates();

  readonly #queues = new SlotQueues();

  readonly #slots: DomainSlots;

  readonly #granter: Granter;

  readonly #admission: Admission;

  readonly #kindFailures = new KindFailures();

  readonly #polls: StatusPolls;

  readonly #reporter: LoadReporter;

  #hosts: readonly string[] = [];

  #active = false;

  #suspended = false;

  #grantsFromMs = 0;

  constructor({ domain, options, random, outbox }: SchedulerParts) {
    this.#domain = domain;
    this.#options = options;
    this.#outbox = outbox;
    this.#workers = new WorkerTable(options.guards);
    this.#slots = new DomainSlots(options, this.#workers, this.#shares);
    this.#granter = new Granter({
      options,
      random,
      outbox,
      slots: this.#slots,
      queues: this.#queues,
      estimates: this.#estimates,
    });
    this.#admission = new Admission(this.#shares, this.#estimates);
    this.#polls = new StatusPolls(options.statusPeriodMs);
    this.#reporter = new LoadReporter(domain, options.summaryPeriodMs, this.#slots, this.#queues);
  }

  configure(configuration: Configuration, nowMs: number): void {
    this.#shares.configure(configuration);
    this.#grantFreeSlots(nowMs);
  }

  /** Activates or deactivates this host as the scheduler of the domain. */
  setActive(active: boolean, nowMs: number): void {
    if (active === this.#active) return;
    this.#active = active;
    this.#suspended = false;
    const reason = active ? 'role-taken' : 'role-given-up';
    this.#outbox.decide('scheduler', reason, { domain: this.#domain });
    if (active) {
      this.#grantsFromMs = nowMs + TAKEOVER_GRACE_MS;
      this.#polls.startTakeover(nowMs);
    } else {
      this.#queues.clear();
      this.#slots.clear();
    }
  }

  /**
   * Called after a pause of the process: grants nothing until membership has confirmed this host.
   */
  suspend(): void {
    this.#suspended = this.#active;
  }

  confirm(nowMs: number): void {
    if (!this.#suspended) return;
    this.#suspended = false;
    this.#grantFreeSlots(nowMs);
  }

  /**
   * Sets the hosts that are alive. Requests of all other hosts are dropped at once, their grants
   * after one task lease.
   */
  setHosts(hosts: readonly string[]): void {
    this.#hosts = hosts;
    this.#slots.setHosts(hosts);
    const alive = new Set(hosts);
    this.#queues
      .hosts()
      .filter((host) => !alive.has(host))
      .forEach((host) => this.#queues.removeHost(host));
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
    if (!status) {
      this.#polls.recordFailedPoll(worker);
      return;
    }
    this.#polls.recordContact(worker, nowMs);
    if (worker.status && worker.status.incarnation !== status.incarnation) worker.health.reset();
    worker.status = status;
    const untracked = Math.max(0, status.running - worker.usedSlots);
    worker.untrackedSlots = this.#polls.inTakeover(nowMs) ? untracked : 0;
    this.#grantFreeSlots(nowMs);
  }

  /**
   * Queues a request or refuses it. Submitters repeat requests that were not answered, so a request
   * that is queued already is left in its place.
   */
  request(host: string, message: SlotRequest, nowMs: number): void {
    if (this.#queues.has(host, message.requestId)) return;
    const refusal = this.#refusal(message, nowMs);
    if (refusal) {
      this.#refuse(host, message, refusal);
      return;
    }
    const { team, kind, requestId, resources, count } = message;
    const leaf = leafKey(team, kind);
    const expectedRunMs = this.#options.guards.learnedRunTimes
      ? this.#estimates.longestMs(leaf, message.jobTasks)
      : 0;
    const arrivedAtMs = nowMs - message.waitedMs;
    const dueAtMs = arrivedAtMs + expectedRunMs;
    const request = { host, requestId, leaf, resources, arrivedAtMs, dueAtMs, count };
    this.#queues.add(request, team, kind);
    this.#grantFreeSlots(nowMs);
  }

  cancel(host: string, requestId: number, count: number): void {
    this.#queues.cancel(host, requestId, count);
  }

  release(host: string, message: SlotRelease, nowMs: number): void {
    const record = this.#slots.release(message.grantId, host);
    if (!record) {
      this.#outbox.count('scheduler.release_unmatched');
      return;
    }
    this.#recordOutcome(record, message, nowMs);
    this.#grantFreeSlots(nowMs);
  }

  handleClaims(host: string, message: SlotClaims, nowMs: number): void {
    this.#slots.applyClaims(host, message.claims, nowMs);
    this.#grantFreeSlots(nowMs);
  }

  tick(nowMs: number): void {
    this.#workers.all().forEach((worker) => worker.health.tick(nowMs));
    this.#slots.reclaim(nowMs);
    if (!this.#active) return;
    this.#poll(nowMs);
    this.#grantFreeSlots(nowMs);
    const summary = this.#reporter.summaryDue(this.#hosts.length, nowMs);
    if (summary) this.#hosts.forEach((host) => this.#outbox.send(host, summary));
  }

  /** State shown to operators. */
  inspect(): SchedulerView {
    return {
      domain: this.#domain,
      active: this.#active,
      suspended: this.#suspended,
      grantsInUse: this.#slots.grantsInUse,
      queues: [...this.#queues.leaves()].map((queue) => ({
        team: queue.team,
        kind: queue.kind,
        urgency: this.#shares.kind(queue.team, queue.kind)?.urgency ?? 0,
        queuedTasks: queue.tasks,
        usedSlots: this.#shares.usedByLeaf(queue.leaf),
        meanRunTimeMs: this.#estimates.meanMs(queue.leaf),
        oldestArrivalMs: queue.peek()?.arrivedAtMs ?? null,
      })),
      workers: this.#workers.all().map(conditionOf),
    };
  }

  #refusal(message: SlotRequest, nowMs: number): Refusal | null {
    if (!this.#shares.kind(message.team, message.kind)) {
      return { reason: Reason.unknownKind, retryAfterMs: 0 };
    }
    if (!this.#active) return null;
    if (this.#isImpossible(message)) return { reason: Reason.impossibleJob, retryAfterMs: 0 };
    return this.#checkAdmission(message, nowMs);
  }

  #isImpossible(message: SlotRequest): boolean {
    const known = this.#workers.all().some((worker) => worker.status !== null);
    return known && !this.#workers.canEverRun(message.resources);
  }

  #checkAdmission(message: SlotRequest, nowMs: number): Refusal | null {
    const capacitySlots = this.#workers.capacity();
    if (!this.#options.guards.admission || message.begun || capacitySlots === 0) return null;
    const queued = this.#queues.leaf(leafKey(message.team, message.kind))?.tasks ?? 0;
    const load = { capacitySlots, freeSlots: this.#slots.grantable(message.team, capacitySlots) };
    return this.#admission.check(message, queued, load, nowMs);
  }

  #poll(nowMs: number): void {
    if (this.#options.guards.health) {
      this.#polls.markSilent(this.#workers.all(), nowMs).forEach((worker) => {
        this.#logAvoided(worker, 'poll-unanswered');
      });
    }
    this.#polls.takeDue(this.#workers.all(), nowMs).forEach((worker) => {
      this.#outbox.push({ type: 'pollStatus', workerId: worker.id, address: worker.address });
    });
  }

  #grantFreeSlots(nowMs: number): void {
    if (!this.#active || this.#suspended || nowMs < this.#grantsFromMs) return;
    this.#granter.grantFreeSlots(nowMs).forEach((grants, { host, requestId, leaf }) => {
      this.#outbox.send(host, { type: 'slotGrant', requestId, grants });
      this.#admission.observeGrants(leaf, grants.length, nowMs);
    });
  }

  #recordOutcome(record: GrantRecord, { outcome, runTimeMs }: SlotRelease, nowMs: number): void {
    const worker = this.#workers.get(record.workerId);
    if (!worker) return;
    if (outcome === GrantOutcome.refused) {
      worker.untrackedSlots += 1;
      this.#polls.pollSoon(worker);
    }
    if (outcome === GrantOutcome.failed) this.#polls.recordContact(worker, nowMs);
    if (outcome === GrantOutcome.succeeded) {
      this.#polls.recordContact(worker, nowMs);
      this.#estimates.learn(record.leaf, runTimeMs);
      worker.health.observeRunTime(runTimeMs, this.#estimates.meanMs(record.leaf));
    }
    this.#kindFailures.observe(record.leaf, record.workerId, outcome);
    const failsElsewhere =
      outcome === GrantOutcome.failed &&
      this.#kindFailures.failsElsewhere(record.leaf, record.workerId);
    const { grantedAtMs } = record;
    if (worker.health.observe(outcome, failsElsewhere, grantedAtMs, nowMs)) {
      this.#logAvoided(worker, outcome);
    }
  }

  #logAvoided(worker: WorkerEntry, reason: string): void {
    this.#outbox.decide('avoid-worker', reason, { worker: worker.id, domain: this.#domain });
    this.#outbox.count('worker.avoided', 1, { reason });
  }

  #refuse(host: string, message: SlotRequest, { reason, retryAfterMs }: Refusal): void {
    const { requestId, team, kind, count } = message;
    this.#outbox.send(host, { type: 'slotRefusal', requestId, reason, retryAfterMs });
    this.#outbox.decide('refuse-slots', reason, { requestId, host, team, kind, count });
  }
}
