/** Slots of one domain: those of each worker, and the grants that use them, by team and kind. */
import { leafKey } from './estimates';
import type { FairShares } from './fairness';
import { GrantLedger, type GrantRecord } from './grantLedger';
import type { Claim } from './messages';
import type { CoreOptions } from './options';
import { allocateSlot, releaseSlot, type WorkerEntry, type WorkerTable } from './workerTable';

/** Connections of each host to a worker that are reserved for calls other than tasks. */
const CONTROL_CONNECTIONS = 1;
const DEFAULT_CONNECTIONS = 60;
/**
 * Grants younger than this are not dropped as unclaimed: they may not have reached their host yet.
 */
const CLAIM_MIN_AGE_MS = 3000;

/** Workers, grants and shares of a domain, updated together. */
export class DomainSlots {
  readonly workers: WorkerTable;

  readonly shares: FairShares;

  readonly #options: CoreOptions;

  readonly #ledger = new GrantLedger();

  #hosts: ReadonlySet<string> = new Set();

  constructor(options: CoreOptions, workers: WorkerTable, shares: FairShares) {
    this.#options = options;
    this.workers = workers;
    this.shares = shares;
  }

  get grantsInUse(): number {
    return this.#ledger.size;
  }

  /** Slots that are not granted to teams at or above their share. */
  reserve(capacity: number): number {
    const { guards, reserveFraction } = this.#options;
    return guards.reserve ? Math.floor(capacity * reserveFraction) : 0;
  }

  /** Slots that could be granted to a team now. */
  grantable(team: string, capacity: number): number {
    const reserve = this.shares.belowShare(team, capacity) ? 0 : this.reserve(capacity);
    return Math.max(0, this.workers.totalFree() - reserve);
  }

  /**
   * Number of tasks that one host may run on one worker at a time. Keeps the connections of all
   * hosts within the worker's limit.
   */
  slotsPerHost(): number {
    const connections = this.workers.all()[0]?.status?.connections ?? DEFAULT_CONNECTIONS;
    const perHost = Math.floor(connections / Math.max(1, this.#hosts.size));
    return Math.max(1, perHost - CONTROL_CONNECTIONS);
  }

  /**
   * Sets the hosts that are alive. `reclaim` ends the grants of all others after one task lease.
   */
  setHosts(hosts: readonly string[]): void {
    this.#hosts = new Set(hosts);
    hosts.forEach((host) => this.#ledger.markAlive(host));
  }

  allocate(worker: WorkerEntry, record: GrantRecord): void {
    this.#ledger.add(record);
    allocateSlot(worker, record.host, record.resources);
    this.shares.addUsage(record.team, record.leaf, 1);
  }

  /** Ends a grant. Null if `host` does not hold it. */
  release(grantId: number, host: string): GrantRecord | null {
    const record = this.#ledger.remove(grantId, host);
    if (record) this.#free(record);
    return record;
  }

  /** Adds the grants that a host claims and drops those that it no longer claims. */
  applyClaims(host: string, claims: readonly Claim[], nowMs: number): void {
    const claimed = new Set(claims.map((claim) => claim.grantId));
    this.#freeAll(this.#ledger.removeUnclaimed(host, claimed, nowMs, CLAIM_MIN_AGE_MS));
    claims.forEach((claim) => {
      const worker = this.workers.get(claim.workerId);
      if (!worker || this.#ledger.has(claim.grantId)) return;
      this.allocate(worker, {
        ...claim,
        host,
        leaf: leafKey(claim.team, claim.kind),
        grantedAtMs: nowMs,
      });
    });
  }

  /** Ends the grants of hosts that have been dead for one task lease. */
  reclaim(nowMs: number): void {
    this.#ledger
      .hosts()
      .filter((host) => !this.#hosts.has(host))
      .forEach((host) => this.#ledger.markDead(host, nowMs));
    this.#freeAll(this.#ledger.reclaim(nowMs, this.#options.taskLeaseMs));
  }

  clear(): void {
    this.#freeAll(this.#ledger.clear());
  }

  #freeAll(records: readonly GrantRecord[]): void {
    records.forEach((record) => this.#free(record));
  }

  #free(record: GrantRecord): void {
    const worker = this.workers.get(record.workerId);
    if (worker) releaseSlot(worker, record.host, record.resources);
    this.shares.addUsage(record.team, record.leaf, -1);
  }
}
