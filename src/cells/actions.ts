/** What a cell wants done, and what it hears from its workers. */
import type { BatchOutcome } from './messages';

/** How a worker answered a start. */
export const StartAnswer = {
  accepted: 'accepted',
  /** The worker has seen a higher fencing token: this host does not own the cell any more. */
  fenced: 'fenced',
  /** A run with this or a higher number has been there. */
  stale: 'stale',
  /** The lease that the start asked for was over when it arrived. */
  late: 'late',
  noRoom: 'no-room',
  unhealthy: 'unhealthy',
  /** Another incarnation of the worker answered. */
  restarted: 'restarted',
  invalid: 'invalid',
  /** No answer: the start may have happened, or may happen later. */
  unclear: 'unclear',
} as const;
export type StartAnswer = (typeof StartAnswer)[keyof typeof StartAnswer];

/** How a run ended. */
export const RunOutcome = {
  succeeded: 'succeeded',
  failed: 'failed',
  stopped: 'stopped',
  /** Its lease ran out. */
  lapsed: 'lapsed',
  /** Ended for the sake of another task of its group. */
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
  /** When the question was sent, on the clock of the cell's owner. */
  readonly sentAtMs: number;
  readonly running: readonly RunningEntry[];
  readonly ended: readonly EndedRun[];
  /** More runs have ended than the report lists. */
  readonly hasMoreEnded?: boolean;
}

/** Fields of a line in the decision log. */
export type DecisionFields = Readonly<Record<string, unknown>>;

/** What a cell wants done. */
export type CellAction =
  | {
      readonly type: 'start';
      readonly workerId: string;
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
  /** A worker obeys a newer owner. */
  | { readonly type: 'stepDown'; readonly workerId: string }
  | { readonly type: 'decision'; readonly decision: string; readonly fields: DecisionFields };
