/**
 * Run times of a queue's tasks. The declared estimate of a job is off by some tens of percent, so it is
 * blended with the mean that was seen, and each worker has a speed of its own.
 */

/** Weight of one more sample in a moving average. */
const SMOOTHING = 0.05;
/** Share of the declared estimate in the blend. */
const DECLARED_SHARE = 0.5;
/** Samples before the mean of a queue says more than the declared estimate. */
const SAMPLES_MIN = 20;

interface QueueMean {
  ms: number;
  samples: number;
}

/** Learned run times by queue, on a worker of ordinary speed. */
export class RunTimes {
  readonly #means = new Map<string, QueueMean>();

  /** Takes the run time of a task that succeeded, divided by its worker's slowness. */
  learn(queue: string, runTimeMs: number): void {
    const mean = this.#means.get(queue) ?? { ms: runTimeMs, samples: 0 };
    mean.samples += 1;
    mean.ms += Math.max(SMOOTHING, 1 / mean.samples) * (runTimeMs - mean.ms);
    this.#means.set(queue, mean);
  }

  /** Expected run time of one task. */
  expectedMs(queue: string, declaredMs: number): number {
    const mean = this.#means.get(queue);
    if (!mean || mean.samples < SAMPLES_MIN) return Math.max(1, declaredMs);
    return Math.max(1, DECLARED_SHARE * declaredMs + (1 - DECLARED_SHARE) * mean.ms);
  }
}
