/**
 * Remembers when each job was first offered to the cell. A refused client sends its job again, to
 * any host, and the objective counts from its first try. Treated as new, such a job would be served
 * ahead of jobs that can still end in time, although it is late already; their clients then return
 * as well, and the overload feeds itself (a retry storm).
 */
import type { TaskBatch } from './messages';

/** Jobs remembered at most; the oldest are dropped first. */
const MAX_JOBS = 20_000;

interface FirstArrival {
  readonly atMs: number;
  /** The client does not wait for an answer after this time. */
  readonly deadlineAtMs: number;
}

/** First arrivals of the jobs offered to one cell. */
export class FirstArrivals {
  readonly #jobs = new Map<string, FirstArrival>();

  get size(): number {
    return this.#jobs.size;
  }

  /** Returns the batch with the time that its job has waited since its first arrival. */
  withTotalWait(batch: TaskBatch, nowMs: number): TaskBatch {
    const first = this.#firstArrivalOf(batch, nowMs);
    return { ...batch, waitedMs: nowMs - first.atMs };
  }

  #firstArrivalOf({ jobId, waitedMs, deadlineInMs }: TaskBatch, nowMs: number): FirstArrival {
    const known = this.#jobs.get(jobId);
    const arrivedAtMs = nowMs - waitedMs;
    if (known && nowMs < known.deadlineAtMs && known.atMs <= arrivedAtMs) return known;
    const first = { atMs: arrivedAtMs, deadlineAtMs: nowMs + deadlineInMs };
    this.#jobs.delete(jobId);
    this.#jobs.set(jobId, first);
    this.#dropOldest(nowMs);
    return first;
  }

  #dropOldest(nowMs: number): void {
    const oldest = this.#jobs.entries().next().value;
    if (!oldest) return;
    const [jobId, { deadlineAtMs }] = oldest;
    if (this.#jobs.size > MAX_JOBS || nowMs >= deadlineAtMs) this.#jobs.delete(jobId);
  }
}
