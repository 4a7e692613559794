/**
 * A copy of the entries with one prefix, brought up to date on demand. Between updates that follow
 * each other soon, only the changes are transferred. For entries that change all the time, such as
 * heartbeats, the changes of a long time are more than the entries, so an older copy is read anew.
 */
import { Ok, type Result } from 'ts-results';
import type { Change, Entry, StoreError } from './store';

/** All entries with a prefix, and a revision after which a later read of changes misses none. */
export interface Snapshot {
  readonly entries: readonly Entry[];
  readonly revision: number;
}

/** Changes in their order, and the revision to continue from. */
export interface Changes {
  readonly changes: readonly Change[];
  readonly revision: number;
}

/** Reads that a mirror makes. */
export interface MirroredStore {
  snapshot(prefix: string): Promise<Result<Snapshot, StoreError>>;
  /** Changes after a revision; null if the store no longer has the history. */
  changesAfter(prefix: string, revision: number): Promise<Result<Changes | null, StoreError>>;
}

/** What a mirror copies, and how old a copy may be to be updated by its changes. */
export interface MirrorOptions {
  readonly store: MirroredStore;
  readonly prefix: string;
  readonly maxAgeMs: number;
  readonly nowMs: () => number;
}

/** Mirror of the entries with one prefix. */
export class EntryMirror {
  readonly #options: MirrorOptions;

  readonly #entries = new Map<string, Entry>();

  /** Revision of the copy; null if all entries must be read. */
  #revision: number | null = null;

  /** When the read began of which the copy is the result. */
  #readAtMs = -Infinity;

  /** The latest update; updates are made one after the other. */
  #update: Promise<unknown> = Promise.resolve();

  constructor(options: MirrorOptions) {
    this.#options = options;
  }

  /**
   * Brings the copy up to date with a read that begins after this call, and returns its entries.
   * Entries that have not changed are the same objects as before.
   */
  update(): Promise<Result<readonly Entry[], StoreError>> {
    const update = this.#update.then(() => this.#read());
    this.#update = update;
    return update;
  }

  async #read(): Promise<Result<readonly Entry[], StoreError>> {
    const { nowMs, maxAgeMs } = this.#options;
    const beganAtMs = nowMs();
    const isRecent = beganAtMs - this.#readAtMs <= maxAgeMs;
    const read = isRecent ? await this.#readChanges() : Ok(false);
    if (read.err) return read;
    const complete = read.val ? read : await this.#readAll();
    if (complete.err) return complete;
    this.#readAtMs = beganAtMs;
    return Ok([...this.#entries.values()]);
  }

  /** Returns false if all entries must be read. */
  async #readChanges(): Promise<Result<boolean, StoreError>> {
    const { store, prefix } = this.#options;
    if (this.#revision === null) return Ok(false);
    const read = await store.changesAfter(prefix, this.#revision);
    if (read.err) return read;
    if (read.val === null) return Ok(false);
    read.val.changes.forEach(({ key, entry }) => {
      if (entry) this.#entries.set(key, entry);
      else this.#entries.delete(key);
    });
    this.#revision = read.val.revision;
    return Ok(true);
  }

  async #readAll(): Promise<Result<boolean, StoreError>> {
    const { store, prefix } = this.#options;
    this.#revision = null;
    const read = await store.snapshot(prefix);
    if (read.err) return read;
    this.#entries.clear();
    read.val.entries.forEach((entry) => this.#entries.set(entry.key, entry));
    this.#revision = read.val.revision;
    return Ok(true);
  }
}
