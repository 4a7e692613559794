/**
 * Shares the history of lost workers among the hosts, so that a task's count does not depend on the
 * host that made it. Each host keeps its own records under one key of the store, which the others
 * watch; status answers carry the changes too, for the time when the store is not available.
 */
import type { CrashHistory } from '../../cells/crashHistory';
import type { CrashRecord } from '../../cells/crashRecord';
import type { Clock } from '../../core/clock';
import {
  crashesKey,
  decodeCrashes,
  encodeCrashes,
  type HostIdentity,
} from '../ownership/cellRecord';
import type { DispatchJournal } from '../journal';
import type { RecordStore } from '../platform';

/** Position in the history of one process. */
export interface CrashPosition {
  readonly incarnation: string;
  readonly revision: number;
}

/** Changes of a host's history since a position, and the position after them. */
export interface CrashUpdate {
  readonly position: CrashPosition;
  readonly records: readonly CrashRecord[];
}

/** Dependencies of a `CrashExchange`. */
export interface CrashExchangeParts {
  readonly self: HostIdentity;
  readonly crashes: CrashHistory;
  readonly store: Pick<RecordStore, 'swap'>;
  readonly clock: Clock;
  readonly journal: DispatchJournal;
}

const WRITE_RETRY_MS = 300;
const CLEANUP_PERIOD_MS = 1000;

/** Sends and receives records of lost workers for one host. */
export class CrashExchange {
  readonly #parts: CrashExchangeParts;

  /** Revision of this host's key in the store. */
  #storeRevision = 0;

  /** Own revision of the history at the last write that the store has confirmed. */
  #writtenRevision = 0;

  #isWriting = false;

  #retryAtMs = -Infinity;

  #cleanedAtMs = -Infinity;

  #closed = false;

  constructor(parts: CrashExchangeParts) {
    this.#parts = parts;
    parts.crashes.onOwnChange(() => queueMicrotask(() => this.#writeIfDue()));
  }

  close(): void {
    this.#closed = true;
  }

  /** Repeats a write that has failed, and removes expired records. */
  tick(): void {
    const { clock, crashes } = this.#parts;
    const nowMs = clock.nowMs();
    if (nowMs - this.#cleanedAtMs >= CLEANUP_PERIOD_MS) {
      this.#cleanedAtMs = nowMs;
      crashes.removeExpired();
    }
    this.#writeIfDue();
  }

  /** Changes since the position that another host has reached in this host's history. */
  changesSince(position: CrashPosition | undefined): CrashUpdate {
    const { self, crashes } = this.#parts;
    const isKnown = position?.incarnation === self.incarnation;
    return {
      position: { incarnation: self.incarnation, revision: crashes.revision },
      records: crashes.changedSince(isKnown ? position.revision : 0),
    };
  }

  /** Stores the records that another host has sent. */
  learn(records: readonly unknown[], source: string): void {
    const merged = this.#parts.crashes.merge(records);
    if (merged > 0) this.#parts.journal.logDecision('crashes-learned', { records: merged, source });
  }

  /** Stores the records that a host has written to the store. */
  applyStored(hostId: string, records: readonly unknown[]): void {
    if (hostId !== this.#parts.self.hostId) this.learn(records, hostId);
  }

  #writeIfDue(): void {
    const { clock, crashes } = this.#parts;
    const isWritten = crashes.ownRevision === this.#writtenRevision;
    if (isWritten || this.#isWriting || this.#closed) return;
    if (clock.nowMs() >= this.#retryAtMs) this.#write();
  }

  async #write(): Promise<void> {
    const { self, crashes, store, clock, journal } = this.#parts;
    const { ownRevision } = crashes;
    const text = encodeCrashes(crashes.changedSince(0, true));
    this.#isWriting = true;
    const swapped = await store.swap(crashesKey(self.hostId), text, this.#storeRevision);
    this.#isWriting = false;
    if (this.#closed) return;
    if (swapped.err) {
      journal.logDecision('crashes-unwritten', { error: swapped.val.message });
      this.#retryAtMs = clock.nowMs() + WRITE_RETRY_MS;
      return;
    }
    const { applied, current } = swapped.val;
    this.#storeRevision = current?.modRevision ?? 0;
    if (applied) this.#writtenRevision = ownRevision;
    // An earlier process of this host has written the key, or a write whose answer was lost.
    else if (current) crashes.merge(decodeCrashes(current.value) ?? [], true);
    this.#writeIfDue();
  }
}
