/**
 * Interface between the dispatcher and the platform's workers. The contract is in docs/design.md,
 * section 8: an attempt id never starts twice on one worker, and a refused attempt never started.
 */
import type { Resources } from '../core/job';
import type { WorkerRef } from '../core/messages';

/** A request to start a task on a worker. */
export interface TaskStart {
  readonly attemptId: string;
  readonly submission: string;
  readonly task: string;
  readonly team: string;
  readonly kind: string;
  readonly payload: unknown;
  readonly resources: Resources;
  readonly leaseMs: number;
}

/** The state of an attempt as known after a start, revoke or inquire request. */
export type AttemptResult =
  | { readonly state: 'succeeded'; readonly result: unknown; readonly runTimeMs: number }
  | { readonly state: 'failed'; readonly error: string; readonly runTimeMs: number }
  | { readonly state: 'stopped'; readonly runTimeMs: number }
  /** Never started and never will: refused by the worker, revoked, or no byte of it was sent. */
  | { readonly state: 'notStarted'; readonly reason: NotStartedReason }
  /**
   * The start was sent, but it is unknown whether it took effect. `gone` means that this can no
   * longer be found out: the process that got the start has exited.
   */
  | { readonly state: 'unclear'; readonly error: string; readonly gone?: boolean }
  /** Started and still running; returned only by `revoke` and `inquire`. */
  | { readonly state: 'running' };

/** Why an attempt never started. */
export const NotStartedReason = {
  full: 'full',
  leaving: 'leaving',
  incarnation: 'incarnation',
  revoked: 'revoked',
  unreachable: 'unreachable',
} as const;
export type NotStartedReason = (typeof NotStartedReason)[keyof typeof NotStartedReason];

/** A worker's status report; `reportAgeMs` is the age of its usage figures. */
export interface WorkerStatus {
  readonly id: string;
  readonly incarnation: string;
  readonly domain: string;
  readonly rack: string;
  readonly slots: number;
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly connections: number;
  readonly running: number;
  readonly reportAgeMs: number;
}

/** Client of the workers. No method rejects because of a worker or network failure. */
export interface Workers {
  /** Starts a task; resolves when it has ended, was refused, or its state is unclear. */
  start(worker: WorkerRef, start: TaskStart): Promise<AttemptResult>;
  /** Revokes an attempt whose start is unclear; `unclear` if the worker cannot be reached. */
  revoke(worker: WorkerRef, attemptId: string): Promise<AttemptResult>;
  /** Waits up to `waitMs` for a running attempt to end. */
  inquire(worker: WorkerRef, attemptId: string, waitMs: number): Promise<AttemptResult>;
  /** Renews the leases of running attempts; false if the worker did not confirm the renewal. */
  renew(worker: WorkerRef, attemptIds: readonly string[], leaseMs: number): Promise<boolean>;
  stop(worker: WorkerRef, attemptId: string): Promise<boolean>;
  checkpoint(worker: WorkerRef, attemptId: string): Promise<boolean>;
  throttle(worker: WorkerRef, attemptId: string, fraction: number): Promise<boolean>;
  /** Requests the worker's status; null if it did not answer or the report is malformed. */
  status(address: string): Promise<WorkerStatus | null>;
  /** Sets the maximum number of connections from this host to each worker; at least 1. */
  setConnectionLimit(connections: number): void;
  close(): Promise<void>;
}
