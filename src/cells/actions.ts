/** Actions that a cell asks its caller to carry out, and reports from its workers. */
import type { BatchOutcome } from './messages';

/** How a worker answered a start. */
export const StartAnswer = {
  accepted: 'accepted',
  /** The worker has seen a higher fencing token: this host no longer owns the cell. */
  fenced: 'fenced',
  /** The worker has already had a run of the task with this or a higher number. */
  stale: 'stale',
  /** The lease that the start carried had expired when it arrived. */
  late: 'late',
  noRoom: 'no-room',
  unhealthy: 'unhealthy',
  /** Another incarnation of the worker answered. */
  restarted: 'restarted',
  /** The start was not sent, as no connection to the worker was ready in time. */
  unsent: 'unsent',
  invalid: 'invalid',
  /** No answer: the worker may have carried the start out, or may still do so. */
  unclear: 'unclear',
} as const;
export type StartAnswer = (typeof StartAnswer)[keyof typeof StartAnswer];

/** How a run ended. */
export const RunOutcome = {
  succeeded: 'succeeded',
  failed: 'failed',
  stopped: 'stopped',
  /** Its lease expired. */
  lapsed: 'lapsed',
  /** Ended because of another task of its group. */
  broken: 'broken',
} as const;
export type RunOutcome = (typeof RunOutcome)[keyof typeof RunOutcome];

/** A run that a worker has in progress. */
export interface RunningEntry {
  readonly task: string;
  readonly run: number;
  readonly percent: number;
}

/** A run that has ended on a worker. */
export interface EndedRun {
  readonly sequence: number;
  readonly task: string;
  readonly run: number;
  readonly end: RunOutcome;
}

/** A worker's answer to a renewal of its leases. */
export interface WorkerReport {
  /** When the renewal was sent, on the clock of the cell's owner. */
  readonly sentAtMs: number;
  /** Start of the process that answered, in Unix milliseconds. */
  readonly processStartMs: number;
  readonly running: readonly RunningEntry[];
  readonly ended: readonly EndedRun[];
  /** True if more runs have ended than the report lists. */
  readonly hasMoreEnded?: boolean;
}

/** Fields of a line in the decision log. */
export type DecisionFields = Readonly<Record<string, unknown>>;

/** An action that a cell asks its caller to carry out. */
export type CellAction =
  | {
      readonly type: 'start';
      readonly workerId: string;
      /** Start of the process of the worker that the task was placed on. */
      readonly processStartMs: number;
      readonly task: string;
      readonly run: number;
      readonly payload: string;
    }
  | {
      readonly type: 'stop';
      readonly workerId: string;
      readonly task: string;
      readonly run: number;
    }
  | { readonly type: 'end'; readonly batchId: string; readonly outcome: BatchOutcome }
  | { readonly type: 'follow'; readonly workerId: string; readonly address: string }
  | { readonly type: 'unfollow'; readonly workerId: string }
  /** The entry of a worker is out of date; the list is to be read again soon. */
  | { readonly type: 'readWorkers' }
  /** A worker has accepted a newer owner; this one must give the cell up. */
  | { readonly type: 'stepDown'; readonly workerId: string }
  | { readonly type: 'decision'; readonly decision: string; readonly fields: DecisionFields };
