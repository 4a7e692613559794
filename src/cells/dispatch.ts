/** Starts waiting tasks on workers that have room for them, in queue order. */
import type { Batch, TaskEntry } from './batch';
import type { CellDrain } from './cellDrain';
import type { CellState } from './cellState';
import { CrashVerdict } from './crashHistory';
import type { CrashMonitor } from './crashMonitor';
import { chooseIsolation } from './isolation';
import type { LateService } from './lateService';
import { chooseWorker, reservationFor, type PlacementQuery } from './placement';
import { begunFirst, groupByQueue, nextQueue, type QueueOrder } from './queueOrder';
import { createRun, Isolation } from './run';
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

/** One pass over the waiting batches. */
interface Round {
  readonly order: QueueOrder;
  /** Workers kept for blocked batches, with the time from which they are needed. */
  readonly reserved: Map<string, number>;
  readonly nowMs: number;
}

/** Places the tasks of one cell. */
export class Dispatch {
  readonly #state: CellState;

  readonly #crashMonitor: CrashMonitor;

  readonly #drain: CellDrain;

  readonly #lateService: LateService;

  #startsHeldUntilMs = -Infinity;

  constructor(
    state: CellState,
    crashMonitor: CrashMonitor,
    drain: CellDrain,
    lateService: LateService,
  ) {
    this.#state = state;
    this.#crashMonitor = crashMonitor;
    this.#drain = drain;
    this.#lateService = lateService;
  }

  /** Holds all starts back after a pause of the owner's process; returns the end of that time. */
  holdStarts(nowMs: number): number {
    this.#startsHeldUntilMs = nowMs + START_HOLD_MS;
    return this.#startsHeldUntilMs;
  }

