/**
 * Estimates the run times of a queue's tasks. The declared estimate of a job is off by tens of
 * percent, so it is blended with the observed mean. Run times are normalized by the slowness of
 * their worker.
 */

/** Weight of a new sample in the moving average. */
const SMOOTHING = 0.05;
/** Weight of the declared estimate in the blend. */
const DECLARED_SHARE = 0.5;
/** Number of samples from which the mean of a queue is used. */
const MIN_SAMPLES = 20;

interface QueueMean {
  ms: number;
  samples: number;
}

/** Mean run times by queue, on a worker with a slowness of 1. */
export class RunTimes {
  readonly #means = new Map<string, QueueMean>();

  /** Adds the run time of a task that succeeded, divided by the slowness of its worker. */
  learn(queue: string, runTimeMs: number): void {
    const mean = this.#means.get(queue) ?? { ms: runTimeMs, samples: 0 };
    mean.samples += 1;
    mean.ms += Math.max(SMOOTHING, 1 / mean.samples) * (runTimeMs - mean.ms);
    this.#means.set(queue, mean);
  }

  /** Expected run time of a task whose job declares `declaredMs`. */
  expectedMs(queue: string, declaredMs: number): number {
    const mean = this.#means.get(queue);
    if (!mean || mean.samples < MIN_SAMPLES) return Math.max(1, declaredMs);
    return Math.max(1, DECLARED_SHARE * declaredMs + (1 - DECLARED_SHARE) * mean.ms);
  }
}
