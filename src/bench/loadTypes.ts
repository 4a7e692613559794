/** Options and figures of the load generator. */

/** Bounds of a log-uniform distribution; equal bounds mean a constant. */
export interface LoadRange {
  readonly low: number;
  readonly high: number;
}

/** Jobs of one kind. */
export interface LoadKind {
  readonly team: string;
  readonly kind: string;
  /** Part of the job rate in relation to the weights of the other kinds. */
  readonly weight: number;
  /** Whether its jobs are submitted with keys. Without one, a resubmitted job may run twice. */
  readonly keyed: boolean;
  readonly deadlineMs: number;
  /** Tasks per job, 1 to 100. */
  readonly tasks: LoadRange;
  readonly runMs: LoadRange;
}

/** A load. Jobs arrive in a Poisson process whether or not earlier ones have been answered. */
export interface LoadOptions {
  /** `ip:port` of the entry hosts' caller interfaces. */
  readonly hosts: readonly string[];
  readonly kinds: readonly LoadKind[];
  readonly jobsPerS: number;
  readonly durationMs: number;
  readonly seed: number;
  /** How often a job is sent again after a broken connection. */
  readonly resubmits: number;
  /** A host whose connection broke is not chosen for this time. */
  readonly avoidHostMs: number;
  /** A job without an answer is given up this long after its deadline. */
  readonly answerMarginMs: number;
  readonly progressPeriodMs: number;
  readonly onProgress: (progress: LoadProgress) => void;
}

export const DEFAULT_LOAD = {
  resubmits: 3,
  avoidHostMs: 1000,
  answerMarginMs: 5000,
  progressPeriodMs: 1000,
  onProgress: () => undefined,
} as const;

/** How a job ended for its caller. */
export const LoadOutcome = {
  complete: 'complete',
  failed: 'failed',
  /** The answer says "not run". */
  refused: 'refused',
  unknown: 'unknown',
  /** The request was found invalid. */
  rejected: 'rejected',
  /** A complete answer that does not have each result of this job exactly once. */
  wrong: 'wrong',
  /** The connection broke and all resubmissions failed. */
  broken: 'broken',
  /** No answer in time, or the generator was closed. */
  abandoned: 'abandoned',
} as const;
export type LoadOutcome = (typeof LoadOutcome)[keyof typeof LoadOutcome];

/** Percentiles of one quantity; all 0 when nothing was recorded. */
export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** Figures of one kind or of all. */
export interface LoadFigures {
  readonly jobs: number;
  readonly tasks: number;
  readonly completedTasks: number;
  readonly resubmits: number;
  readonly outcomes: Readonly<Record<LoadOutcome, number>>;
  /** Jobs that were not complete, by the reason in their answer. */
  readonly reasons: Readonly<Record<string, number>>;
  /** Response time of complete jobs over their longest task plus one round trip. */
  readonly ratio: Percentiles;
  readonly responseMs: Percentiles;
}

/** State of a run, given once a period; `ratio` is that of the period. */
export interface LoadProgress {
  readonly elapsedMs: number;
  readonly openJobs: number;
  readonly completedTasksPerS: number;
  readonly ratio: Percentiles;
  readonly total: LoadFigures;
}

/** Result of a run. `kinds` is keyed by `team/kind`. */
export interface LoadReport {
  readonly seed: number;
  readonly elapsedMs: number;
  /** Median of the round trips to the hosts before the run; part of the ideal response time. */
  readonly roundTripMs: number;
  /**
   * How late jobs were sent. Timers have a grain of 1 ms; much more means that this process is
   * overloaded and the response times, which count from the sending, are too good.
   */
  readonly sendLagMs: Percentiles;
  readonly total: LoadFigures;
  readonly kinds: Readonly<Record<string, LoadFigures>>;
}
