/**
 * Admission control: decides on arrival whether a batch can meet its objective. The forecast
 * includes the work that is served before it: batches that already wait in the cell, and arrivals
 * expected from other queues with precedence before the batch starts.
 */
import type { Batch } from './batch';
import type { CellState } from './cellState';
import { refusalOf } from './cellState';
import { forecastEndMs, type Demand } from './forecast';
import { BatchReason, type BatchOutcome } from './messages';
import { goesOnFirst, RESERVE_FRACTION, type QueueOrder } from './queueOrder';
import type { CellWorker } from './worker';

/** Slack that an admitted batch must have before its objective, as a fraction of its run time. */
const MARGIN_FRACTION = 0.1;
const IMPOSSIBLE_RETRY_MS = 10_000;

function maxSlowness(workers: readonly CellWorker[]): number {
  return Math.max(1, ...workers.map(({ slowness }) => slowness));
}

function demandOf(batch: Batch, tasks: number): Demand {
  return { tasks, cpuMillis: batch.spec.shape.cpuMillis, expectedMs: batch.expectedMs };
}

/** Workers on which a queue above its share may be forecast: all but the reserve. */
function withoutReserve(workers: readonly CellWorker[]): readonly CellWorker[] {
  return workers.slice(Math.ceil(workers.length * RESERVE_FRACTION));
}

/** Admission control of one cell. */
export class BatchAdmission {
  readonly #state: CellState;

  /** Priorities of the queues from which batches have arrived. */
  readonly #priorities = new Map<string, number>();

  constructor(state: CellState) {
    this.#state = state;
  }

  /** Returns the refusal of a batch, or null if it is admitted. */
  check(batch: Batch, nowMs: number): BatchOutcome | null {
    const { spec } = batch;
    if (batch.isPastDeadline(nowMs) && !spec.mayRun) return refusalOf(BatchReason.deadline, 0);
    this.#priorities.set(spec.queue, spec.priority);
    this.#state.arrivals.observe(spec.queue, demandOf(batch, spec.tasks.length), nowMs);
    if (spec.begun || spec.mayRun) return null;
    const workers = this.#state.workersFor(spec.service);
    const available = workers.filter((worker) => worker.isAvailable(nowMs));
    if (available.length === 0) return refusalOf(BatchReason.noWorkers, 0);
    if (!workers.some((worker) => worker.couldRun(spec.shape))) {
      return refusalOf(BatchReason.impossible, IMPOSSIBLE_RETRY_MS);
    }
    const endMs = this.#forecastEndMs(batch, available, nowMs);
    const lateMs = endMs + batch.expectedMs * MARGIN_FRACTION - batch.objectiveAtMs;
    if (lateMs <= 0 || this.#canStartAtOnce(batch, available, nowMs)) return null;
    return refusalOf(BatchReason.overloaded, lateMs);
  }

  #forecastEndMs(batch: Batch, available: readonly CellWorker[], nowMs: number): number {
    const order = this.#state.queueOrder(nowMs);
    const waiting = this.#waitingAhead(batch, order);
    const isAboveShare = !order.isBelowShare(batch.spec.queue);
    const usable = isAboveShare ? withoutReserve(available) : available;
    const demand = demandOf(batch, batch.spec.tasks.length);
    const endMs = forecastEndMs(usable, waiting, demand, nowMs);
    // Later arrivals overtake a batch only until it starts. Above its share, a queue leaves room for
    // all that the others bring in the meantime, because its runs would keep them waiting.
    const startAtMs = isAboveShare ? batch.latestStartMs : endMs - batch.expectedMs;
    const horizonMs = Math.min(startAtMs, batch.latestStartMs) - nowMs;
    const arriving = this.#arrivalsAhead(batch, order, horizonMs, nowMs);
    if (arriving.length === 0) return endMs;
    return forecastEndMs(usable, [...waiting, ...arriving], demand, nowMs);
  }

  /**
   * True if all tasks of the batch could start at once. Batches that wait have found no room, so it
   * takes none from them; one that is late already gives way to them.
   */
  #canStartAtOnce(batch: Batch, available: readonly CellWorker[], nowMs: number): boolean {
    const { batches } = this.#state;
    const isLate = batch.latestStartMs < nowMs;
    if (isLate && [...batches.values()].some(({ waitingCount }) => waitingCount > 0)) return false;
    const endMs = forecastEndMs(available, [], demandOf(batch, batch.spec.tasks.length), nowMs);
    return endMs <= nowMs + batch.expectedMs * maxSlowness(available);
  }

  /** Waiting work that would be served before the batch. */
  #waitingAhead(batch: Batch, order: QueueOrder): readonly Demand[] {
    const { queue, priority } = batch.spec;
    const waiting = [...this.#state.batches.values()].filter((other) => {
      const { queue: otherQueue, priority: otherPriority } = other.spec;
      if (other.waitingCount === 0) return false;
      if (goesOnFirst(other, order)) return true;
      if (otherQueue === queue) return other.latestStartMs <= batch.latestStartMs;
      return order.precedes(otherQueue, otherPriority, queue, priority);
    });
    return waiting.map((other) => demandOf(other, other.waitingCount));
  }

  /** Arrivals of other queues, within `horizonMs`, that would be served before the batch. */
  #arrivalsAhead(
    batch: Batch,
    order: QueueOrder,
    horizonMs: number,
    nowMs: number,
  ): readonly Demand[] {
    const { queue, priority } = batch.spec;
    const { arrivals } = this.#state;
    const isAboveShare = !order.isBelowShare(queue);
    return arrivals.queues().flatMap((otherQueue) => {
      const isMoreUrgent = (this.#priorities.get(otherQueue) ?? 0) < priority;
      const isServedFirst = isMoreUrgent || (isAboveShare && order.isBelowShare(otherQueue));
      if (otherQueue === queue || !isServedFirst) return [];
      const limit = isAboveShare && isMoreUrgent ? Infinity : order.shareCpuMillis;
      const expected = arrivals.forecast(otherQueue, horizonMs, limit, nowMs);
      return expected ? [expected] : [];
    });
  }
}
