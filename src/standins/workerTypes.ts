/** Types of the stand-in worker: what it takes, what it answers, and the record it keeps. */
import type { Resources } from '../core/job';

/** Runs functions later; the model has no other access to time than this and a clock. */
export interface TimerScheduler {
  /** Calls `run` once after `delayMs`; the returned function cancels that. */
  after(delayMs: number, run: () => void): () => void;
}

/** Fixed properties of one worker. */
export interface WorkerModelOptions {
  readonly id: string;
  readonly domain: string;
  readonly rack: string;
  readonly slots: number;
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly connections: number;
  /** Age of the usage figures in status reports. */
  readonly reportLagMs: number;
  /** How long ended attempts and revocations are remembered. */
  readonly memoryOfAttemptsMs: number;
}

export const DEFAULT_WORKER_MODEL: WorkerModelOptions = {
  id: 'worker-1',
  domain: 'domain-1',
  rack: 'rack-1',
  slots: 8,
  cores: 60,
  memoryMb: 250_000,
  accelerators: 2,
  connections: 60,
  reportLagMs: 0,
  memoryOfAttemptsMs: 600_000,
};

/** A start as the worker gets it. `payload` is `{"runMs": n}`, with `"error"` for a task that fails. */
export interface WorkerStart {
  readonly attemptId: string;
  readonly submission: string;
  readonly task: string;
  readonly kind: string;
  readonly payload: unknown;
  readonly leaseMs: number;
  readonly incarnation: string;
  readonly resources: Resources;
}

/** Answer of the worker about an attempt; `unknown` is one it has never heard of. */
export type WorkerAnswer =
  | { readonly state: 'succeeded'; readonly result: unknown; readonly runTimeMs: number }
  | { readonly state: 'failed'; readonly error: string; readonly runTimeMs: number }
  | { readonly state: 'stopped'; readonly runTimeMs: number }
  | {
      readonly state: 'refused';
      readonly reason: 'full' | 'leaving' | 'incarnation' | 'revoked';
    }
  | { readonly state: 'neverStarted' | 'running' | 'unknown' };

/** How a started task ended; `died` is the end of the worker itself. */
export type TaskEnd = 'succeeded' | 'failed' | 'stopped' | 'lapsed' | 'died';

/** One start that took effect. Tests look here for tasks that started twice. */
export interface StartRecord {
  readonly attemptId: string;
  readonly submission: string;
  readonly task: string;
  readonly kind: string;
  readonly incarnation: string;
  readonly startedAtMs: number;
  endedAtMs: number | null;
  end: TaskEnd | null;
  checkpoints: number;
}

/** Faults of the task logic that can be switched on and off at any time. */
export interface ModelFaults {
  /** Refuse each start as `full`. */
  refuseAll: boolean;
  /** Refuse each start as `leaving`. */
  leaving: boolean;
  /** Fail each task at once. */
  failAll: boolean;
  /** Run times of tasks that start from now on are multiplied by this. */
  slowFactor: number;
}
