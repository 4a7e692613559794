/**
 * The orders that the owner of a cell gives to its workers. Every order carries the owner's fencing
 * token; a worker that has seen a higher one does nothing. No method rejects.
 */
import type { EndedEntry, RunningEntry, StartAnswer } from '../cells/actions';

/** A worker to send orders to. */
export interface WorkerTarget {
  readonly id: string;
  readonly address: string;
}

/** Start of one run; times are on the worker's clock. */
export interface StartOrder {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  readonly leaseEndClockMs: number;
  readonly fencingToken: number;
}

/** Stop of one run. */
export interface StopOrder {
  readonly task: string;
  readonly run: number;
  readonly fencingToken: number;
}

/** Renewal of all leases on a worker; the answer waits up to `waitMs` for an end of a run. */
export interface RenewOrder {
  readonly fencingToken: number;
  /** Ends up to this sequence number are known and may be forgotten. */
  readonly acknowledged: number;
  /** Null before the worker's clock is known. */
  readonly leaseEndClockMs: number | null;
  readonly waitMs: number;
}

/** How a worker answered a stop. */
export const StopAnswer = {
  confirmed: 'confirmed',
  fenced: 'fenced',
  restarted: 'restarted',
  unclear: 'unclear',
} as const;
export type StopAnswer = (typeof StopAnswer)[keyof typeof StopAnswer];

/** How a worker answered a renewal. */
export type RenewAnswer =
  | {
      readonly type: 'listed';
      readonly clockMs: number;
      /** Start of the worker's process, in Unix milliseconds. */
      readonly bornMs: number;
      readonly running: readonly RunningEntry[];
      readonly ended: readonly EndedEntry[];
      /** The worker keeps more ends, which it lists once these are acknowledged. */
      readonly moreEnds?: boolean;
    }
  | { readonly type: 'fenced' }
  | { readonly type: 'restarted' }
  | { readonly type: 'silent'; readonly error: string };

/** Client for the workers. */
export interface WorkerControl {
  start(worker: WorkerTarget, order: StartOrder): Promise<StartAnswer>;
  stop(worker: WorkerTarget, order: StopOrder): Promise<StopAnswer>;
  renew(worker: WorkerTarget, order: RenewOrder): Promise<RenewAnswer>;
  /** Closes the connections to a worker that is not used any more. */
  forget(worker: WorkerTarget): void;
  close(): Promise<void>;
}
