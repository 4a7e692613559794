/**
 * Decides on arrival whether a batch can end in time. Work that is served before it counts: what waits
 * in the cell, and what more urgent queues will have brought by its latest start.
 */
import type { Batch } from './batch';
import type { CellState } from './cellState';
import { refusalOf } from './cellState';
import { forecastEndMs, type Demand } from './forecast';
import { BatchReason, type BatchOutcome } from './messages';
import { RESERVE_FRACTION, type QueueOrder } from './queueOrder';
import type { CellWorker } from './worker';

/** Share of its expected run time that a batch must have to spare. */
const MARGIN_FRACTION = 0.1;
const IMPOSSIBLE_RETRY_MS = 10_000;

function slowestOf(workers: readonly CellWorker[]): number {
  return Math.max(1, ...workers.map(({ slowness }) => slowness));
}

function demandOf(batch: Batch, tasks: number): Demand {
  return { tasks, cpuMillis: batch.order.shape.cpuMillis, expectedMs: batch.expectedMs };
}

/** The workers that lent capacity may be forecast on. */
function withoutReserve(workers: readonly CellWorker[]): readonly CellWorker[] {
  return workers.slice(Math.ceil(workers.length * RESERVE_FRACTION));
}

/** Admission to one cell. */
export class BatchAdmission {
  readonly #state: CellState;

  /** Urgency of the queues that have brought work. */
  readonly #priorities = new Map<string, number>();

  constructor(state: CellState) {
    this.#state = state;
  }

  /** Null if the batch is admitted. */
  check(batch: Batch, nowMs: number): BatchOutcome | null {
    const { order } = batch;
    if (batch.isOver(nowMs) && !order.mayRun) return refusalOf(BatchReason.deadline, 0);
    this.#priorities.set(order.queue, order.priority);
    this.#state.arrivals.observe(order.queue, demandOf(batch, order.tasks.length), nowMs);
    if (order.begun || order.mayRun) return null;
    const workers = this.#state.workersFor(order.service);
    const open = workers.filter((worker) => worker.isOpen(nowMs));
    if (open.length === 0) return refusalOf(BatchReason.noWorkers, 0);
    if (!workers.some((worker) => worker.couldRun(order.shape))) {
      return refusalOf(BatchReason.impossible, IMPOSSIBLE_RETRY_MS);
    }
    const endMs = this.#forecast(batch, open, nowMs);
    const lateMs = endMs + batch.expectedMs * MARGIN_FRACTION - batch.objectiveAtMs;
    if (lateMs <= 0 || this.#fitsNow(batch, open, nowMs)) return null;
    return refusalOf(BatchReason.overloaded, lateMs);
  }

  #forecast(batch: Batch, open: readonly CellWorker[], nowMs: number): number {
    const order = this.#state.queueOrder(nowMs);
    const ahead = this.#demandsAhead(batch, order, nowMs);
    const isLent = !order.isBelowShare(batch.order.queue);
    const usable = isLent ? withoutReserve(open) : open;
    return forecastEndMs(usable, ahead, demandOf(batch, batch.order.tasks.length), nowMs);
  }

  /** True if all tasks of the batch could start at once, with nothing waiting before them. */
  #fitsNow(batch: Batch, open: readonly CellWorker[], nowMs: number): boolean {
    const { batches } = this.#state;
    if ([...batches.values()].some(({ waitingCount }) => waitingCount > 0)) return false;
    const endMs = forecastEndMs(open, [], demandOf(batch, batch.order.tasks.length), nowMs);
    return endMs <= nowMs + batch.expectedMs * slowestOf(open);
  }

  #demandsAhead(batch: Batch, order: QueueOrder, nowMs: number): readonly Demand[] {
    const { queue, priority } = batch.order;
    const waiting = [...this.#state.batches.values()].filter((other) => {
      const { queue: name, priority: urgency } = other.order;
      if (other.waitingCount === 0) return false;
      if (name === queue) return other.latestStartMs <= batch.latestStartMs;
      return order.precedes(name, urgency, queue, priority);
    });
    const ahead = waiting.map((other) => demandOf(other, other.waitingCount));
    return [...ahead, ...this.#foreseenAhead(batch, order, nowMs)];
  }

  #foreseenAhead(batch: Batch, order: QueueOrder, nowMs: number): readonly Demand[] {
    const { queue, priority } = batch.order;
    const { arrivals } = this.#state;
    const horizonMs = batch.latestStartMs - nowMs;
    const isLent = !order.isBelowShare(queue);
    return arrivals.queues().flatMap((name) => {
      const isUrgent = (this.#priorities.get(name) ?? 0) < priority;
      const isServedFirst = isUrgent || (isLent && order.isBelowShare(name));
      if (name === queue || !isServedFirst) return [];
      const limit = isLent && isUrgent ? Infinity : order.shareCpuMillis;
      const foreseen = arrivals.foresee(name, horizonMs, limit, nowMs);
      return foreseen ? [foreseen] : [];
    });
  }
}
