/**
 * Requests of a cell's owner to its workers. Every request carries the owner's fencing token; a
 * worker that has seen a higher token rejects it. Promises of the client never reject.
 */
import type { EndedRun, RunningEntry, StartAnswer } from '../../cells/actions';

/** A worker that requests are sent to. */
export interface WorkerTarget {
  readonly id: string;
  readonly address: string;
}

/** Starts a run. Times are on the worker's clock. */
export interface StartRequest {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  readonly leaseEndClockMs: number;
  readonly fencingToken: number;
  /** Start of the process that the request is meant for; it is sent to no other one. */
  readonly processStartMs: number;
}

/** Stops a run. */
export interface StopRequest {
  readonly task: string;
  readonly run: number;
  /** As in `StartRequest`. */
  readonly processStartMs: number;
  readonly fencingToken: number;
}

/**
 * Renews all leases on a worker. The worker waits up to `waitMs` for a run to end, then answers.
 */
export interface RenewRequest {
  readonly fencingToken: number;
  /** The owner knows the ends up to this sequence number; the worker may delete them. */
  readonly acknowledged: number;
  /** Null if the worker's clock is not known yet, or leases are not to be extended. */
  readonly leaseEndClockMs: number | null;
  readonly waitMs: number;
}

/** Result of a stop. */
export const StopAnswer = {
  confirmed: 'confirmed',
  fenced: 'fenced',
  restarted: 'restarted',
  unclear: 'unclear',
} as const;
export type StopAnswer = (typeof StopAnswer)[keyof typeof StopAnswer];

/** Result of a renewal. */
export type RenewAnswer =
  | {
      readonly type: 'listed';
      readonly clockMs: number;
      /** Start time of the worker's process, in Unix milliseconds. */
      readonly processStartMs: number;
      readonly running: readonly RunningEntry[];
      readonly ended: readonly EndedRun[];
      /** True if the worker has more ends, which it lists once these are acknowledged. */
      readonly hasMoreEnded?: boolean;
    }
  | { readonly type: 'fenced' }
  | { readonly type: 'restarted' }
  | { readonly type: 'silent'; readonly error: string };

/** Client for the workers. */
export interface WorkerClient {
  start(worker: WorkerTarget, request: StartRequest): Promise<StartAnswer>;
  stop(worker: WorkerTarget, request: StopRequest): Promise<StopAnswer>;
  renew(worker: WorkerTarget, request: RenewRequest): Promise<RenewAnswer>;
  /** Closes the connections to a worker that is no longer used. */
  disconnect(worker: WorkerTarget): void;
  close(): Promise<void>;
}