  /** Starts the waiting tasks for which there is room now; returns them from a drained cell. */
  startWaitingTasks(nowMs: number): void {
    if (this.#drain.isActive) {
      this.#drain.returnBatches(nowMs);
      return;
    }
    if (nowMs < this.#startsHeldUntilMs) return;
    const waiting = [...this.#state.batches.values()].filter((batch) => batch.waitingCount > 0);
    if (waiting.length === 0) return;
    const order = this.#state.queueOrder(nowMs);
    const round: Round = { order, reserved: new Map(), nowMs };
    const begun = begunFirst(waiting, order);
    const blocked = begun.filter((batch) => !this.#placeBatch(batch, round));
    const delayed = this.#lateService.delayedOf(waiting, nowMs);
    const inTime = waiting.filter((batch) => !begun.includes(batch) && !delayed.includes(batch));
    const queues = groupByQueue(inTime);
    let queue = nextQueue(queues, order);
    while (queue && blocked.length <= BACKFILL_LIMIT) {
      const batch = queue.batches.shift();
      if (batch && !this.#placeBatch(batch, round)) blocked.push(batch);
      queue = nextQueue(queues, order);
    }
    if (delayed.length > 0) this.#startDelayed(delayed, blocked, round);
  }

  /**
   * Starts late batches whose tasks can all start. The reserve stays free, and the batches that are
   * blocked could still start in time after them.
   */
  #startDelayed(delayed: readonly Batch[], blocked: readonly Batch[], round: Round): void {
    const blockedUntilMs = Math.min(...blocked.map(({ latestStartMs }) => latestStartMs));
    delayed.slice(0, BACKFILL_LIMIT).forEach((batch) => {
      if (round.nowMs + batch.expectedMs > blockedUntilMs) return;
      const cpuMillis = batch.waitingCount * batch.spec.shape.cpuMillis;
      if (this.#mayUse(round.order, batch, cpuMillis, round.nowMs)) this.#placeBatch(batch, round);
    });
  }

  /** Worker on which the first task of a batch could start now; null if there is none. */
  workerFor(batch: Batch, nowMs: number): string | null {
    const round = { order: this.#state.queueOrder(nowMs), reserved: new Map(), nowMs };
    const [task] = batch.startableTasks(nowMs);
    if (!task || !this.#mayStart(round.order, batch, nowMs)) return null;
    const workers = this.#state.workersFor(batch.spec.service);
    const query = this.#queryFor(batch, task, Isolation.none, round);
    return chooseWorker(workers, query)?.entry.id ?? null;
  }

  /** Starts tasks of a batch while there is room; false if one of them finds none. */
  #placeBatch(batch: Batch, round: Round): boolean {
    const workers = this.#state.workersFor(batch.spec.service);
    const tasks = batch.startableTasks(round.nowMs);
    tasks.forEach((task) => this.#checkEarlierRun(task));
    const isolated = tasks.filter(({ name }) => this.#verdict(name) !== CrashVerdict.none);
    const others = isolated.length === 0 ? tasks : tasks.filter((task) => !isolated.includes(task));
    const arePlaced = others.every((task) => {
      if (!this.#mayStart(round.order, batch, round.nowMs)) return false;
      const query = this.#queryFor(batch, task, Isolation.none, round);
      if (this.#place(batch, query, workers, round)) return true;
      if (round.reserved.size < RESERVED_WORKERS) reserveWorker(workers, query, round.reserved);
      return false;
    });
    // These may wait for a worker of their own, and keep no other task from being started.
    isolated.forEach((task) => this.#placeIsolated(batch, task, workers, round));
    return arePlaced;
  }

  /** Starts a task that was on a lost worker, if it finds one that suits it. */
  #placeIsolated(
    batch: Batch,
    task: TaskEntry,
    workers: readonly CellWorker[],
    round: Round,
  ): void {
    if (this.#verdict(task.name) !== CrashVerdict.isolate) return;
    if (!this.#mayStart(round.order, batch, round.nowMs)) return;
    const waiting = task;
    waiting.isolatedSinceMs ??= round.nowMs;
    chooseIsolation(batch, task, workers, round.nowMs).some((isolation) =>
      this.#place(batch, this.#queryFor(batch, task, isolation, round), workers, round),
    );
  }

  /** Starts a task on the worker that suits it best; false if none can take it now. */
  #place(
    batch: Batch,
    query: PlacementQuery,
    workers: readonly CellWorker[],
    { order }: Round,
  ): boolean {
    const worker = chooseWorker(workers, query);
    if (!worker) return false;
    this.#start(batch, query, worker);
    order.addUsage(batch.spec.queue, query.shape.cpuMillis);
    return true;
  }

  #queryFor(
    batch: Batch,
    task: TaskEntry,
    isolation: Isolation,
    { reserved, nowMs }: Round,
  ): PlacementQuery {
    const { shape, jobId } = batch.spec;
    const contactExpiresMs = nowMs + this.#state.contactRemainingMs(batch);
    const { expectedMs } = batch;
    return { shape, task, jobId, reserved, isolation, contactExpiresMs, expectedMs, nowMs };
  }

  #verdict(task: string): CrashVerdict {
    const { crashes } = this.#state;
    return crashes.size === 0 ? CrashVerdict.none : crashes.verdict(task);
  }

  /** Before its first start here, a task of a previous owner is searched among the workers. */
  #checkEarlierRun(startable: TaskEntry): void {
    const task = startable;
    if (task.mayHaveRun) this.#crashMonitor.runNotFound(task);
    task.mayHaveRun = false;
  }

  /**
   * Whether a task of the batch may use free CPU. A queue above its share must leave the reserve
   * free, except for a job that has begun.
   */
  #mayStart(order: QueueOrder, batch: Batch, nowMs: number): boolean {
    if (batch.isBegun || order.isBelowShare(batch.spec.queue)) return true;
    return this.#mayUse(order, batch, batch.spec.shape.cpuMillis, nowMs);
  }

  /** True if `cpuMillis` are free beside the reserve that a batch must leave. */
  #mayUse(order: QueueOrder, { spec }: Batch, cpuMillis: number, nowMs: number): boolean {
    const free = this.#state
      .availableWorkers(nowMs)
      .reduce((sum, worker) => sum + worker.freeCpuMillis, 0);
    const reserve = order.isBelowShare(spec.queue) ? 0 : order.reserveCpuMillis;
    return free - cpuMillis >= reserve;
  }

  #start(batch: Batch, query: PlacementQuery, worker: CellWorker): void {
    const { task, isolation, nowMs } = query;
    const entry = task;
    const { queue, shape, jobId, payload } = batch.spec;
    const workerId = worker.entry.id;
    entry.lastRun += 1;
    entry.workerId = workerId;
    entry.isolatedSinceMs = null;
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
        isolation,
      },
      nowMs,
    );
    this.#state.runTracker.add(run);
    const { processStartMs } = worker;
    const start = { workerId, processStartMs, task: task.name, run: task.lastRun, payload };
    this.#state.push({ type: 'start', ...start });
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
      ...(worker.isUnstable(nowMs) ? { isUnstable: true } : {}),
      ...(isolation === Isolation.none ? {} : { isolation, neighbours: worker.runs.size - 1 }),
    });
  }
}
