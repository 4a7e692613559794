/** Starts waiting tasks on workers that have room for them, in queue order. */
import type { Batch, TaskEntry } from './batch';
import type { CellState } from './cellState';
import { chooseWorker, reservationFor, type PlacementQuery } from './placement';
import { begunFirst, groupByQueue, nextQueue, type QueueOrder } from './queueOrder';
import { createRun } from './run';
import type { CellWorker } from './worker';

/** Number of blocked batches that later ones may overtake (backfill). */
const BACKFILL_LIMIT = 8;
/**
 * Workers kept for the first blocked batches (EASY backfilling). Tasks of later batches start there
 * only if they are expected to end before the blocked task can start.
 */
const RESERVED_WORKERS = 1;
/**
 * Time after a pause of the owner's process in which no task is started, in milliseconds. Messages
 * that arrived during the pause are processed right away, but a submitter that was lost or paused
 * at the same time is detected only by its silence: it has 300 ms to send something, the check runs
 * every 100 ms, and the timer of the check may be late.
 */
const START_HOLD_MS = 450;

function reserveWorker(
  workers: readonly CellWorker[],
  query: PlacementQuery,
  reserved: Map<string, number>,
): void {
  const reservation = reservationFor(workers, query);
  if (reservation) reserved.set(reservation.workerId, reservation.fromMs);
}

/** Places the tasks of one cell. */
export class Dispatch {
  readonly #state: CellState;

  #startsHeldUntilMs = -Infinity;

  constructor(state: CellState) {
    this.#state = state;
  }

  /** Holds all starts back after a pause of the owner's process; returns the end of that time. */
  holdStarts(nowMs: number): number {
    this.#startsHeldUntilMs = nowMs + START_HOLD_MS;
    return this.#startsHeldUntilMs;
  }

  /** Starts the waiting tasks for which there is room now. */
  startWaitingTasks(nowMs: number): void {
    if (nowMs < this.#startsHeldUntilMs) return;
    const waiting = [...this.#state.batches.values()].filter((batch) => batch.waitingCount > 0);
    if (waiting.length === 0) return;
    const order = this.#state.queueOrder(nowMs);
    const reserved = new Map<string, number>();
    const begun = begunFirst(waiting, order);
    const placed = begun.map((batch) => this.#placeBatch(batch, order, reserved, nowMs));
    let blocked = placed.filter((isPlaced) => !isPlaced).length;
    const queues = groupByQueue(waiting.filter((batch) => !begun.includes(batch)));
    let queue = nextQueue(queues, order);
    while (queue && blocked <= BACKFILL_LIMIT) {
      const batch = queue.batches.shift();
      if (batch && !this.#placeBatch(batch, order, reserved, nowMs)) blocked += 1;
      queue = nextQueue(queues, order);
    }
  }

  /** Starts tasks of a batch while there is room; false if one of them has to wait. */
  #placeBatch(
    batch: Batch,
    order: QueueOrder,
    reserved: Map<string, number>,
    nowMs: number,
  ): boolean {
    const { shape, service, jobId } = batch.spec;
    const workers = this.#state.workersFor(service);
    const contactExpiresMs = nowMs + this.#state.contactRemainingMs(batch);
    return batch.startableTasks(nowMs).every((task) => {
      if (!this.#mayStart(order, batch, nowMs)) return false;
      const query: PlacementQuery = {
        shape,
        task,
        jobId,
        reserved,
        contactExpiresMs,
        expectedMs: batch.expectedMs,
        nowMs,
      };
      const worker = chooseWorker(workers, query);
      if (worker) {
        this.#start(batch, task, worker, nowMs);
        order.addUsage(batch.spec.queue, shape.cpuMillis);
        return true;
      }
      if (reserved.size < RESERVED_WORKERS) reserveWorker(workers, query, reserved);
      return false;
    });
  }

  /**
   * Whether a task of the batch may use free CPU. A queue above its share must leave the reserve
   * free, except for a job that has begun.
   */
  #mayStart(order: QueueOrder, batch: Batch, nowMs: number): boolean {
    if (batch.isBegun || order.isBelowShare(batch.spec.queue)) return true;
    const free = this.#state
      .availableWorkers(nowMs)
      .reduce((sum, worker) => sum + worker.freeCpuMillis, 0);
    return free - batch.spec.shape.cpuMillis >= order.reserveCpuMillis;
  }

  #start(batch: Batch, task: TaskEntry, worker: CellWorker, nowMs: number): void {
    const entry = task;
    const { queue, shape, jobId, payload } = batch.spec;
    const workerId = worker.entry.id;
    entry.lastRun += 1;
    entry.workerId = workerId;
    batch.markStarted();
    const run = createRun(
      {
        task: task.name,
        run: task.lastRun,
        workerId,
        shape,
        queue,
        jobId,
        batchId: batch.id,
        expectedMs: batch.expectedMs * worker.slowness,
        startExpiresMs: nowMs + this.#state.options.leaseMs,
      },
      nowMs,
    );
    this.#state.runTracker.add(run);
    this.#state.push({ type: 'start', workerId, task: task.name, run: task.lastRun, payload });
    this.#state.logDecision('placed', {
      jobId,
      batchId: batch.id,
      task: task.name,
      run: task.lastRun,
      worker: workerId,
      waitedMs: Math.round(nowMs - batch.arrivedAtMs),
      freeCpuMillis: worker.freeCpuMillis,
      slowness: Number(worker.slowness.toFixed(2)),
      expectedMs: Math.round(run.expectedMs),
    });
  }
}
