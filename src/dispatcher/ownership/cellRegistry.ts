/**
 * Registry of cell owners, hosts and the cell layout, as known to this host from the store and from
 * status polls of other hosts. A claim is a compare-and-swap in the store. While the store is
 * unavailable, a host of the cell's own domain may claim the cell without it. Each host draws
 * fencing tokens for such claims from a set of its own, so that of two claims the workers accept
 * one and reject the other host as fenced. If hosts disagree on these sets, the conflict is
 * resolved when they exchange their records. The claim is written once the store is available
 * again.
 */
import type { Entry } from '../../store/store';
import {
  cellKey,
  decodeEntry,
  digestOf,
  encodeHost,
  encodeLayout,
  encodeRecord,
  hostKey,
  supersedes,
  LAYOUT_KEY,
  RECORD_PREFIX,
  TOKEN_STEP,
  tokenWithoutStore,
  type CellRecord,
  type HostIdentity,
} from './cellRecord';
import type { DispatchJournal } from '../journal';
import type { RecordStore } from '../platform';

/** Dependencies of the registry. */
export interface CellRegistryParts {
  readonly self: HostIdentity;
  readonly store: RecordStore;
  readonly journal: DispatchJournal;
  /** Called with each record that supersedes the known one of its cell. */
  readonly onOwner: (record: CellRecord) => void;
  /** Called once, with the number of cells per failure domain. */
  readonly onLayout: (cellsPerDomain: number) => void;
  /** Called with the lost workers that a host has recorded in the store. */
  readonly onCrashes: (hostId: string, records: readonly unknown[]) => void;
}

const WATCH_RETRY_MS = 200;

/** Records of all cells and hosts. */
export class CellRegistry {
  readonly #parts: CellRegistryParts;

  readonly #records = new Map<string, CellRecord>();

  /** Records last read from the store, with their revision. */
  readonly #stored = new Map<string, { readonly record: CellRecord; readonly revision: number }>();

  readonly #hosts = new Map<string, HostIdentity>();

  /** Cached list of the other hosts of this domain; null if the hosts have changed since. */
  #domainPeers: readonly HostIdentity[] | null = null;

  /** Cached digest; null if the records have changed since it was computed. */
  #digest: string | null = null;

  #cellsPerDomain: number | null = null;

  /** True if the store has been read and contained no layout. */
  #lacksLayout = false;

  #isStoreAvailable: boolean | null = null;

  #closed = false;

  constructor(parts: CellRegistryParts) {
    this.#parts = parts;
  }

  open(): void {
    this.#watch();
  }

  close(): void {
    this.#closed = true;
  }

  get(cell: string): CellRecord | null {
    return this.#records.get(cell) ?? null;
  }

  all(): readonly CellRecord[] {
    return [...this.#records.values()];
  }

  /** Number of cells per failure domain; null if not known yet. */
  get cellsPerDomain(): number | null {
    return this.#cellsPerDomain;
  }

  /** True if the store contains no layout and none is known from other hosts. */
  get lacksLayout(): boolean {
    return this.#lacksLayout && this.#cellsPerDomain === null;
  }

  /** Digest of all owners; hosts with equal digests have equal records. */
  get digest(): string {
    this.#digest ??= digestOf(this.all());
    return this.#digest;
  }

  /** Sets the layout, read from the store or received from another host. The first one is kept. */
  setLayout(cellsPerDomain: number, source: string): void {
    if (this.#cellsPerDomain !== null) return;
    this.#cellsPerDomain = cellsPerDomain;
    this.#parts.journal.logDecision('layout', { cellsPerDomain, source });
    this.#parts.onLayout(cellsPerDomain);
  }

  /** Writes the layout unless another host has already written one. */
  async proposeLayout(cellsPerDomain: number): Promise<void> {
    const swapped = await this.#parts.store.swap(LAYOUT_KEY, encodeLayout(cellsPerDomain), 0);
    if (swapped.err) {
      this.#parts.journal.logDecision('layout-failed', {
        cellsPerDomain,
        error: swapped.val.message,
      });
    } else if (swapped.val.current) {
      this.#applyEntry(swapped.val.current);
    }
  }

