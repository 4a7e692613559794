/**
 * What submitters and the owner of a cell say to each other. Times are durations from the moment of
 * sending, because hosts share no clock.
 */
import type { TaskShape } from './job';

/** One task of a batch. `failures` counts its failed runs so far, `lastRun` its highest run number. */
export interface BatchTask {
  readonly name: string;
  readonly failures: number;
  readonly lastRun: number;
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

/** Why a cell did not take a batch, or gave it up. */
export const BatchReason = {
  overloaded: 'overloaded',
  noWorkers: 'no-workers',
  impossible: 'impossible',
  notOwner: 'not-owner',
  handedOver: 'handed-over',
  deadline: 'deadline',
  withdrawn: 'withdrawn',
  superseded: 'superseded',
  unreachable: 'unreachable',
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
   * Given up after a start. `settled` says that no run of it is left; otherwise runs may go on until
   * their leases end.
   */
  | { readonly type: 'lost'; readonly reason: BatchReason; readonly settled: boolean };

/** How full a cell is; sent with each answer. */
export interface CellSummary {
  readonly cell: string;
  /** Free processor of each worker that takes tasks. */
  readonly freeCpuMillis: readonly number[];
  readonly capacityCpuMillis: number;
  /** Work that waits: processor times estimated run time. */
  readonly queuedCpuMillisMs: number;
}
