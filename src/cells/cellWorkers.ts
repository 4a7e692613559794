/** The workers of a cell, as the platform lists them. */
import type { CellAction } from './actions';
import { CellWorker, type WorkerEntry } from './worker';

/** Workers of one cell by id. */
export class CellWorkers {
  readonly byId = new Map<string, CellWorker>();

  readonly #push: (action: CellAction) => void;

  readonly #onMoved: (workerId: string, nowMs: number) => void;

  /** Calls `onMoved` when a worker has another address, so that another process answers. */
  constructor(
    push: (action: CellAction) => void,
    onMoved: (workerId: string, nowMs: number) => void,
  ) {
    this.#push = push;
    this.#onMoved = onMoved;
  }

  /**
   * Adds and updates workers from the platform's list, and marks those that it no longer contains.
   */
  update(entries: readonly WorkerEntry[], nowMs: number): void {
    const listed = new Set(entries.map(({ id }) => id));
    entries.forEach((entry) => this.#addOrUpdate(entry, nowMs));
    this.byId.forEach((worker, id) => {
      if (listed.has(id)) return;
      const missing = worker;
      missing.missingSinceMs ??= nowMs;
    });
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
