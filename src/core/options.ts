/** Tunable values and guards of the decision code. docs/operators.md explains each guard. */

/** Rules that can be switched off, to measure the effect of each. */
export interface Guards {
  readonly reserve: boolean;
  readonly longTaskCap: boolean;
  readonly admission: boolean;
  readonly health: boolean;
  readonly slowStart: boolean;
  readonly spill: boolean;
  readonly learnedRunTimes: boolean;
  readonly retryBudget: boolean;
  readonly pauseGuard: boolean;
}

/** Tunable values of the decision code. */
export interface CoreOptions {
  readonly guards: Guards;
  readonly taskLeaseMs: number;
  readonly keyLifetimeMs: number;
  readonly answerBytesLimit: number;
  readonly summaryPeriodMs: number;
  readonly statusPeriodMs: number;
  /** Fraction of a domain's slots that is not granted to teams at or above their share. */
  readonly reserveFraction: number;
  readonly longTaskMs: number;
  readonly longTaskFraction: number;
  readonly pauseGapMs: number;
  readonly retryFraction: number;
  readonly retryBurst: number;
}

/** All guards on. */
export const ALL_GUARDS: Guards = {
  reserve: true,
  longTaskCap: true,
  admission: true,
  health: true,
  slowStart: true,
  spill: true,
  learnedRunTimes: true,
  retryBudget: true,
  pauseGuard: true,
};

/** The defaults described in docs/design.md. */
export const DEFAULT_OPTIONS: CoreOptions = {
  guards: ALL_GUARDS,
  taskLeaseMs: 1500,
  keyLifetimeMs: 300_000,
  answerBytesLimit: 64 * 1024 * 1024,
  summaryPeriodMs: 200,
  statusPeriodMs: 2000,
  reserveFraction: 0.04,
  longTaskMs: 2000,
  longTaskFraction: 0.5,
  pauseGapMs: 500,
  retryFraction: 0.1,
  retryBurst: 10,
};
