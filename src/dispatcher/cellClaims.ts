/** Makes this host's claims of cells, in the store or without it, and writes the latter later. */
import type { Clock, RandomSource } from '../core/clock';
import type { CellLayout } from './cellLayout';
import type { HostIdentity } from './cellRecord';
import type { DispatchJournal } from './journal';
import { ClaimPolicy, OwnerHealth } from './claimPolicy';
import type { Platform } from './platform';
import type { CellRegistry } from './cellRegistry';
import type { RenewRequest } from './workerClient';

/** What the claims are built from. */
export interface CellClaimsParts {
  readonly self: HostIdentity;
  readonly platform: Platform;
  readonly records: CellRegistry;
  readonly random: RandomSource;
  readonly clock: Clock;
  readonly journal: DispatchJournal;
  readonly healthOf: (cell: string) => OwnerHealth;
  /** Asks the host at an address at once whether it serves. */
  readonly ask: (address: string) => void;
}

/** Time between two attempts to write a claim that was made without the store. */
const WRITE_AGAIN_MS = 500;
/**
 * The workers of another domain must have answered for so long before its cells are claimed: where a cut
 * has just ended, its owners are asked as well and answer.
 */
const REACHED_MS = 700;
const PROBED_WORKERS = 3;
/** An order of a host that owns nothing: a worker that has an owner answers without obeying. */
const PROBE: RenewRequest = { fencingToken: 0, acknowledged: 0, leaseEndClockMs: null, waitMs: 0 };

/** Claims of one host. */
export class CellClaims {
  readonly #parts: CellClaimsParts;

  readonly #ownership: ClaimPolicy;

  readonly #claiming = new Set<string>();

  /** Since when, and until when, workers of each other domain have answered without a break. */
  readonly #reached = new Map<string, { readonly sinceMs: number; readonly lastMs: number }>();

  #lastWriteMs = -Infinity;

  #closed = false;

  constructor(parts: CellClaimsParts) {
    this.#parts = parts;
    this.#ownership = new ClaimPolicy(parts.self, parts.random, parts.clock.nowMs());
  }

  close(): void {
    this.#closed = true;
  }

  /** Claims the cells that this host should own now. */
  claimDue(layout: CellLayout, nowMs: number): void {
    const { self, records, healthOf } = this.#parts;
    const strongestCores = Math.max(self.cores, ...records.domainPeers().map(({ cores }) => cores));
    let counts = this.#countByOwner(layout);
    layout.cells.forEach((cell) => {
      if (this.#claiming.has(cell)) return;
      const record = records.get(cell);
      const view = {
        cell,
        domain: layout.domainOf(cell) ?? cell,
        record,
        health: healthOf(cell),
        ownerCells: record ? (counts.get(record.owner.address) ?? 0) : 0,
      };
      const room = { cells: counts.get(self.address) ?? 0, strongestCores };
      if (!this.#ownership.shouldClaim(view, room, nowMs)) return;
      this.#claim(cell, view.domain);
      counts = this.#countByOwner(layout);
    });
  }

  /** Writes claims that were made without the store, if that is due. */
  writeDue(owned: readonly string[], nowMs: number): void {
    if (nowMs - this.#lastWriteMs < WRITE_AGAIN_MS) return;
    this.#lastWriteMs = nowMs;
    const { records } = this.#parts;
    owned.forEach((cell) => {
      const record = records.get(cell);
      if (record && records.isUnwritten(record)) records.write(record);
    });
  }

  /**
   * Cells of this host's domain, by the address of their owner. A claim under way counts as won, or two
   * hosts would take all cells of a third one, and then of each other, back and forth.
   */
  #countByOwner(layout: CellLayout): ReadonlyMap<string, number> {
    const { self, records } = this.#parts;
    const counts = new Map<string, number>();
    records.all().forEach(({ cell, owner }) => {
      if (layout.domainOf(cell) !== self.domain) return;
      const { address } = this.#claiming.has(cell) ? self : owner;
      counts.set(address, (counts.get(address) ?? 0) + 1);
    });
    return counts;
  }

  async #claim(cell: string, domain: string): Promise<void> {
    const { self, records, journal } = this.#parts;
    this.#claiming.add(cell);
    const isOwnDomain = domain === self.domain;
    const reason = isOwnDomain ? null : await this.#reasonToWait(cell, domain);
    if (reason === null) {
      const before = records.get(cell);
      const isAnswered = await records.claim(cell);
      const isStillVacant = before === records.get(cell) && !this.#closed;
      if (!isAnswered && isOwnDomain && isStillVacant) records.claimAlone(cell);
    } else {
      journal.logDecision('claim-withheld', { cell, reason });
      const record = records.get(cell);
      if (record) this.#parts.ask(record.owner.address);
    }
    this.#claiming.delete(cell);
  }

  /** Why a cell of another domain should not be claimed yet; null if it may be. */
  async #reasonToWait(cell: string, domain: string): Promise<string | null> {
    const isReached = await this.#reachesWorkers(domain);
    if (this.#parts.healthOf(cell) === OwnerHealth.serving) return 'its owner answers again';
    const nowMs = this.#parts.clock.nowMs();
    const before = this.#reached.get(domain);
    if (!isReached) {
      this.#reached.delete(domain);
      return 'no worker can be reached';
    }
    const isUnbroken = before !== undefined && nowMs - before.lastMs <= REACHED_MS;
    const sinceMs = isUnbroken ? before.sinceMs : nowMs;
    this.#reached.set(domain, { sinceMs, lastMs: nowMs });
    return nowMs - sinceMs >= REACHED_MS ? null : 'its workers answer, its owner may as well';
  }

  /**
   * True if a worker of another domain answers. Where none does, the domain may be cut off and serve
   * itself; a claim would only take its workers away when it is back.
   */
  async #reachesWorkers(domain: string): Promise<boolean> {
    const { workerClient: control, workers } = this.#parts.platform;
    const listed = await workers.list();
    if (listed.err) return false;
    const some = listed.val.filter((worker) => worker.domain === domain).slice(0, PROBED_WORKERS);
    const answers = await Promise.all(some.map((worker) => control.renew(worker, PROBE)));
    return answers.some(({ type }) => type !== 'silent');
  }
}
