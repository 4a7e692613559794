/** Cells without workers: a test answers each batch, and says who owns the cells. */
import type { BatchOutcome, CellSummary, TaskBatch } from '../../src/cells/messages';
import type { Caller } from '../../src/dispatcher/caller';
import type { CellRecord } from '../../src/dispatcher/cellRecord';
import type { StepRunnerCluster } from '../../src/dispatcher/stepRunner';
import { CellLoads } from '../../src/dispatcher/router';

/** Processor of one task, and of the room in a cell. */
export const TASK_CPU_MILLIS = 1000;

/** A batch that was handed to a cell. */
export interface SentBatch {
  readonly cell: string;
  readonly batch: TaskBatch;
  readonly sentAtMs: number;
  outcome: BatchOutcome | null;
  answer(outcome: BatchOutcome): void;
}

/** Where the owner of a cell is, as the submitter sees it. */
export interface FakeCell {
  readonly name: string;
  /** The submitter's own host owns it; a batch that is withdrawn there is refused if it did not start. */
  readonly isLocal: boolean;
  readonly room: number;
  token: number;
  /** Host that owns it. */
  ownerId: string;
  isServing: boolean;
}

/** How a batch ends when its owner is gone, or the call to it is broken. */
export const UNREACHABLE: BatchOutcome = {
  type: 'lost',
  reason: 'unreachable',
  started: null,
  succeeded: [],
};

/** Builds the refusal of a cell. */
export function refused(
  reason: 'overloaded' | 'not-owner' | 'withdrawn' | 'expired',
): BatchOutcome {
  return { type: 'refused', reason, retryAfterMs: 10 };
}

/** Builds the end of a batch that its owner gave up after a start. */
export function givenUp(reason: 'deadline' | 'withdrawn'): BatchOutcome {
  return { type: 'lost', reason, started: null, succeeded: [] };
}

/** A cell with room for some tasks. */
export function fakeCell(name: string, overrides: Partial<FakeCell> = {}): FakeCell {
  return {
    name,
    isLocal: false,
    room: 1,
    token: 1000,
    ownerId: 'b',
    isServing: true,
    ...overrides,
  };
}

/** The cells as one host sees them. */
export class FakeCells implements StepRunnerCluster {
  readonly loads = new CellLoads();

  readonly ownDomainCells: ReadonlySet<string> = new Set();

  readonly expectsOwner = true;

  /** All batches, in the order of sending. */
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

/** A caller that waits for its answer. */
export const PRESENT_CALLER: Caller = { hasDisconnected: false, onDisconnect: () => () => {} };
