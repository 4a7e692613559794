/** Starts waiting tasks on workers with room, in the order of the queues. */
import type { Batch, TaskEntry } from './batch';
import type { CellState } from './cellState';
import { choosePlace, chooseReservation, type PlacementQuery } from './placement';
import { groupByQueue, nextQueue, type QueueOrder } from './queueOrder';
import { createRun } from './run';
import type { CellWorker } from './worker';

/** Waiting batches that a task may overtake when the first ones find no room. */
const BACKFILL_BATCHES = 8;
/** Workers that are held free for the first batches that wait; the others take what fits. */
const RESERVED_WORKERS = 1;
/**
 * Time after a pause of the owner in which nothing is started, in milliseconds. What arrived during the
 * pause is read at once, but a submitter that is gone or stood still as well has only fallen silent: it
 * has 300 ms to be heard, is checked each 100 ms, and the timer of that check may be late.
 */
const HOLD_MS = 450;

function reserve(
  workers: readonly CellWorker[],
  query: PlacementQuery,
  reserved: Set<string>,
): void {
  const worker = chooseReservation(workers, query);
  if (worker) reserved.add(worker.entry.id);
}

/** Places the tasks of one cell. */
export class Dispatch {
  readonly #state: CellState;

  #heldUntilMs = -Infinity;

  constructor(state: CellState) {
    this.#state = state;
  }

  /** Starts nothing for a while after a pause; returns until when. */
  hold(nowMs: number): number {
    this.#heldUntilMs = nowMs + HOLD_MS;
    return this.#heldUntilMs;
  }

  /** Starts whatever finds room now. */
  run(nowMs: number): void {
    if (nowMs < this.#heldUntilMs) return;
    const queues = groupByQueue(this.#state.batches.values());
    if (queues.length === 0) return;
    const order = this.#state.queueOrder(nowMs);
    const reserved = new Set<string>();
    let blocked = 0;
    let queue = nextQueue(queues, order);
    while (queue && blocked <= BACKFILL_BATCHES) {
      const batch = queue.batches.shift();
      if (batch && !this.#placeBatch(batch, order, reserved, nowMs)) blocked += 1;
      queue = nextQueue(queues, order);
    }
  }

  /** Starts what finds room; false if a task of the batch has to wait. */
  #placeBatch(batch: Batch, order: QueueOrder, reserved: Set<string>, nowMs: number): boolean {
    const { shape, service, jobId } = batch.order;
    const workers = this.#state.workersFor(service);
    const contactEndsMs = nowMs + this.#state.contactLeftMs(batch);
    return batch.waiting(nowMs).every((task) => {
      if (!this.#mayUse(order, batch, nowMs)) return false;
      const query: PlacementQuery = { shape, task, jobId, reserved, contactEndsMs, nowMs };
      const worker = choosePlace(workers, query);
      if (worker) {
        this.#start(batch, task, worker, nowMs);
        order.use(batch.order.queue, shape.cpuMillis);
        return true;
      }
      if (reserved.size < RESERVED_WORKERS) reserve(workers, query, reserved);
      return false;
    });
  }

  /** A queue above its share leaves the reserve free; a job that has begun is finished. */
  #mayUse(order: QueueOrder, batch: Batch, nowMs: number): boolean {
    if (batch.isBegun || order.isBelowShare(batch.order.queue)) return true;
    const free = this.#state
      .openWorkers(nowMs)
      .reduce((sum, worker) => sum + worker.freeCpuMillis, 0);
    return free - batch.order.shape.cpuMillis >= order.reserveCpuMillis;
  }

  #start(batch: Batch, task: TaskEntry, worker: CellWorker, nowMs: number): void {
    const entry = task;
    const { queue, shape, jobId, payload } = batch.order;
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
    this.#state.ledger.add(run);
    this.#state.push({ type: 'start', workerId, task: task.name, run: task.lastRun, payload });
    this.#state.decide('placed', {
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
