/** One run of a task on a worker, from the decision to start it until its end is known. */
import type { TaskShape } from './job';

/** What is known of a run. */
export const RunState = {
  /** The start has been sent and not been answered yet. */
  starting: 'starting',
  running: 'running',
  /** The start had no answer; the worker's list of runs will tell. */
  unclear: 'unclear',
  /** A stop has been sent; its processor is in use until the end is listed. */
  stopping: 'stopping',
} as const;
export type RunState = (typeof RunState)[keyof typeof RunState];

/** A run; `task` and `run` together name it. */
export interface Run {
  readonly task: string;
  readonly run: number;
  readonly workerId: string;
  /** Known only once a submitter has claimed a run that was found on a worker. */
  shape: TaskShape;
  queue: string;
  readonly jobId: string;
  /** Batch that waits for it; null for a run that was found and is not claimed. */
  batchId: string | null;
  /** That batch has no outcome yet. */
  awaited: boolean;
  state: RunState;
  readonly startedAtMs: number;
  /** Run time that is expected on this worker. */
  expectedMs: number;
  /** When the worker confirmed the start; null until then. */
  confirmedAtMs: number | null;
  /** The worker's list of runs has shown it. */
  listed: boolean;
  /** The lease that the start carries is over by then. */
  readonly startExpiresMs: number;
  /**
   * Its task may start elsewhere, because all leases given to the worker are over; the worker may still
   * carry the start out under a later lease.
   */
  released: boolean;
  /** When a stop was last sent, and when the worker confirmed one; null until then. */
  stopSentAtMs: number | null;
  stopConfirmedAtMs: number | null;
  /** The stop that was sent last had no answer. */
  stopUnanswered: boolean;
  /** Last progress that the worker reported, when it said so, and when it last changed. */
  percent: number;
  reportedAtMs: number;
  progressAtMs: number;
}

/** What a run starts with. */
export interface RunSeed {
  readonly task: string;
  readonly run: number;
  readonly workerId: string;
  readonly shape: TaskShape;
  readonly queue: string;
  readonly jobId: string;
  readonly batchId: string | null;
  readonly expectedMs: number;
  readonly startExpiresMs: number;
}

/** A run whose start is sent now. */
export function createRun(seed: RunSeed, nowMs: number): Run {
  return {
    ...seed,
    awaited: seed.batchId !== null,
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

/** Key of a run in maps. */
export function runKey(task: string, run: number): string {
  return `${task}#${run}`;
}
