/**
 * Messages between submitters and the owner of a cell. Times are given as durations from the moment
 * of sending, because the clocks of hosts are not synchronized.
 */
import type { TaskShape } from './job';

/** One task of a batch. */
export interface BatchTask {
  readonly name: string;
  /** Failed runs so far. */
  readonly failures: number;
  /** Highest run number so far. */
  readonly lastRun: number;
  /** A run of it that the cell's previous owner started may be in progress. */
  readonly mayRun: boolean;
}

/** Tasks of one step that a submitter sends to the owner of a cell. */
export interface TaskBatch {
  readonly batchId: string;
  readonly jobId: string;
  readonly queue: string;
  readonly service: string;
  readonly priority: number;
  readonly maxAttempts: number;
  readonly payload: string;
  readonly shape: TaskShape;
  readonly estimateMs: number;
  readonly tasks: readonly BatchTask[];
  /**
   * The objective, counted from the job's arrival, is this times its chain of tasks plus `goalMs`.
   */
  readonly slackFactor: number;
  readonly goalMs: number;
  readonly waitedMs: number;
  /** Declared run time of the steps before and after this one. */
  readonly otherStepsMs: number;
  /** Time left until the answer is no longer awaited. */
  readonly deadlineInMs: number;
  /** Tasks of the job have been started, so the batch is queued even if it will be late. */
  readonly begun: boolean;
  /** Runs of these tasks may be in progress in this cell, started by its previous owner. */
  readonly mayRun: boolean;
}

/** Adjusts the durations of a batch that was sent `ageMs` ago. */
export function agedBatch(batch: TaskBatch, ageMs: number): TaskBatch {
  return {
    ...batch,
    waitedMs: batch.waitedMs + ageMs,
    deadlineInMs: batch.deadlineInMs - ageMs,
  };
}

/** Why a cell refused a batch or gave it up. */
export const BatchReason = {
  overloaded: 'overloaded',
  noWorkers: 'no-workers',
  impossible: 'impossible',
  notOwner: 'not-owner',
  handedOver: 'handed-over',
  deadline: 'deadline',
  withdrawn: 'withdrawn',
  /** The submitter does not list the batch among those that it waits for. */
  notAwaited: 'not-awaited',
  superseded: 'superseded',
  unreachable: 'unreachable',
  /** The batch arrived so late that its submitter may have given it up. */
  expired: 'expired',
  /** The operators have drained the cell's failure domain. */
  domainDrained: 'domain-drained',
} as const;
export type BatchReason = (typeof BatchReason)[keyof typeof BatchReason];

/** How a batch ended. */
export type BatchOutcome =
  | { readonly type: 'done' }
  /** A task has failed as many times as its queue allows. */
  | { readonly type: 'failed'; readonly task: string }
  /** No task of the batch has been started or will be. */
  | { readonly type: 'refused'; readonly reason: BatchReason; readonly retryAfterMs: number }
  /**
   * Given up after a start. Its runs may continue until they are stopped or their leases expire.
   */
  | {
      readonly type: 'lost';
      readonly reason: BatchReason;
      /** Tasks that may have a run in progress; null if unknown. */
      readonly started: readonly string[] | null;
      /** Tasks that have succeeded. */
      readonly succeeded: readonly string[];
      /** Failed runs by task, so that another cell counts them; absent if no task has failed. */
      readonly failures?: Readonly<Record<string, number>>;
    };

/** How much of a batch a cell could serve if it were offered now. */
export interface CellRoom {
  /** Number of its tasks that could start at once. */
  readonly startable: number;
  /** Number of its tasks that could end in time, at least those that could start at once. */
  readonly tasks: number;
  /** Time after which all of them could. */
  readonly retryAfterMs: number;
  /** Why not all of them could; without meaning if they can. */
  readonly reason: BatchReason;
  /** Worker on which the first of them would start at once; only in answers that name it. */
  readonly workerId?: string | null;
}

/** Load of a cell; sent with each answer. */
export interface CellSummary {
  readonly cell: string;
  /** Free CPU of each worker on which tasks may be started. */
  readonly freeCpuMillis: readonly number[];
  readonly capacityCpuMillis: number;
  /** Waiting work: CPU times estimated run time. */
  readonly queuedCpuMillisMs: number;
}
