/**
 * Claims cells for this host, in the store or, while the store is unavailable, without it. Claims
 * made without the store are written to it later.
 */
import type { Clock, RandomSource } from '../../core/clock';
import type { CellLayout } from './cellLayout';
import { isEarlierProcess, type HostIdentity } from './cellRecord';
import type { DispatchJournal } from '../journal';
import { ClaimPolicy, OwnerHealth } from './claimPolicy';
import type { Platform } from '../platform';
import type { CellRegistry } from './cellRegistry';
import { DomainProbes } from './domainProbes';

/** Dependencies of `CellClaims`. */
export interface CellClaimsParts {
  readonly self: HostIdentity;
  readonly platform: Platform;
  readonly registry: CellRegistry;
  readonly random: RandomSource;
  readonly clock: Clock;
  readonly journal: DispatchJournal;
  readonly healthOf: (cell: string) => OwnerHealth;
  /** Sends a status poll to the host at an address immediately. */
  readonly poll: (address: string) => void;
  /** See `DomainProbesParts`. */
  readonly namesService: (service: string) => boolean;
}

/** Interval between attempts to write a claim that was made without the store. */
const WRITE_RETRY_MS = 500;
/**
 * Cells of another domain are claimed only after workers of that domain have been reachable for
 * this long. When a network partition has just ended, the owners there are polled within this time,
 * answer, and keep their cells.
 */
const MIN_REACHABLE_MS = 700;

/** Claims made by one host. */
export class CellClaims {
  readonly #parts: CellClaimsParts;

  readonly #policy: ClaimPolicy;

  readonly #probes: DomainProbes;

  readonly #pendingClaims = new Set<string>();

  /** For each other domain, the period in which all probes of its workers were answered. */
  readonly #reachableDomains = new Map<
    string,
    { readonly sinceMs: number; readonly lastMs: number }
  >();

  #lastWriteMs = -Infinity;

  #closed = false;

  constructor(parts: CellClaimsParts) {
    this.#parts = parts;
    this.#policy = new ClaimPolicy(parts.self, parts.random, parts.clock.nowMs());
    this.#probes = new DomainProbes(parts);
  }

  close(): void {
    this.#closed = true;
  }

  /** Claims the cells that this host should own, according to the claim policy. */
  claimDueCells(layout: CellLayout, nowMs: number): void {
    const { self, registry, healthOf } = this.#parts;
    const maxCores = Math.max(self.cores, ...registry.domainPeers().map(({ cores }) => cores));
    let counts = this.#countByOwner(layout);
    layout.cells.forEach((cell) => {
      if (this.#pendingClaims.has(cell)) return;
      const record = registry.get(cell);
      const view = {
        cell,
        domain: layout.domainOf(cell) ?? cell,
        record,
        health: healthOf(cell),
        ownerCells: record ? (counts.get(record.owner.address) ?? 0) : 0,
      };
      const load = { cells: counts.get(self.address) ?? 0, maxCores };
      if (!this.#policy.shouldClaim(view, load, nowMs)) return;
      this.#claim(cell, view.domain);
      counts = this.#countByOwner(layout);
    });
  }

  /** Writes claims that were made without the store, at most once per retry interval. */
  writePendingClaims(owned: readonly string[], nowMs: number): void {
    if (nowMs - this.#lastWriteMs < WRITE_RETRY_MS) return;
    this.#lastWriteMs = nowMs;
    const { registry } = this.#parts;
    owned.forEach((cell) => {
      const record = registry.get(cell);
      if (record && registry.isUnwritten(record)) registry.write(record);
    });
  }

  /**
   * Number of cells in this host's domain by address of their owner. Cells of an earlier process of
   * this host do not count, as they are no load for this one. Pending claims count as won.
   * Otherwise two hosts could each claim all cells of a third one, and then keep taking cells from
   * each other.
   */
  #countByOwner(layout: CellLayout): ReadonlyMap<string, number> {
    const { self, registry } = this.#parts;
    const counts = new Map<string, number>();
    registry.all().forEach(({ cell, owner }) => {
      if (layout.domainOf(cell) !== self.domain) return;
      const isPending = this.#pendingClaims.has(cell);
      if (!isPending && isEarlierProcess(owner, self)) return;
      const { address } = isPending ? self : owner;
      counts.set(address, (counts.get(address) ?? 0) + 1);
    });
    return counts;
  }

  async #claim(cell: string, domain: string): Promise<void> {
    const { self, registry, journal } = this.#parts;
    this.#pendingClaims.add(cell);
    const isOwnDomain = domain === self.domain;
    const reason = isOwnDomain ? null : await this.#withholdReason(cell, domain);
    if (reason === null) {
      const before = registry.get(cell);
      const isAnswered = await registry.claim(cell);
      const isStillVacant = before === registry.get(cell) && !this.#closed;
      if (!isAnswered && isOwnDomain && isStillVacant) registry.claimWithoutStore(cell);
    } else {
      journal.logDecision('claim-withheld', { cell, reason });
      const record = registry.get(cell);
      if (record) this.#parts.poll(record.owner.address);
    }
    this.#pendingClaims.delete(cell);
  }

  /**
   * Reason for not claiming a cell of another domain yet; null if it may be claimed. If no worker of
   * the domain answers, it may be partitioned from this host and still be served by its own hosts. A
   * claim would then only take the workers away from their owner once the partition ends.
   */
  async #withholdReason(cell: string, domain: string): Promise<string | null> {
    const isReachable = await this.#probes.reaches(domain);
    if (this.#parts.healthOf(cell) === OwnerHealth.serving) return 'its owner answers again';
    const nowMs = this.#parts.clock.nowMs();
    const before = this.#reachableDomains.get(domain);
    if (!isReachable) {
      this.#reachableDomains.delete(domain);
      return 'no worker can be reached';
    }
    const isContinuous = before !== undefined && nowMs - before.lastMs <= MIN_REACHABLE_MS;
    const sinceMs = isContinuous ? before.sinceMs : nowMs;
    this.#reachableDomains.set(domain, { sinceMs, lastMs: nowMs });
    return nowMs - sinceMs >= MIN_REACHABLE_MS ? null : 'its workers answer, its owner may as well';
  }
}
