/**
 * The platform's workers as the dispatcher uses them. The contract is in docs/design.md, section 8:
 * an attempt id never starts twice on one worker, and a refusal means that it never started.
 */
import type { Resources } from '../core/job';
import type { WorkerRef } from '../core/messages';

/** A start sent to a worker. */
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

/** What is known of an attempt after a start, a revoke or an inquiry. */
export type AttemptResult =
  | { readonly state: 'succeeded'; readonly result: unknown; readonly runTimeMs: number }
  | { readonly state: 'failed'; readonly error: string; readonly runTimeMs: number }
  | { readonly state: 'stopped'; readonly runTimeMs: number }
  /** Never started and never will: refused by the worker, revoked, or no byte was sent. */
  | { readonly state: 'notStarted'; readonly reason: NotStartedReason }
  /**
   * The start was sent and its fate is not known. `gone` says that it never will be: the process that
   * got the start does not run any more.
   */
  | { readonly state: 'unclear'; readonly error: string; readonly gone?: boolean }
  /** Only from revoke and inquire: it has started and goes on. */
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

/** A worker's own report; `reportAgeMs` says how old the usage figures are. */
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

/** Client of the workers. No method rejects for a fault of the worker or the network. */
export interface Workers {
  /** Starts a task and resolves when it has ended, was refused, or its fate is unclear. */
  start(worker: WorkerRef, start: TaskStart): Promise<AttemptResult>;
  /** Revokes an attempt whose start is unclear; `unclear` if the worker can't be asked. */
  revoke(worker: WorkerRef, attemptId: string): Promise<AttemptResult>;
  /** Waits up to `waitMs` for the end of an attempt that is running. */
  inquire(worker: WorkerRef, attemptId: string, waitMs: number): Promise<AttemptResult>;
  /** Renews the leases of running attempts; false if the worker did not confirm. */
  renew(worker: WorkerRef, attemptIds: readonly string[], leaseMs: number): Promise<boolean>;
  stop(worker: WorkerRef, attemptId: string): Promise<boolean>;
  checkpoint(worker: WorkerRef, attemptId: string): Promise<boolean>;
  throttle(worker: WorkerRef, attemptId: string, fraction: number): Promise<boolean>;
  /** Null if the worker did not answer. */
  status(address: string): Promise<WorkerStatus | null>;
  /** Connections allowed per worker for this host: at least 1. */
  setConnectionLimit(connections: number): void;
  close(): Promise<void>;
}
