/**
 * The cells that this host owns. Starts an owner when a record names this host, and releases it
 * later.
 */
import type { CellOptions } from '../../cells/cellState';
import type { ListedWorkers } from '../../cells/cellWorkers';
import type { CrashHistory } from '../../cells/crashHistory';
import {
  BatchReason,
  type BatchOutcome,
  type CellRoom,
  type CellSummary,
  type TaskBatch,
} from '../../cells/messages';
import type { SubmitterContact } from '../../cells/submitterContact';
import { CellOwner } from './cellOwner';
import type { CellRecord } from './cellRecord';
import type { DispatchJournal } from '../journal';
import type { HostClock } from '../peers/peerClocks';
import type { BatchCall, RunsReply } from '../peers/peerMessages';
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

/** The outcome of a batch for a cell that this host does not own. */
export const NOT_OWNER: BatchOutcome = {
  type: 'refused',
  reason: BatchReason.notOwner,
  retryAfterMs: 0,
};

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

  /** Runs a batch that another host submitted. */
  async run({ cell, batch }: BatchCall, contact: SubmitterContact): Promise<BatchOutcome> {
    return this.get(cell)?.run(batch, contact) ?? NOT_OWNER;
  }

  withdraw(cell: string, batchId: string, reason: BatchReason): void {
    this.get(cell)?.withdraw(batchId, reason);
  }

  summary(cell: string): CellSummary | null {
    return this.get(cell)?.summary() ?? null;
  }

  /** How many tasks of a batch a cell could end in time; null if this host does not own it. */
  roomIn(cell: string, batch: TaskBatch, namesWorker: boolean): CellRoom | null {
    return this.get(cell)?.roomFor(batch, namesWorker) ?? null;
  }

  /** Whether runs of the job may be in progress in a cell; not in cells of other hosts. */
  runsOf(cell: string, jobId: string): RunsReply {
    return this.get(cell)?.runsOf(jobId) ?? { mayRun: false };
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
