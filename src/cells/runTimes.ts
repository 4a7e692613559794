/**
 * Estimates the run times of a queue's tasks from the declared estimate of their job, which is off
 * by tens of percent, and from the run times observed. Run times are normalized by the slowness of
 * their worker.
 */
import { RunTimeDistribution } from './runTimeDistribution';

/** Number of samples from which the distribution of a queue is used. */
const MIN_SAMPLES = 20;

/** Run times by queue, on a worker with a slowness of 1. */
export class RunTimes {
  readonly #distributions = new Map<string, RunTimeDistribution>();

  /** Adds the run time of a task that succeeded, divided by the slowness of its worker. */
  learn(queue: string, runTimeMs: number, declaredMs: number): void {
    const distribution = this.#distributions.get(queue) ?? new RunTimeDistribution();
    this.#distributions.set(queue, distribution);
    distribution.add(runTimeMs, declaredMs);
  }

  /** Expected run time of a task whose job declares `declaredMs`. */
  expectedMs(queue: string, declaredMs: number): number {
    const distribution = this.#distributions.get(queue);
    if (!distribution || distribution.samples < MIN_SAMPLES) return Math.max(1, declaredMs);
    return Math.max(1, distribution.expectedMs(declaredMs));
  }
}
