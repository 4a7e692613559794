/**
 * The orders that the owner of a cell gives to its workers. Every order carries the owner's fencing
 * token; a worker that has seen a higher one does nothing. No method rejects.
 */
import type { EndedRun, RunningEntry, StartAnswer } from '../cells/actions';

/** A worker to send orders to. */
export interface WorkerTarget {
  readonly id: string;
  readonly address: string;
}

/** Start of one run; times are on the worker's clock. */
export interface StartRequest {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  readonly leaseEndClockMs: number;
  readonly fencingToken: number;
}

/** Stop of one run. */
export interface StopRequest {
  readonly task: string;
  readonly run: number;
  readonly fencingToken: number;
}

/** Renewal of all leases on a worker; the answer waits up to `waitMs` for an end of a run. */
export interface RenewRequest {
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
      readonly processStartMs: number;
      readonly running: readonly RunningEntry[];
      readonly ended: readonly EndedRun[];
      /** The worker keeps more ends, which it lists once these are acknowledged. */
      readonly hasMoreEnded?: boolean;
    }
  | { readonly type: 'fenced' }
  | { readonly type: 'restarted' }
  | { readonly type: 'silent'; readonly error: string };

/** Client for the workers. */
export interface WorkerClient {
  start(worker: WorkerTarget, order: StartRequest): Promise<StartAnswer>;
  stop(worker: WorkerTarget, order: StopRequest): Promise<StopAnswer>;
  renew(worker: WorkerTarget, order: RenewRequest): Promise<RenewAnswer>;
  /** Closes the connections to a worker that is not used any more. */
  disconnect(worker: WorkerTarget): void;
  close(): Promise<void>;
}
