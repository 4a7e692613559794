/**
 * Chooses the worker for a task by a cost that combines unused CPU and slowness (best fit). Leaving
 * the least CPU unused on a worker keeps room for large tasks elsewhere; a fast worker is preferred
 * because a job ends with its slowest task.
 */
import type { TaskEntry } from './batch';
import type { TaskShape } from './job';
import { Isolation } from './run';
import type { CellWorker } from './worker';

/** Cost of leaving a whole worker unused; a run that takes twice as long costs 1 more. */
const UNUSED_CPU_WEIGHT = 0.5;
/** A task away from the rack that holds its data takes about half its run time longer. */
const OTHER_RACK_COST = 0.5;
/** Cost of running beside a task that may crash the worker. */
const ISOLATED_NEIGHBOUR_COST = 1;
/** Cost of a worker that has recently stopped answering; its runs would be lost for a lease. */
const UNSTABLE_COST = 1;

/** Input of a placement decision besides the workers. */
export interface PlacementQuery {
  readonly shape: TaskShape;
  readonly task: TaskEntry;
  readonly jobId: string;
  /** Workers kept free for a blocked batch, with the time from which it needs them. */
  readonly reserved: ReadonlyMap<string, number>;
  readonly isolation: Isolation;
  /** Expected run time of the task on an ordinary worker. */
  readonly expectedMs: number;
  /** Runs of the batch must end by this time unless its submitter is heard from again. */
  readonly contactExpiresMs: number;
  readonly nowMs: number;
}

function countRunsOfJob(worker: CellWorker, jobId: string): number {
  let count = 0;
  worker.runs.forEach((run) => {
    if (run.jobId === jobId) count += 1;
  });
  return count;
}

function costOf(worker: CellWorker, { shape, nowMs }: PlacementQuery): number {
  const { cpuMillis, labels } = worker.entry;
  const unusedFraction = (worker.freeCpuMillis - shape.cpuMillis) / Math.max(1, cpuMillis);
  const isOtherRack = shape.preferredRack !== null && !labels.includes(shape.preferredRack);
  return (
    worker.slowness +
    UNUSED_CPU_WEIGHT * unusedFraction +
    (isOtherRack ? OTHER_RACK_COST : 0) +
    (worker.isolation === Isolation.none ? 0 : ISOLATED_NEIGHBOUR_COST) +
    (worker.isUnstable(nowMs) ? UNSTABLE_COST : 0)
  );
}

/** Cost of an isolated task, which is to share its worker with as few runs as possible. */
function isolatedCostOf(worker: CellWorker, query: PlacementQuery): number {
  return worker.runs.size * ISOLATED_NEIGHBOUR_COST + costOf(worker, query);
}

/** True if the runs on the worker permit this isolation of another one. */
function permitsIsolation(worker: CellWorker, isolation: Isolation): boolean {
  if (isolation === Isolation.none) return true;
  if (isolation === Isolation.exclusive) return worker.runs.size === 0;
  return worker.isolation === Isolation.none;
}

function isAllowed(worker: CellWorker, query: PlacementQuery): boolean {
  const { shape, task, jobId, reserved, contactExpiresMs, nowMs } = query;
  if (!worker.isAvailable(nowMs)) return false;
  const reservedFromMs = reserved.get(worker.entry.id) ?? Infinity;
  if (nowMs + query.expectedMs * worker.slowness > reservedFromMs) return false;
  // The lease that a start carries covers every run on the worker, and the new run is covered by
  // the leases already granted there.
  if (worker.hasOrphanedRun || worker.leasesEndMs > contactExpiresMs) return false;
  if (task.avoided.has(worker.entry.id) || !worker.couldRun(shape)) return false;
  if (!worker.hasRoom(shape) || !permitsIsolation(worker, query.isolation)) return false;
  return shape.tasksPerWorker === null || countRunsOfJob(worker, jobId) < shape.tasksPerWorker;
}

/** Chooses the worker for a task; null if none can take it now. */
export function chooseWorker(
  workers: Iterable<CellWorker>,
  query: PlacementQuery,
): CellWorker | null {
  let best: CellWorker | null = null;
  let bestCost = Infinity;
  const placementCost = query.isolation === Isolation.none ? costOf : isolatedCostOf;
  Array.from(workers).forEach((worker) => {
    if (!isAllowed(worker, query)) return;
    const cost = placementCost(worker, query);
    if (cost >= bestCost) return;
    best = worker;
    bestCost = cost;
  });
  return best;
}

/** Time at which the worker is expected to have room for a task if nothing else starts there. */
function roomAtMs(worker: CellWorker, query: PlacementQuery): number {
  const { nowMs } = query;
  const isExclusive = query.isolation === Isolation.exclusive;
  const needed = isExclusive ? worker.entry.cpuMillis : query.shape.cpuMillis;
  let free = worker.unusedCpuMillis;
  if (free >= needed) return nowMs;
  const runs = [...worker.runs.values()].sort(
    (left, right) => left.startedAtMs + left.expectedMs - right.startedAtMs - right.expectedMs,
  );
  const last = runs.find((run) => {
    free += worker.occupiedCpuMillis(run);
    return free >= needed;
  });
  return last ? Math.max(nowMs, last.startedAtMs + last.expectedMs) : Infinity;
}

/** A worker that is kept free for a blocked task, from the time at which the task can start. */
export interface Reservation {
  readonly workerId: string;
  readonly fromMs: number;
}

/** Chooses the worker that is expected to have room first for a task that none can take now. */
export function reservationFor(
  workers: Iterable<CellWorker>,
  query: PlacementQuery,
): Reservation | null {
  let best: Reservation | null = null;
  Array.from(workers).forEach((worker) => {
    if (!worker.isAvailable(query.nowMs) || !worker.couldRun(query.shape)) return;
    if (query.reserved.has(worker.entry.id)) return;
    const fromMs = roomAtMs(worker, query);
    if (fromMs < (best?.fromMs ?? Infinity)) best = { workerId: worker.entry.id, fromMs };
  });
  return best;
}
