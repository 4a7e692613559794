/**
 * What submitters and the owner of a cell say to each other. Times are durations from the moment of
 * sending, because hosts share no clock.
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

/** Tasks of one step that a submitter hands to the owner of a cell. */
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
  /** The objective counts from the job's arrival: this many times its chain, and `goalMs` more. */
  readonly slackFactor: number;
  readonly goalMs: number;
  readonly waitedMs: number;
  /** Declared run time of the steps before and after this one. */
  readonly otherStepsMs: number;
  /** Time left until nobody waits for the answer any more. */
  readonly deadlineInMs: number;
  /** Tasks of the job have been started: the batch is queued even when it will be late. */
  readonly begun: boolean;
  /** Runs of these tasks may be in progress in this cell, started by its previous owner. */
  readonly mayRun: boolean;
}

/** The batch with its durations brought up to date, `ageMs` after they were told. */
export function agedBatch(batch: TaskBatch, ageMs: number): TaskBatch {
  return {
    ...batch,
    waitedMs: batch.waitedMs + ageMs,
    deadlineInMs: batch.deadlineInMs - ageMs,
  };
}

/** Why a cell did not take a batch, or gave it up. */
export const BatchReason = {
  overloaded: 'overloaded',
  noWorkers: 'no-workers',
  impossible: 'impossible',
  notOwner: 'not-owner',
  handedOver: 'handed-over',
  deadline: 'deadline',
  withdrawn: 'withdrawn',
  /** The submitter does not name it among those that it waits for. */
  notAwaited: 'not-awaited',
  superseded: 'superseded',
  unreachable: 'unreachable',
  /** It came so late that its submitter may have given it up. */
  expired: 'expired',
} as const;
export type BatchReason = (typeof BatchReason)[keyof typeof BatchReason];

/** How a batch ended. */
export type BatchOutcome =
  | { readonly type: 'done' }
  /** A task has failed as often as its queue allows. */
  | { readonly type: 'failed'; readonly task: string }
  /** Nothing of the batch has started or ever will. */
  | { readonly type: 'refused'; readonly reason: BatchReason; readonly retryAfterMs: number }
  /**
   * Given up after a start. Runs of it may go on until they are stopped or their leases end.
   */
  | {
      readonly type: 'lost';
      readonly reason: BatchReason;
      /** Tasks of which a run may be in progress; null if that is not known. */
      readonly started: readonly string[] | null;
      /** Tasks that have succeeded. */
      readonly succeeded: readonly string[];
    };

/** How full a cell is; sent with each answer. */
export interface CellSummary {
  readonly cell: string;
  /** Free processor of each worker that takes tasks. */
  readonly freeCpuMillis: readonly number[];
  readonly capacityCpuMillis: number;
  /** Work that waits: processor times estimated run time. */
  readonly queuedCpuMillisMs: number;
}
