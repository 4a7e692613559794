/**
 * Judges a worker by the outcomes of its tasks. A worker that fails task after task or can't be
 * reached is avoided for a time that doubles with each relapse, then tried again one task at a time; a
 * slow worker gets fewer tasks. Judging is cheap to get wrong, because a worker that is avoided by
 * mistake comes back after a second.
 */
import { GrantOutcome } from './messages';

/** Failures in a row after which a worker is avoided, unless its owner says otherwise. */
const FAILURES_TO_AVOID = 5;
const FIRST_AVOID_MS = 1000;
const LONGEST_AVOID_MS = 30_000;
const SLOW_START_LIMIT = 2;
const SUCCESSES_TO_TRUST = 3;
const SLOW_RATIO = 3;
const RATIO_SMOOTHING = 0.2;
const RATIO_SAMPLES_MIN = 4;
/** Run times below this are dominated by noise and say nothing on a worker's speed. */
const RATIO_FLOOR_MS = 5;

/** State of a worker in the eyes of the scheduler. */
export const WorkerState = {
  active: 'active',
  slowStart: 'slow-start',
  probation: 'probation',
  avoided: 'avoided',
} as const;
export type WorkerState = (typeof WorkerState)[keyof typeof WorkerState];

/** Which judgements are made. */
export interface HealthGuards {
  readonly health: boolean;
  readonly slowStart: boolean;
}

/** How strictly a worker is judged. */
export interface HealthLimits {
  readonly consecutiveFailureLimit: number;
}

/** Health of one worker. */
export class WorkerHealth {
  readonly #guards: HealthGuards;

  readonly #limits: HealthLimits;

  #state: WorkerState;

  #failuresInRow = 0;

  /** Time of the first failure of the row; successes of tasks granted earlier say nothing on it. */
  #failingSinceMs = -Infinity;

  #successes = 0;

  #avoidMs = FIRST_AVOID_MS;

  #avoidedUntilMs = 0;

  #unreachable = false;

  #ratio = 1;

  #ratioSamples = 0;

  constructor(
    guards: HealthGuards,
    limits: HealthLimits = { consecutiveFailureLimit: FAILURES_TO_AVOID },
  ) {
    this.#guards = guards;
    this.#limits = limits;
    this.#state = guards.slowStart ? WorkerState.slowStart : WorkerState.active;
  }

  get state(): WorkerState {
    return this.#state;
  }

  /** Moving average of run time over the mean of the kind. */
  get runTimeRatio(): number {
    return this.#ratio;
  }

  /** Number of tasks the worker may run at a time. */
  limit(slots: number): number {
    if (this.#state === WorkerState.avoided) return 0;
    if (this.#state === WorkerState.probation) return 1;
    const trusted =
      this.#state === WorkerState.slowStart ? Math.min(slots, SLOW_START_LIMIT) : slots;
    return this.#isSlow() ? Math.max(1, Math.floor(trusted / this.#ratio)) : trusted;
  }

  /**
   * Accounts for one finished grant. Tasks that were granted before a worker began to fail may still
   * succeed and must not clear it, so the time of the grant matters. `peersFail` says that tasks of the same kind fail elsewhere too,
   * so that the kind and not the worker is at fault. True if the worker is avoided from now on.
   */
  observe(outcome: GrantOutcome, peersFail: boolean, grantedAtMs: number, nowMs: number): boolean {
    if (outcome === GrantOutcome.succeeded) {
      if (grantedAtMs >= this.#failingSinceMs) this.#succeed();
      return false;
    }
    if (!this.#guards.health) return false;
    if (outcome === GrantOutcome.unreachable || outcome === GrantOutcome.unknown) {
      this.#unreachable = true;
      return this.#avoid(nowMs);
    }
    if (outcome !== GrantOutcome.failed || peersFail) return false;
    if (this.#failuresInRow === 0) this.#failingSinceMs = nowMs;
    this.#failuresInRow += 1;
    const tolerated =
      this.#state === WorkerState.probation ? 1 : this.#limits.consecutiveFailureLimit;
    return this.#failuresInRow >= tolerated && this.#avoid(nowMs);
  }

  /** Accounts for a run time against the mean of its kind over all workers. */
  observeRunTime(runTimeMs: number, meanMs: number): void {
    if (!this.#guards.health || meanMs < RATIO_FLOOR_MS) return;
    this.#ratioSamples += 1;
    this.#ratio += RATIO_SMOOTHING * (runTimeMs / meanMs - this.#ratio);
  }

  /** A status request was answered or not. */
  observeStatus(answered: boolean, nowMs: number): boolean {
    if (answered) {
      this.#unreachable = false;
      return false;
    }
    if (!this.#guards.health) return false;
    this.#unreachable = true;
    return this.#state !== WorkerState.avoided && this.#avoid(nowMs);
  }

  /** The process on the worker was restarted: what was held against it is void. */
  reset(): void {
    this.#failuresInRow = 0;
    this.#failingSinceMs = -Infinity;
    this.#ratio = 1;
    this.#ratioSamples = 0;
    this.#successes = 0;
    this.#unreachable = false;
    this.#state = this.#guards.slowStart ? WorkerState.slowStart : WorkerState.active;
  }

  /** Ends the time of avoidance when it is over and the worker answers. */
  tick(nowMs: number): void {
    if (this.#state !== WorkerState.avoided || this.#unreachable) return;
    if (nowMs >= this.#avoidedUntilMs) this.#state = WorkerState.probation;
  }

  #succeed(): void {
    this.#failuresInRow = 0;
    this.#successes += 1;
    if (this.#state === WorkerState.avoided || this.#successes < SUCCESSES_TO_TRUST) return;
    this.#state = WorkerState.active;
    this.#avoidMs = FIRST_AVOID_MS;
  }

  #avoid(nowMs: number): boolean {
    const first = this.#state !== WorkerState.avoided;
    if (!first) return false;
    this.#state = WorkerState.avoided;
    this.#failingSinceMs = nowMs;
    this.#avoidedUntilMs = nowMs + this.#avoidMs;
    this.#avoidMs = Math.min(LONGEST_AVOID_MS, this.#avoidMs * 2);
    this.#failuresInRow = 0;
    this.#successes = 0;
    return true;
  }

  #isSlow(): boolean {
    return this.#ratioSamples >= RATIO_SAMPLES_MIN && this.#ratio > SLOW_RATIO;
  }
}
