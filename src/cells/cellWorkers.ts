/** The workers of a cell, as the platform lists them. */
import type { CellAction } from './actions';
import { entryAgeDecision } from './runDecisions';
import { CellWorker, type WorkerEntry } from './worker';

/** Workers as the directory listed them. */
export interface ListedWorkers {
  readonly entries: readonly WorkerEntry[];
  /** When the directory was read, on the owner's clock; -Infinity if unknown. */
  readonly readAtMs: number;
}

/** How long entries may be used; see `CellOptions`. */
export interface EntryRules {
  readonly maxEntryAgeMs: number;
  readonly guardsRoom: (service: string) => boolean;
}

/** Workers of one cell by id. */
export class CellWorkers {
  readonly byId = new Map<string, CellWorker>();

  readonly #rules: EntryRules;

  /** When the directory was last read, on the owner's clock. */
  #readAtMs = -Infinity;

  readonly #push: (action: CellAction) => void;

  readonly #onMoved: (workerId: string, nowMs: number) => void;

  /** Calls `onMoved` when a worker has another address, so that another process answers. */
  constructor(
    rules: EntryRules,
    push: (action: CellAction) => void,
    onMoved: (workerId: string, nowMs: number) => void,
  ) {
    this.#rules = rules;
    this.#push = push;
    this.#onMoved = onMoved;
  }

  /**
   * Adds and updates workers from the platform's list, and marks those that it no longer contains.
   */
  update({ entries, readAtMs }: ListedWorkers, nowMs: number): void {
    this.#readAtMs = readAtMs;
    const listed = new Set(entries.map(({ id }) => id));
    entries.forEach((entry) => this.#addOrUpdate(entry, nowMs));
    this.byId.forEach((worker, id) => {
      if (listed.has(id)) return;
      const missing = worker;
      missing.missingSinceMs ??= nowMs;
    });
    this.tick(nowMs);
  }

  /** Marks the workers whose entries are too old, and logs when that begins and ends. */
  tick(nowMs: number): void {
    const { maxEntryAgeMs, guardsRoom } = this.#rules;
    const isOld = nowMs - this.#readAtMs > maxEntryAgeMs;
    const changed = [...this.byId.values()].filter(({ entry, isEntryOutdated }) => {
      const isOutdated = isOld && !guardsRoom(entry.service);
      return isOutdated !== isEntryOutdated;
    });
    if (changed.length === 0) return;
    changed.forEach((worker) => {
      const marked = worker;
      marked.isEntryOutdated = !worker.isEntryOutdated;
    });
    const ageMs = Math.round(nowMs - this.#readAtMs);
    this.#push(entryAgeDecision(changed.length, isOld, ageMs));
  }

  /** Removes workers that have been missing from the list for `graceMs` and have no runs. */
  removeMissing(graceMs: number, nowMs: number): void {
    this.byId.forEach((worker, id) => {
      const { missingSinceMs } = worker;
      const missing = worker;
      missing.removed = missingSinceMs !== null && nowMs - missingSinceMs >= graceMs;
      if (!worker.removed || worker.runs.size > 0) return;
      this.byId.delete(id);
      this.#push({ type: 'unfollow', workerId: id });
    });
  }

  #addOrUpdate(entry: WorkerEntry, nowMs: number): void {
    const known = this.byId.get(entry.id);
    if (!known) {
      this.byId.set(entry.id, new CellWorker(entry));
      this.#push({ type: 'follow', workerId: entry.id, address: entry.address });
      return;
    }
    known.missingSinceMs = null;
    const addressChanged = known.entry.address !== entry.address;
    known.entry = entry;
    if (!addressChanged) return;
    this.#onMoved(entry.id, nowMs);
    this.#push({ type: 'unfollow', workerId: entry.id });
    this.#push({ type: 'follow', workerId: entry.id, address: entry.address });
  }
}
