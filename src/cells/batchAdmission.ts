/**
 * Admission control: decides on arrival whether a batch can meet its objective. The forecast
 * includes the work that is served before it: batches that already wait in the cell, and arrivals
 * expected from other queues with precedence before the batch starts.
 */
import type { Batch } from './batch';
import type { CellState } from './cellState';
import { refusalOf } from './cellState';
import { forecastEndsMs, type Demand } from './forecast';
import { BatchReason, type BatchOutcome, type CellRoom } from './messages';
import type { LateService } from './lateService';
import { goesOnFirst, type QueueOrder } from './queueOrder';
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

function noRoom(reason: BatchReason, retryAfterMs: number): CellRoom {
  return { startable: 0, tasks: 0, retryAfterMs, reason };
}

/** Time by which the tasks of an admitted batch are forecast to end. */
function latestEndMs(batch: Batch): number {
  return batch.objectiveAtMs - batch.expectedMs * MARGIN_FRACTION;
}

/**
 * Number of tasks, from the first on, that end by `latestMs`. On workers of unequal speed a later
 * task may end before one that is late, but the cell admits a batch only if all of its tasks end in
 * time.
 */
function endsInTime(endsMs: readonly number[], latestMs: number): number {
  const firstLate = endsMs.findIndex((endMs) => endMs > latestMs);
  return firstLate < 0 ? endsMs.length : firstLate;
}

/** Workers on which a queue above its share may be forecast: all but the reserve. */
function withoutReserve(
  workers: readonly CellWorker[],
  { reserveFraction }: QueueOrder,
): readonly CellWorker[] {
  return workers.slice(Math.ceil(workers.length * reserveFraction));
}

/** Admission control of one cell. */
export class BatchAdmission {
  readonly #state: CellState;

  /** Priorities of the queues from which batches have arrived. */
  readonly #priorities = new Map<string, number>();

  readonly #lateService: LateService;

  constructor(state: CellState, lateService: LateService) {
    this.#state = state;
    this.#lateService = lateService;
  }

  /** Returns the refusal of a batch, or null if it is admitted. */
  check(batch: Batch, nowMs: number): BatchOutcome | null {
    const { spec } = batch;
    if (batch.isPastDeadline(nowMs) && !spec.mayRun) return refusalOf(BatchReason.deadline, 0);
    this.#priorities.set(spec.queue, spec.priority);
    const demand = demandOf(batch, spec.tasks.length);
    this.#state.arrivals.observe(spec.queue, demand, batch.latestStartMs - nowMs, nowMs);
    if (spec.begun || spec.mayRun) return null;
    const workers = this.#state.workersFor(spec.service);
    const available = workers.filter((worker) => worker.isAvailable(nowMs));
    if (available.length === 0) return refusalOf(BatchReason.noWorkers, 0);
    if (!workers.some((worker) => worker.couldRun(spec.shape))) {
      return refusalOf(BatchReason.impossible, IMPOSSIBLE_RETRY_MS);
    }
    const lateMs = Math.max(...this.#forecastEndsMs(batch, available, nowMs)) - latestEndMs(batch);
    const isInTime =
      lateMs <= 0 || this.#startableAtOnce(batch, available, nowMs) === spec.tasks.length;
    if (isInTime) {
      this.#lateService.admittedInTime(spec.queue, demand, nowMs);
      return null;
    }
    if (!spec.acceptsLate || this.#lateService.endInMs(batch, available, nowMs) === null) {
      return refusalOf(BatchReason.overloaded, lateMs);
    }
    this.#lateService.markDelayed(batch, 'no-room', nowMs);
    return null;
  }

  /** Number of tasks of a batch that would be admitted, without admitting them. */
  roomFor(batch: Batch, nowMs: number): CellRoom {
    const workers = this.#state.workersFor(batch.spec.service);
    const available = workers.filter((worker) => worker.isAvailable(nowMs));
    if (available.length === 0) return noRoom(BatchReason.noWorkers, 0);
    if (batch.isPastDeadline(nowMs)) return noRoom(BatchReason.deadline, 0);
    if (!workers.some((worker) => worker.couldRun(batch.spec.shape))) {
      return noRoom(BatchReason.impossible, IMPOSSIBLE_RETRY_MS);
    }
    this.#priorities.set(batch.spec.queue, batch.spec.priority);
    const endsMs = this.#forecastEndsMs(batch, available, nowMs);
    const inTime = endsInTime(endsMs, latestEndMs(batch));
    const startable = this.#startableAtOnce(batch, available, nowMs);
    const lateMs = Math.max(...endsMs) - latestEndMs(batch);
    const retryAfterMs = Math.ceil(Math.min(IMPOSSIBLE_RETRY_MS, Math.max(0, lateMs)));
    const tasks = Math.max(inTime, startable);
    const room = { startable, tasks, retryAfterMs, reason: BatchReason.overloaded };
    if (tasks === batch.spec.tasks.length) return room;
    const lateEndInMs = this.#lateService.endInMs(batch, available, nowMs);
    return lateEndInMs === null ? room : { ...room, lateEndInMs };
  }

  /** Forecast ends of the tasks of a batch. */
  #forecastEndsMs(
    batch: Batch,
    available: readonly CellWorker[],
    nowMs: number,
  ): readonly number[] {
    const order = this.#state.queueOrder(nowMs);
    const waiting = this.#waitingAhead(batch, order, nowMs);
    const isAboveShare = !order.isBelowShare(batch.spec.queue);
    const usable = isAboveShare ? withoutReserve(available, order) : available;
    const demand = demandOf(batch, batch.spec.tasks.length);
    const endsMs = forecastEndsMs(usable, waiting, demand, nowMs);
    // Later arrivals overtake a batch only until it starts. Above its share, a queue leaves room for
    // all that the others bring in the meantime, because its runs would keep them waiting.
    const lastStartMs = Math.max(...endsMs) - batch.expectedMs;
    const startAtMs = isAboveShare ? batch.latestStartMs : lastStartMs;
    const horizonMs = Math.min(startAtMs, batch.latestStartMs) - nowMs;
    const arriving = this.#arrivalsAhead(batch, order, horizonMs, nowMs);
    if (arriving.length === 0) return endsMs;
    return forecastEndsMs(usable, [...waiting, ...arriving], demand, nowMs);
  }

  /**
   * Number of tasks of the batch that could start at once. Batches that wait have found no room, so
   * it takes none from them; one that is late already gives way to them.
   */
  #startableAtOnce(batch: Batch, available: readonly CellWorker[], nowMs: number): number {
    const { batches } = this.#state;
    const isLate = batch.latestStartMs < nowMs;
    if (isLate && [...batches.values()].some(({ waitingCount }) => waitingCount > 0)) return 0;
    const demand = demandOf(batch, batch.spec.tasks.length);
    const latestMs = nowMs + batch.expectedMs * maxSlowness(available);
    return endsInTime(forecastEndsMs(available, [], demand, nowMs), latestMs);
  }

  /** Waiting work that would be served before the batch. */
  #waitingAhead(batch: Batch, order: QueueOrder, nowMs: number): readonly Demand[] {
    const { queue, priority } = batch.spec;
    const waiting = [...this.#state.batches.values()].filter((other) => {
      const { queue: otherQueue, priority: otherPriority } = other.spec;
      if (other.waitingCount === 0 || this.#lateService.isDelayed(other, nowMs)) return false;
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
