/** One run of a task on a worker, from the decision to start it until its end is known. */
import type { TaskShape } from './job';

/** State of a run as far as the owner knows. */
export const RunState = {
  /** The start has been sent and has no answer yet. */
  starting: 'starting',
  running: 'running',
  /** The start had no answer; the worker's list of runs shows whether it was carried out. */
  unclear: 'unclear',
  /** A stop has been sent; the run occupies its CPU until its end is reported. */
  stopping: 'stopping',
} as const;
export type RunState = (typeof RunState)[keyof typeof RunState];

/** How far a run is kept apart from others on its worker. */
export const Isolation = {
  none: 'none',
  /** No other isolated run is placed beside it, and other tasks prefer other workers. */
  apart: 'apart',
  /** It has its worker for itself. */
  exclusive: 'exclusive',
} as const;
export type Isolation = (typeof Isolation)[keyof typeof Isolation];

/** A run, identified by `task` and `run` together. */
export interface Run {
  readonly task: string;
  readonly run: number;
  readonly workerId: string;
  /** Shape, queue and expected run time of a run found on a worker are set when it is claimed. */
  shape: TaskShape;
  queue: string;
  readonly jobId: string;
  readonly isolation: Isolation;
  /** Batch that the run belongs to; null for a run that was found on a worker and not claimed. */
  batchId: string | null;
  /** True while that batch has no outcome. */
  awaited: boolean;
  state: RunState;
  readonly startedAtMs: number;
  /** Expected run time on this worker. */
  expectedMs: number;
  /** When the worker first confirmed the start; null until then. */
  confirmedAtMs: number | null;
  /** True once the worker's list of runs has contained the run. */
  listed: boolean;
  /** Time by which the lease that the start carries has expired. */
  readonly startExpiresMs: number;
  /**
   * True if the task may be started elsewhere, because all leases granted to the worker have
   * expired. The worker might still carry the start out under a later lease.
   */
  released: boolean;
  /** When a stop was last sent, and when the worker first confirmed one; null until then. */
  stopSentAtMs: number | null;
  stopConfirmedAtMs: number | null;
  /** True if the last stop had no answer. */
  stopUnanswered: boolean;
  /** Last reported progress, the time of that report, and the time when it last changed. */
  percent: number;
  reportedAtMs: number;
  progressAtMs: number;
}

/** Initial properties of a run. */
export interface RunInit {
  readonly task: string;
  readonly run: number;
  readonly workerId: string;
  readonly shape: TaskShape;
  readonly queue: string;
  readonly jobId: string;
  readonly batchId: string | null;
  readonly expectedMs: number;
  readonly startExpiresMs: number;
  readonly isolation: Isolation;
}

/** Creates a run whose start is sent now. */
export function createRun(init: RunInit, nowMs: number): Run {
  return {
    ...init,
    awaited: init.batchId !== null,
    state: RunState.starting,
    startedAtMs: nowMs,
    confirmedAtMs: null,
    listed: false,
    released: false,
    stopSentAtMs: null,
    stopConfirmedAtMs: null,
    stopUnanswered: false,
    percent: 0,
    reportedAtMs: nowMs,
    progressAtMs: nowMs,
  };
}

/** A run is overdue after this many times its expected run time plus a margin. */
const OVERDUE_RATIO = 1.5;
const OVERDUE_MARGIN_MS = 20;

/** Time from which a run should have ended. */
export function overdueAtMs({ startedAtMs, expectedMs }: Run): number {
  return startedAtMs + OVERDUE_RATIO * expectedMs + OVERDUE_MARGIN_MS;
}

/** Key of a run in a map. */
export function runKey(task: string, run: number): string {
  return `${task}#${run}`;
}
