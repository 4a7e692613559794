/**
 * Decides for all tasks of a step, before any of them starts, how many each cell takes. Cells admit
 * the parts of a divided job independently of each other. Without this decision some parts start
 * while others find no room; these are queued late, the whole job is late, and its tasks have taken
 * room from jobs that could have ended in time.
 */
import { BatchReason, type CellRoom, type CellSummary, type TaskBatch } from '../../cells/messages';
import type { DispatchJournal } from '../journal';
import { assignByRoom, byLoad, type CellAssignment } from './router';

/** The members of the cluster that a division uses. */
export interface DivisionCluster {
  readonly ownDomainCells: ReadonlySet<string>;
  serving(): readonly CellSummary[];
  /** Number of tasks of the batch that the cell could end in time; null without an answer. */
  roomIn(cell: string, batch: TaskBatch, namesWorker?: boolean): Promise<CellRoom | null>;
}

/** A cell that has answered how much room it has for a batch. */
export interface AskedCell extends CellRoom {
  readonly cell: string;
}

/** Outcome of a division. */
export type Division =
  | { readonly type: 'assigned'; readonly assignments: readonly CellAssignment[] }
  /** The cells together have too little room now; nothing has been sent to them. */
  | { readonly type: 'refused'; readonly reason: BatchReason; readonly retryAfterMs: number }
  /** No cell has answered, for example because its owner is of an earlier version. */
  | { readonly type: 'unknown' };

/** Cells asked for one step: the least loaded ones. */
const MAX_CELLS_ASKED = 6;
const MIN_RETRY_AFTER_MS = 100;

/** Divides the tasks of one step over the cells. */
export class JobDivision {
  readonly #cluster: DivisionCluster;

  readonly #journal: DispatchJournal;

  constructor(cluster: DivisionCluster, journal: DispatchJournal) {
    this.#cluster = cluster;
    this.#journal = journal;
  }

  /** Asks the cells for their room for `batch`, which holds all tasks of the step. */
  async divide(batch: TaskBatch): Promise<Division> {
    const rooms = await this.ask(batch);
    const division = this.decide(rooms, batch.tasks.length);
    if (division.type === 'unknown') return division;
    this.#journal.logDecision('job-divided', {
      jobId: batch.jobId,
      tasks: batch.tasks.length,
      rooms: rooms.map(({ cell, startable, tasks }) => `${cell}:${startable}/${tasks}`),
      parts: division.type === 'assigned' ? division.assignments.length : 0,
    });
    return division;
  }

  /** The answers of the least loaded cells; with `namesWorker` they tell a worker, too. */
  async ask(batch: TaskBatch, namesWorker = false): Promise<readonly AskedCell[]> {
    const { ownDomainCells } = this.#cluster;
    const cells = byLoad(this.#cluster.serving(), ownDomainCells, batch.estimateMs)
      .slice(0, MAX_CELLS_ASKED)
      .map(({ cell }) => cell);
    const question = { ...batch, payload: '' };
    const answers = await Promise.all(
      cells.map((cell) => this.#cluster.roomIn(cell, question, namesWorker)),
    );
    return cells.flatMap((cell, index) => {
      const room = answers[index];
      return room ? [{ cell, ...room }] : [];
    });
  }

  /** Decides where the tasks of a step go by the rooms that the cells have told. */
  // eslint-disable-next-line class-methods-use-this -- belongs to `ask`
  decide(rooms: readonly AskedCell[], taskCount: number): Division {
    if (rooms.length === 0) return { type: 'unknown' };
    // Tasks that start at once in several cells end earlier than those that wait in one.
    const atOnce = rooms.map(({ cell, startable }) => ({ cell, tasks: startable }));
    const assignments = assignByRoom(atOnce, taskCount) ?? assignByRoom(rooms, taskCount);
    if (assignments) return { type: 'assigned', assignments };
    const soonestMs = Math.min(...rooms.map(({ retryAfterMs }) => retryAfterMs));
    const isOverloaded = rooms.some(({ reason }) => reason === BatchReason.overloaded);
    const reason = isOverloaded
      ? BatchReason.overloaded
      : (rooms[0]?.reason ?? BatchReason.noWorkers);
    return { type: 'refused', reason, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, soonestMs) };
  }
}
