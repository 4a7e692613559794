/**
 * Health of a worker, from the outcomes and run times of its tasks. A worker that fails several
 * tasks in a row or can't be reached is avoided, for a time that doubles each time it fails again,
 * and then gets one task at a time until enough have succeeded. A slow worker gets fewer tasks at a
 * time. A wrong decision costs little, because a worker is first avoided for one second only.
 */
import { GrantOutcome } from './messages';

/** Default number of consecutive failures after which a worker is avoided. */
const FAILURES_TO_AVOID = 5;
const INITIAL_AVOID_MS = 1000;
const MAX_AVOID_MS = 30_000;
const SLOW_START_LIMIT = 2;
const SUCCESSES_TO_ACTIVATE = 3;
const SLOW_RATIO = 3;
const RATIO_SMOOTHING = 0.2;
const RATIO_SAMPLES_MIN = 4;
/** Mean run times below this are dominated by noise and do not show a worker's speed. */
const RATIO_FLOOR_MS = 5;

/** Health state of a worker. */
export const WorkerState = {
  active: 'active',
  slowStart: 'slow-start',
  probation: 'probation',
  avoided: 'avoided',
} as const;
export type WorkerState = (typeof WorkerState)[keyof typeof WorkerState];

/** Which health rules are enabled. */
export interface HealthGuards {
  readonly health: boolean;
  readonly slowStart: boolean;
}

/** Thresholds of the health rules. */
export interface HealthThresholds {
  readonly consecutiveFailureLimit: number;
}

/** Health of one worker. */
export class WorkerHealth {
  readonly #guards: HealthGuards;

  readonly #thresholds: HealthThresholds;

  #state: WorkerState;

  #consecutiveFailures = 0;

  /**
   * Time of the first of the consecutive failures. Successes of tasks granted before it do not
   * reset the count.
   */
  #failingSinceMs = -Infinity;

  #successes = 0;

  #avoidMs = INITIAL_AVOID_MS;

  #avoidedUntilMs = 0;

  #unreachable = false;

  #ratio = 1;

  #ratioSamples = 0;

  constructor(
    guards: HealthGuards,
    thresholds: HealthThresholds = { consecutiveFailureLimit: FAILURES_TO_AVOID },
  ) {
    this.#guards = guards;
    this.#thresholds = thresholds;
    this.#state = guards.slowStart ? WorkerState.slowStart : WorkerState.active;
  }

  get state(): WorkerState {
    return this.#state;
  }

  /** Moving average of the ratio of run times on this worker to the mean run time of their kind. */
  get runTimeRatio(): number {
    return this.#ratio;
  }

  /** Number of tasks that the worker may run at a time, out of `slots`. */
  limit(slots: number): number {
    if (this.#state === WorkerState.avoided) return 0;
    if (this.#state === WorkerState.probation) return 1;
    const baseLimit =
      this.#state === WorkerState.slowStart ? Math.min(slots, SLOW_START_LIMIT) : slots;
    return this.#isSlow() ? Math.max(1, Math.floor(baseLimit / this.#ratio)) : baseLimit;
  }

  /**
   * Records the outcome of one grant. Returns true if the worker becomes avoided. `grantedAtMs`
   * matters because tasks granted before the worker began to fail may still succeed and must not
   * reset its failures. `failsElsewhere` says that tasks of the same kind fail on other workers
   * too, so that this worker is not the cause.
   */
  observe(
    outcome: GrantOutcome,
    failsElsewhere: boolean,
    grantedAtMs: number,
    nowMs: number,
  ): boolean {
    if (outcome === GrantOutcome.succeeded) {
      if (grantedAtMs >= this.#failingSinceMs) this.#recordSuccess();
      return false;
    }
    if (!this.#guards.health) return false;
    if (outcome === GrantOutcome.unreachable || outcome === GrantOutcome.unknown) {
      this.#unreachable = true;
      return this.#avoid(nowMs);
    }
    if (outcome !== GrantOutcome.failed || failsElsewhere) return false;
    if (this.#consecutiveFailures === 0) this.#failingSinceMs = nowMs;
    this.#consecutiveFailures += 1;
    const threshold =
      this.#state === WorkerState.probation ? 1 : this.#thresholds.consecutiveFailureLimit;
    return this.#consecutiveFailures >= threshold && this.#avoid(nowMs);
  }

  /** Records a run time and the mean run time of its kind over all workers. */
  observeRunTime(runTimeMs: number, meanMs: number): void {
    if (!this.#guards.health || meanMs < RATIO_FLOOR_MS) return;
    this.#ratioSamples += 1;
    this.#ratio += RATIO_SMOOTHING * (runTimeMs / meanMs - this.#ratio);
  }

  /** Records whether a status request was answered. Returns true if the worker becomes avoided. */
  observeStatus(answered: boolean, nowMs: number): boolean {
    if (answered) {
      this.#unreachable = false;
      return false;
    }
    if (!this.#guards.health) return false;
    this.#unreachable = true;
    return this.#state !== WorkerState.avoided && this.#avoid(nowMs);
  }

  /** Resets the health, after the worker process was restarted. */
  reset(): void {
    this.#consecutiveFailures = 0;
    this.#failingSinceMs = -Infinity;
    this.#ratio = 1;
    this.#ratioSamples = 0;
    this.#successes = 0;
    this.#unreachable = false;
    this.#state = this.#guards.slowStart ? WorkerState.slowStart : WorkerState.active;
  }

  /** Puts an avoided worker on probation once the time has passed and the worker answers again. */
  tick(nowMs: number): void {
    if (this.#state !== WorkerState.avoided || this.#unreachable) return;
    if (nowMs >= this.#avoidedUntilMs) this.#state = WorkerState.probation;
  }

  #recordSuccess(): void {
    this.#consecutiveFailures = 0;
    this.#successes += 1;
    if (this.#state === WorkerState.avoided || this.#successes < SUCCESSES_TO_ACTIVATE) return;
    this.#state = WorkerState.active;
    this.#avoidMs = INITIAL_AVOID_MS;
  }

  #avoid(nowMs: number): boolean {
    const becomesAvoided = this.#state !== WorkerState.avoided;
    if (!becomesAvoided) return false;
    this.#state = WorkerState.avoided;
    this.#failingSinceMs = nowMs;
    this.#avoidedUntilMs = nowMs + this.#avoidMs;
    this.#avoidMs = Math.min(MAX_AVOID_MS, this.#avoidMs * 2);
    this.#consecutiveFailures = 0;
    this.#successes = 0;
    return true;
  }

  #isSlow(): boolean {
    return this.#ratioSamples >= RATIO_SAMPLES_MIN && this.#ratio > SLOW_RATIO;
  }
}
