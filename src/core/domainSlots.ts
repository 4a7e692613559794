/** Slots of one domain: what each worker has, and which grants use it, by team and kind. */
import { leafKey } from './estimates';
import type { FairShares } from './fairness';
import { GrantLedger, type GrantRecord } from './grantLedger';
import type { Claim } from './messages';
import type { CoreOptions } from './options';
import { occupy, vacate, type WorkerEntry, type WorkerTable } from './workerTable';

const CONNECTIONS_KEPT_FOR_CONTROL = 1;
const DEFAULT_CONNECTIONS = 60;
/** Grants younger than this may still be under way to their holder. */
const CLAIM_MIN_AGE_MS = 3000;

/** Workers, grants and shares of a domain, kept in step. */
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

  /** Slots that teams above their share leave free. */
  reserve(capacity: number): number {
    const { guards, reserveFraction } = this.#options;
    return guards.reserve ? Math.floor(capacity * reserveFraction) : 0;
  }

  /** Slots that could be granted to a team now. */
  grantable(team: string, capacity: number): number {
    const reserve = this.shares.belowShare(team, capacity) ? 0 : this.reserve(capacity);
    return Math.max(0, this.workers.totalFree() - reserve);
  }

  /** Tasks one host may run on one worker, so that all hosts' connections fit on it. */
  slotsPerHost(): number {
    const connections = this.workers.all()[0]?.status?.connections ?? DEFAULT_CONNECTIONS;
    const perHost = Math.floor(connections / Math.max(1, this.#hosts.size));
    return Math.max(1, perHost - CONNECTIONS_KEPT_FOR_CONTROL);
  }

  /** Hosts that are alive; the grants of all others are reclaimed in time. */
  setHosts(hosts: readonly string[]): void {
    this.#hosts = new Set(hosts);
    hosts.forEach((host) => this.#ledger.markAlive(host));
  }

  use(worker: WorkerEntry, record: GrantRecord): void {
    this.#ledger.add(record);
    occupy(worker, record.host, record.resources);
    this.shares.use(record.team, record.leaf, 1);
  }

  /** Ends a grant; null if `host` does not hold it. */
  release(grantId: number, host: string): GrantRecord | null {
    const record = this.#ledger.remove(grantId, host);
    if (record) this.#unuse(record);
    return record;
  }

  /** Takes over what a host says it uses, and drops what it does not use any more. */
  claim(host: string, claims: readonly Claim[], nowMs: number): void {
    const claimed = new Set(claims.map((claim) => claim.grantId));
    this.#unuseAll(this.#ledger.removeUnclaimed(host, claimed, nowMs, CLAIM_MIN_AGE_MS));
    claims.forEach((claim) => {
      const worker = this.workers.get(claim.workerId);
      if (!worker || this.#ledger.has(claim.grantId)) return;
      this.use(worker, {
        ...claim,
        host,
        leaf: leafKey(claim.team, claim.kind),
        grantedAtMs: nowMs,
      });
    });
  }

  /** Takes back the grants of hosts that have not been alive for one task lease. */
  reclaim(nowMs: number): void {
    this.#ledger
      .hosts()
      .filter((host) => !this.#hosts.has(host))
      .forEach((host) => this.#ledger.markDead(host, nowMs));
    this.#unuseAll(this.#ledger.reclaim(nowMs, this.#options.taskLeaseMs));
  }

  clear(): void {
    this.#unuseAll(this.#ledger.clear());
  }

  #unuseAll(records: readonly GrantRecord[]): void {
    records.forEach((record) => this.#unuse(record));
  }

  #unuse(record: GrantRecord): void {
    const worker = this.workers.get(record.workerId);
    if (worker) vacate(worker, record.host, record.resources);
    this.shares.use(record.team, record.leaf, -1);
  }
}
