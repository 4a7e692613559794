/** Faults of a fake worker that is up. */

/** How a worker that is up behaves. */
export interface WorkerBehaviour {
  readonly failEveryTask: boolean;
  /** Run times are multiplied by this. */
  readonly slowFactor: number;
  /** Fraction of answers lost after the effect. */
  readonly loseAnswers: number;
}

/** A worker without faults. */
export const HEALTHY: WorkerBehaviour = { failEveryTask: false, slowFactor: 1, loseAnswers: 0 };
