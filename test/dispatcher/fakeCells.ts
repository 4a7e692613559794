/** Fake cells without workers. A test answers each batch and sets the owners of the cells. */
import type { BatchOutcome, CellRoom, CellSummary, TaskBatch } from '../../src/cells/messages';
import type { Caller } from '../../src/dispatcher/jobs/caller';
import type { CellRecord } from '../../src/dispatcher/ownership/cellRecord';
import type { StepRunnerCluster } from '../../src/dispatcher/jobs/stepRunner';
import { CellLoads } from '../../src/dispatcher/jobs/router';

/** Processor requirement of one task; the room of a cell is a multiple of it. */
export const TASK_CPU_MILLIS = 1000;

/** A batch that was submitted to a cell. */
export interface SentBatch {
  readonly cell: string;
  readonly batch: TaskBatch;
  readonly sentAtMs: number;
  outcome: BatchOutcome | null;
  answer(outcome: BatchOutcome): void;
}

/** State of a cell and its owner, as the submitter sees it. */
export interface FakeCell {
  readonly name: string;
  /**
   * True if the submitter's own host owns it. A withdrawn batch that has not started is then
   * refused.
   */
  readonly isLocal: boolean;
  readonly room: number;
  token: number;
  /** Id of the host that owns it. */
  ownerId: string;
  isServing: boolean;
  /** Answer to a question for room; null if the owner gives none. */
  readonly answeredRoom: CellRoom | null;
  /** Jobs of which the new owner of the cell has found runs; empty unless it has changed owners. */
  readonly foundJobs: Set<string>;
}

/** Outcome of a batch whose owner is lost, or whose call failed. */
export const UNREACHABLE: BatchOutcome = {
  type: 'lost',
  reason: 'unreachable',
  started: null,
  succeeded: [],
};

/** Returns the outcome of a batch that a cell refuses. */
export function refused(
  reason: 'overloaded' | 'not-owner' | 'withdrawn' | 'expired',
): BatchOutcome {
  return { type: 'refused', reason, retryAfterMs: 10 };
}

/** Returns the outcome of a batch that its owner abandoned after a start. */
export function givenUp(reason: 'deadline' | 'withdrawn'): BatchOutcome {
  return { type: 'lost', reason, started: null, succeeded: [] };
}

/** Returns a cell with room for one task unless overridden. */
export function fakeCell(name: string, overrides: Partial<FakeCell> = {}): FakeCell {
  return {
    name,
    isLocal: false,
    room: 1,
    token: 1000,
    ownerId: 'b',
    isServing: true,
    answeredRoom: null,
    foundJobs: new Set(),
    ...overrides,
  };
}

/** Fake of the cells as seen by one host. */
export class FakeCells implements StepRunnerCluster {
  readonly loads = new CellLoads();

  readonly ownDomainCells: ReadonlySet<string> = new Set();

  expectsOwner = true;

  lacksOwner = false;

  /** All batches, in the order in which they were sent. */
  readonly sent: SentBatch[] = [];

  /** Called with each batch when it is sent. */
  onSend: ((sent: SentBatch) => void) | null = null;

  readonly #cells: readonly FakeCell[];

  readonly #nowMs: () => number;

  constructor(cells: readonly FakeCell[], nowMs: () => number) {
    this.#cells = cells;
    this.#nowMs = nowMs;
  }

  serving(): readonly CellSummary[] {
    return this.#cells
      .filter(({ isServing: serves }) => serves)
      .map(({ name, room }) => ({
        cell: name,
        freeCpuMillis: [room * TASK_CPU_MILLIS],
        capacityCpuMillis: room * TASK_CPU_MILLIS,
        queuedCpuMillisMs: 0,
      }));
  }

  ownerOf(cell: string): CellRecord {
    const { ownerId, token } = this.#cell(cell);
    const place = { domain: 'd', address: `${ownerId}:1`, cores: 1 };
    return { cell, owner: { hostId: ownerId, incarnation: '1', ...place }, token };
  }

  isServing(cell: string): boolean {
    return this.#cell(cell).isServing;
  }

  recentlyTakenOver(): readonly string[] {
    return this.#cells.filter(({ foundJobs }) => foundJobs.size > 0).map(({ name }) => name);
  }

  async roomIn(cell: string): Promise<CellRoom | null> {
    return this.#cell(cell).answeredRoom;
  }

  async mayRunJob(cell: string, jobId: string): Promise<boolean> {
    return this.#cell(cell).foundJobs.has(jobId);
  }

  run(cell: string, batch: TaskBatch, abort: AbortController): Promise<BatchOutcome> {
    const { isLocal } = this.#cell(cell);
    return new Promise((resolve) => {
      const sent: SentBatch = {
        cell,
        batch,
        sentAtMs: this.#nowMs(),
        outcome: null,
        answer: (outcome) => {
          sent.outcome ??= outcome;
          resolve(sent.outcome);
        },
      };
      abort.signal.addEventListener('abort', () =>
        sent.answer(isLocal ? refused('withdrawn') : UNREACHABLE),
      );
      this.sent.push(sent);
      this.onSend?.(sent);
    });
  }

  #cell(cell: string): FakeCell {
    const found = this.#cells.find(({ name }) => name === cell);
    if (!found) throw new Error(`no cell ${cell}`);
    return found;
  }
}

/** A caller that stays connected. */
export const PRESENT_CALLER: Caller = { hasDisconnected: false, onDisconnect: () => () => {} };
