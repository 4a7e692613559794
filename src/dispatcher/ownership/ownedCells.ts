/**
 * The cells that this host owns. Starts an owner when a record names this host, and releases it
 * later.
 */
import type { CellOptions } from '../../cells/cellState';
import type { ListedWorkers } from '../../cells/cellWorkers';
import type { CrashHistory } from '../../cells/crashHistory';
import { CellOwner } from './cellOwner';
import type { CellRecord } from './cellRecord';
import type { DispatchJournal } from '../journal';
import type { HostClock } from '../peers/peerClocks';
import type { WorkerClient } from './workerClient';
import type { SessionOptions } from './workerSession';

/** Dependencies of `OwnedCells`. */
export interface OwnedCellsParts {
  readonly workerClient: WorkerClient;
  readonly options: CellOptions & SessionOptions;
  readonly crashes: CrashHistory;
  /** See `CellOptions`. */
  readonly guardsRoom: (service: string) => boolean;
  /** True if the operators have drained the failure domain of a cell. */
  readonly isDrained: (cell: string) => boolean;
  readonly clock: HostClock;
  readonly journal: DispatchJournal;
  /** Called when the entry of a worker is out of date. */
  readonly onOutdatedEntry: () => void;
}

/** Cells owned by one host. */
export class OwnedCells {
  readonly #parts: OwnedCellsParts;

  readonly #owners = new Map<string, CellOwner>();

  constructor(parts: OwnedCellsParts) {
    this.#parts = parts;
  }

  get(cell: string): CellOwner | null {
    return this.#owners.get(cell) ?? null;
  }

  all(): readonly CellOwner[] {
    return [...this.#owners.values()];
  }

  /** Starts to run a cell whose record names this host. */
  add({ cell, token }: CellRecord, known: ListedWorkers): void {
    const { journal } = this.#parts;
    const owner = new CellOwner({
      ...this.#parts,
      cell,
      fencingToken: token,
      drained: this.#parts.isDrained(cell),
      onFenced: (workerId) => {
        journal.logDecision('fenced', { cell, worker: workerId, fencingToken: token });
        if (this.#owners.get(cell) === owner) this.#release(owner, 'fenced');
      },
    });
    this.#owners.set(cell, owner);
    journal.logDecision('cell-owned', { cell, fencingToken: token });
    if (known.entries.length > 0) owner.setWorkers(known);
  }

  /** Tells all owners whether their cells are drained. */
  updateDrains(): void {
    this.#owners.forEach((owner, cell) => owner.setDrained(this.#parts.isDrained(cell)));
  }

  /** Releases a cell if a new record has superseded this host's claim. */
  releaseSuperseded({ cell, token }: CellRecord): void {
    const owner = this.#owners.get(cell);
    if (owner && owner.fencingToken <= token) this.#release(owner, 'newer-owner');
  }

  close(): void {
    this.#owners.forEach((owner) => owner.close());
    this.#owners.clear();
  }

  #release(owner: CellOwner, reason: string): void {
    const { cell, fencingToken } = owner;
    this.#owners.delete(cell);
    owner.close();
    this.#parts.journal.logDecision('cell-released', { cell, fencingToken, reason });
  }
}
