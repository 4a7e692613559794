/**
 * Batches that miss their objective but are served all the same, because a late answer costs their
 * callers less than none. They start after every batch that can still meet its objective, and only
 * if whole, so they take no room from those. One that can't end while it is of use is refused as
 * soon as that is known.
 */
import { Arrivals } from './arrivals';
import type { Batch } from './batch';
import { describeBatch, type CellState } from './cellState';
import type { Demand } from './forecast';
import type { CellWorker } from './worker';

/** Smallest part of the capacity that counts as left over by jobs that are in time. */
const MIN_SPARE_FRACTION = 0.05;
/** Offered load, as a multiple of the capacity, beyond which late batches would find no room. */
const MAX_OFFERED_LOAD = 1.25;
/** Time without late admissions after a late batch has found no room. */
const NO_ROOM_PAUSE_MS = 1000;

/** CPU that the arrivals of all queues keep busy on average. */
function loadOf(arrivals: Arrivals, nowMs: number): number {
  return arrivals.queues().reduce((sum, queue) => sum + arrivals.cpuMillisOf(queue, nowMs), 0);
}

/** Work that is served before a late batch, as CPU times time. */
interface WorkAhead {
  readonly inTime: number;
  readonly delayed: number;
}

/** CPU of the workers that tasks of this size can use. */
function usableCpuMillis(workers: readonly CellWorker[], taskCpuMillis: number): number {
  return workers.reduce(
    (sum, { entry }) => sum + Math.floor(entry.cpuMillis / taskCpuMillis) * taskCpuMillis,
    0,
  );
}

/** Work of the waiting tasks, as CPU times time. */
function waitingWork({ spec, waitingCount, expectedMs }: Batch): number {
  return waitingCount * spec.shape.cpuMillis * expectedMs;
}

function byUsefulness(left: Batch, right: Batch): number {
  return left.spec.priority - right.spec.priority || left.usefulUntilMs - right.usefulUntilMs;
}

/** Late service of one cell. */
export class LateService {
  readonly #state: CellState;

  /** Arrivals that were admitted in time. */
  readonly #inTime = new Arrivals();

  #pausedUntilMs = 0;

  constructor(state: CellState) {
    this.#state = state;
  }

  /** Counts a batch that was admitted to meet its objective. */
  admittedInTime(queue: string, demand: Demand, nowMs: number): void {
    this.#inTime.observe(queue, demand, 0, nowMs);
  }

  /** Latest start of a waiting batch that has not begun; it is given up after this time. */
  lastStartMs(batch: Batch): number {
    return this.#state.policy.servesLate ? batch.latestUsefulStartMs : batch.latestStartMs;
  }

  /** True if a waiting batch has missed its latest start and is served after the others. */
  isDelayed(batch: Batch, nowMs: number): boolean {
    if (!this.#state.policy.servesLate || batch.isBegun) return false;
    return batch.isDelayed || batch.latestStartMs < nowMs;
  }

  /** The delayed ones of the batches, in the order in which they are served. */
  delayedOf(batches: readonly Batch[], nowMs: number): readonly Batch[] {
    if (!this.#state.policy.servesLate) return [];
    return batches.filter((batch) => this.isDelayed(batch, nowMs)).sort(byUsefulness);
  }

  /**
   * Time until a late batch would end, beside the work that is admitted in time; null if it would
   * be of no use by then.
   */
  endInMs(batch: Batch, workers: readonly CellWorker[], nowMs: number): number | null {
    if (!this.#state.policy.servesLate || nowMs < this.#pausedUntilMs) return null;
    const capacity = usableCpuMillis(workers, batch.spec.shape.cpuMillis);
    if (loadOf(this.#state.arrivals, nowMs) > capacity * MAX_OFFERED_LOAD) return null;
    const leftOver = capacity - loadOf(this.#inTime, nowMs);
    const spare = Math.max(capacity * MIN_SPARE_FRACTION, leftOver);
    if (spare <= 0) return null;
    const { inTime, delayed } = this.#workAhead(batch, nowMs);
    const waitMs = inTime / capacity + (delayed + waitingWork(batch)) / spare;
    const endInMs = waitMs + batch.expectedMs;
    return nowMs + endInMs <= batch.usefulUntilMs ? endInMs : null;
  }

  /** Marks and logs the waiting batches that have just missed their latest start. */
  markOvertaken(nowMs: number): void {
    if (!this.#state.policy.servesLate) return;
    this.#state.batches.forEach((batch) => {
      if (batch.isDelayed || batch.waitingCount === 0 || !this.isDelayed(batch, nowMs)) return;
      this.markDelayed(batch, 'overtaken', nowMs);
    });
  }

  /** Marks and logs a batch that will be served late. */
  markDelayed(delayed: Batch, cause: 'no-room' | 'overtaken', nowMs: number): void {
    const batch = delayed;
    batch.isDelayed = true;
    this.#state.logDecision('batch-delayed', {
      ...describeBatch(batch),
      cause,
      objectiveInMs: Math.round(batch.objectiveAtMs - nowMs),
      usefulForMs: Math.round(batch.usefulUntilMs - nowMs),
      policy: this.#state.policy.name,
    });
  }

  /** Waiting batches that would be of no use any more even if no further work arrived. */
  useless(nowMs: number): readonly Batch[] {
    const waiting = [...this.#state.batches.values()].filter(
      (batch) => batch.waitingCount > 0 && this.isDelayed(batch, nowMs),
    );
    if (waiting.length === 0) return [];
    const useless = waiting.filter((batch) => {
      const workers = this.#availableFor(batch, nowMs);
      const capacity = usableCpuMillis(workers, batch.spec.shape.cpuMillis);
      const { inTime, delayed } = this.#workAhead(batch, nowMs);
      return capacity > 0 && nowMs + (inTime + delayed) / capacity > batch.latestUsefulStartMs;
    });
    if (useless.length > 0) this.#pausedUntilMs = nowMs + NO_ROOM_PAUSE_MS;
    return useless;
  }

  /** Work that is served before a late batch. */
  #workAhead(batch: Batch, nowMs: number): WorkAhead {
    const ahead = { inTime: 0, delayed: 0 };
    this.#state.batches.forEach((other) => {
      if (other === batch || other.waitingCount === 0) return;
      if (!this.isDelayed(other, nowMs)) ahead.inTime += waitingWork(other);
      else if (byUsefulness(other, batch) < 0) ahead.delayed += waitingWork(other);
    });
    return ahead;
  }

  #availableFor({ spec }: Batch, nowMs: number): readonly CellWorker[] {
    return this.#state.workersFor(spec.service).filter((worker) => worker.isAvailable(nowMs));
  }
}