  /** Other registered hosts of this host's failure domain. */
  domainPeers(): readonly HostIdentity[] {
    const { self } = this.#parts;
    this.#domainPeers ??= [...this.#hosts.values()].filter(
      ({ hostId, domain }) => domain === self.domain && hostId !== self.hostId,
    );
    return this.#domainPeers;
  }

  /** Addresses of all other registered hosts, those of this host's failure domain first. */
  otherAddresses(): readonly string[] {
    const { hostId, domain } = this.#parts.self;
    const elsewhere = [...this.#hosts.values()].filter(
      (host) => host.domain !== domain && host.hostId !== hostId,
    );
    return [...this.domainPeers(), ...elsewhere].map(({ address }) => address);
  }

  /** True if the record supersedes the one last read from the store. */
  isUnwritten(record: CellRecord): boolean {
    const stored = this.#stored.get(record.cell);
    return !stored || supersedes(record, stored.record);
  }

  /** Stores a record if it supersedes the known one. */
  merge(record: CellRecord, source: string): void {
    const known = this.#records.get(record.cell);
    if (known && !supersedes(record, known)) return;
    this.#records.set(record.cell, record);
    this.#digest = null;
    this.#parts.journal.logDecision('cell-owner', {
      cell: record.cell,
      owner: record.owner.hostId,
      incarnation: record.owner.incarnation,
      token: record.token,
      source,
    });
    this.#parts.onOwner(record);
  }

  /** Claims a cell in the store. Returns false if the store did not answer. */
  async claim(cell: string): Promise<boolean> {
    const known = this.#records.get(cell)?.token ?? 0;
    const token = (Math.floor(known / TOKEN_STEP) + 1) * TOKEN_STEP;
    return this.write({ cell, owner: this.#parts.self, token });
  }

  /** Claims a cell without the store. */
  claimWithoutStore(cell: string): void {
    const known = this.#records.get(cell);
    if (!known) return;
    const { rank, hostCount } = this.#rank();
    const token = tokenWithoutStore(known.token, rank, hostCount);
    if (token === null) return;
    this.#parts.journal.logDecision('claim-without-store', { cell, token });
    this.merge({ cell, owner: this.#parts.self, token }, 'own claim');
  }

  /**
   * Writes a record if the stored one is still at the known revision. Returns false if the store
   * did not answer.
   */
  async write(record: CellRecord): Promise<boolean> {
    const { store, journal } = this.#parts;
    const { cell, token } = record;
    const expected = this.#stored.get(cell)?.revision ?? 0;
    const swapped = await store.swap(cellKey(cell), encodeRecord(record), expected);
    if (this.#closed) return true;
    if (swapped.err) {
      journal.logDecision('claim-failed', { cell, token, expected, error: swapped.val.message });
      return false;
    }
    journal.logDecision('claim', { cell, token, expected, won: swapped.val.applied });
    if (swapped.val.current) this.#applyEntry(swapped.val.current);
    return true;
  }

  /** Records whether the store answers, and logs changes. */
  setStoreAvailable(up: boolean, detail: string): void {
    if (this.#isStoreAvailable === up) return;
    this.#isStoreAvailable = up;
    this.#parts.journal.logDecision(up ? 'store-regained' : 'store-lost', { detail });
  }

  /** Rank of this host in its domain by host id, from which its tokens without the store derive. */
  #rank(): { readonly rank: number; readonly hostCount: number } {
    const { self } = this.#parts;
    const ids = [self.hostId, ...this.domainPeers().map(({ hostId }) => hostId)].sort();
    return { rank: ids.indexOf(self.hostId), hostCount: ids.length };
  }

  #watch(): void {
    if (this.#closed) return;
    this.#parts.store.watch(
      RECORD_PREFIX,
      ({ entry }) => {
        if (entry) this.#applyEntry(entry);
      },
      (reason) => {
        this.setStoreAvailable(false, `the watch of the records ended: ${reason}`);
        setTimeout(() => this.#watch(), WATCH_RETRY_MS);
      },
      (entries) => this.#readAll(entries),
    );
  }

  #readAll(entries: readonly Entry[]): void {
    if (this.#closed) return;
    this.setStoreAvailable(true, 'the records were read');
    entries.forEach((entry) => this.#applyEntry(entry));
    this.#lacksLayout = !entries.some(({ key }) => key === LAYOUT_KEY);
    this.#register(entries);
  }

  /** Writes this host's entry, which tells the other hosts its address. */
  async #register(entries: readonly Entry[]): Promise<void> {
    const { self, store } = this.#parts;
    const key = hostKey(self.hostId);
    if (this.#hosts.get(self.hostId)?.incarnation === self.incarnation) return;
    const revision = entries.find((entry) => entry.key === key)?.modRevision ?? 0;
    const swapped = await store.swap(key, encodeHost(self), revision);
    if (swapped.err) {
      this.#parts.journal.logDecision('registration-failed', { error: swapped.val.message });
    }
  }

  #applyEntry(entry: Entry): void {
    const decoded = decodeEntry(entry);
    if (!decoded) {
      this.#parts.journal.logDecision('record-unreadable', { key: entry.key });
    } else if (decoded.type === 'host') {
      this.#hosts.set(decoded.host.hostId, decoded.host);
      this.#domainPeers = null;
    } else if (decoded.type === 'crashes') {
      this.#parts.onCrashes(decoded.hostId, decoded.records);
    } else if (decoded.type === 'layout') {
      this.setLayout(decoded.cellsPerDomain, 'store');
    } else {
      const { record } = decoded;
      const revision = entry.modRevision;
      if ((this.#stored.get(record.cell)?.revision ?? 0) < revision) {
        this.#stored.set(record.cell, { record, revision });
      }
      this.merge(record, 'store');
    }
  }
}
