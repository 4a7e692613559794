/**
 * The owners of the cells as this host knows them, from the store and from other hosts. Claims are
 * compare-and-swaps in the store. When the store can't be reached, a host of the cell's own domain may
 * claim without it: each host has fencing tokens of its own for that, so that workers obey one of two
 * such claims, and the other host hears of it from them. Where hosts don't agree on whose they are, the
 * records decide when the hosts tell each other. The claim is written when the store is back.
 */
import type { Entry } from '../store/store';
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
import type { DispatchJournal } from './journal';
import type { RecordStore } from './platform';

/** What a record keeper is built from. */
export interface CellRegistryParts {
  readonly self: HostIdentity;
  readonly store: RecordStore;
  readonly journal: DispatchJournal;
  /** Called with each newer owner of a cell. */
  readonly onOwner: (record: CellRecord) => void;
  /** Called once, with the number of cells in each failure domain. */
  readonly onLayout: (cellsPerDomain: number) => void;
}

const WATCH_AGAIN_MS = 200;

/** Records of all cells. */
export class CellRegistry {
  readonly #parts: CellRegistryParts;

  readonly #records = new Map<string, CellRecord>();

  /** Records as the store holds them, with the revision of their last change. */
  readonly #stored = new Map<string, { readonly record: CellRecord; readonly revision: number }>();

  readonly #hosts = new Map<string, HostIdentity>();

  /** Null when the records have changed since it was last made. */
  #digest: string | null = null;

  #cellsPerDomain: number | null = null;

  /** The store has been read and holds no layout. */
  #lacksLayout = false;

  #storeUp: boolean | null = null;

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

  /** Number of cells in each failure domain; null while it is not known. */
  get cellsPerDomain(): number | null {
    return this.#cellsPerDomain;
  }

  /** True if no host has chosen a layout yet, as far as the store tells. */
  get lacksLayout(): boolean {
    return this.#lacksLayout && this.#cellsPerDomain === null;
  }

  /** Digest of all owners: two hosts with the same digest know the same. */
  get digest(): string {
    this.#digest ??= digestOf(this.all());
    return this.#digest;
  }

  /** Takes the layout that the store or another host tells. */
  setLayout(cellsPerDomain: number, source: string): void {
    if (this.#cellsPerDomain !== null) return;
    this.#cellsPerDomain = cellsPerDomain;
    this.#parts.journal.logDecision('layout', { cellsPerDomain, source });
    this.#parts.onLayout(cellsPerDomain);
  }

  /** Writes the layout unless another host has written one. */
  async proposeLayout(cellsPerDomain: number): Promise<void> {
    const swapped = await this.#parts.store.swap(LAYOUT_KEY, encodeLayout(cellsPerDomain), 0);
    if (swapped.err) {
      this.#parts.journal.logDecision('layout-failed', {
        cellsPerDomain,
        error: swapped.val.message,
      });
    } else if (swapped.val.current) {
      this.#takeEntry(swapped.val.current);
    }
  }

  /** Other hosts of this host's domain that have registered. */
  domainPeers(): readonly HostIdentity[] {
    const { self } = this.#parts;
    return [...this.#hosts.values()].filter(
      ({ hostId, domain }) => domain === self.domain && hostId !== self.hostId,
    );
  }

  /** True if the record is newer than what the store is known to hold. */
  isUnwritten(record: CellRecord): boolean {
    const stored = this.#stored.get(record.cell);
    return !stored || supersedes(record, stored.record);
  }

  /** Takes a record if it is newer than the known one. */
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

  /** Claims a cell in the store; false if the store could not be asked. */
  async claim(cell: string): Promise<boolean> {
    const known = this.#records.get(cell)?.token ?? 0;
    const token = (Math.floor(known / TOKEN_STEP) + 1) * TOKEN_STEP;
    return this.write({ cell, owner: this.#parts.self, token });
  }

  /** Claims a cell without the store. */
  claimAlone(cell: string): void {
    const known = this.#records.get(cell);
    if (!known) return;
    const { rank, places } = this.#rank();
    const token = tokenWithoutStore(known.token, rank, places);
    if (token === null) return;
    this.#parts.journal.logDecision('claim-without-store', { cell, token });
    this.merge({ cell, owner: this.#parts.self, token }, 'own claim');
  }

  /** Writes a record unless the store holds another one than is known; false if it can't be asked. */
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
    if (swapped.val.current) this.#takeEntry(swapped.val.current);
    return true;
  }

  /** Notes whether the store answers. */
  storeSeen(up: boolean, detail: string): void {
    if (this.#storeUp === up) return;
    this.#storeUp = up;
    this.#parts.journal.logDecision(up ? 'store-regained' : 'store-lost', { detail });
  }

  /** Place of this host among those of its domain; it tells their tokens apart. */
  #rank(): { readonly rank: number; readonly places: number } {
    const { self } = this.#parts;
    const ids = [self.hostId, ...this.domainPeers().map(({ hostId }) => hostId)].sort();
    return { rank: ids.indexOf(self.hostId), places: ids.length };
  }

  #watch(): void {
    if (this.#closed) return;
    this.#parts.store.watch(
      RECORD_PREFIX,
      ({ entry }) => {
        if (entry) this.#takeEntry(entry);
      },
      () => {
        this.storeSeen(false, 'the watch of the records ended');
        setTimeout(() => this.#watch(), WATCH_AGAIN_MS);
      },
      () => this.#read(),
    );
  }

  async #read(): Promise<void> {
    const listed = await this.#parts.store.list(RECORD_PREFIX);
    if (this.#closed) return;
    if (listed.err) {
      this.storeSeen(false, listed.val.message);
      return;
    }
    this.storeSeen(true, 'the records were read');
    listed.val.forEach((entry) => this.#takeEntry(entry));
    this.#lacksLayout = !listed.val.some(({ key }) => key === LAYOUT_KEY);
    await this.#register(listed.val);
  }

  /** Lets the other hosts know where this one is. */
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

  #takeEntry(entry: Entry): void {
    const decoded = decodeEntry(entry);
    if (!decoded) {
      this.#parts.journal.logDecision('record-unreadable', { key: entry.key });
    } else if (decoded.type === 'host') {
      this.#hosts.set(decoded.host.hostId, decoded.host);
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
