/**
 * Chooses the worker for a task by a cost that combines unused CPU and slowness (best fit). Leaving
 * the least CPU unused on a worker keeps room for large tasks elsewhere; a fast worker is preferred
 * because a job ends with its slowest task.
 */
import type { TaskEntry } from './batch';
import type { TaskShape } from './job';
import type { CellWorker } from './worker';

/** Cost of leaving a whole worker unused; a run that takes twice as long costs 1 more. */
const UNUSED_CPU_WEIGHT = 0.5;
/** A task away from the rack that holds its data takes about half its run time longer. */
const OTHER_RACK_COST = 0.5;

/** Input of a placement decision besides the workers. */
export interface PlacementQuery {
  readonly shape: TaskShape;
  readonly task: TaskEntry;
  readonly jobId: string;
  /** Ids of workers kept free for a blocked batch. */
  readonly reserved: ReadonlySet<string>;
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

function costOf(worker: CellWorker, shape: TaskShape): number {
  const { cpuMillis, labels } = worker.entry;
  const unusedFraction = (worker.freeCpuMillis - shape.cpuMillis) / Math.max(1, cpuMillis);
  const isOtherRack = shape.preferredRack !== null && !labels.includes(shape.preferredRack);
  return worker.slowness + UNUSED_CPU_WEIGHT * unusedFraction + (isOtherRack ? OTHER_RACK_COST : 0);
}

function isAllowed(worker: CellWorker, query: PlacementQuery): boolean {
  const { shape, task, jobId, reserved, contactExpiresMs, nowMs } = query;
  if (reserved.has(worker.entry.id) || !worker.isAvailable(nowMs)) return false;
  // The lease that a start carries covers every run on the worker, and the new run is covered by
  // the leases already granted there.
  if (worker.hasOrphanedRun || worker.leasesEndMs > contactExpiresMs) return false;
  if (task.avoided.has(worker.entry.id) || !worker.couldRun(shape)) return false;
  if (!worker.hasRoom(shape)) return false;
  return shape.tasksPerWorker === null || countRunsOfJob(worker, jobId) < shape.tasksPerWorker;
}

/** Chooses the worker for a task; null if none can take it now. */
export function chooseWorker(
  workers: Iterable<CellWorker>,
  query: PlacementQuery,
): CellWorker | null {
  let best: CellWorker | null = null;
  let bestCost = Infinity;
  Array.from(workers).forEach((worker) => {
    if (!isAllowed(worker, query)) return;
    const cost = costOf(worker, query.shape);
    if (cost >= bestCost) return;
    best = worker;
    bestCost = cost;
  });
  return best;
}

/** Chooses the worker with the most free CPU for a task that no worker has room for now. */
export function chooseWorkerToReserve(
  workers: Iterable<CellWorker>,
  { shape, reserved, nowMs }: PlacementQuery,
): CellWorker | null {
  const candidates = Array.from(workers).filter(
    (worker) =>
      worker.isAvailable(nowMs) && worker.couldRun(shape) && !reserved.has(worker.entry.id),
  );
  const byFreeCpu = candidates.sort((left, right) => right.freeCpuMillis - left.freeCpuMillis);
  return byFreeCpu[0] ?? null;
}
