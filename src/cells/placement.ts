/**
 * Chooses the worker for a task: the one where it leaves the least processor unused, so that large
 * tasks find room, and among equals the fastest, because a job ends with its slowest task.
 */
import type { TaskEntry } from './batch';
import type { TaskShape } from './job';
import type { CellWorker } from './worker';

/** What a full worker's worth of unused processor weighs against a run that takes twice as long. */
const UNUSED_WEIGHT = 0.5;
/** Running away from its data costs a task about half its run time more. */
const FOREIGN_RACK_COST = 0.5;

/** What the choice depends on besides the workers. */
export interface PlacementQuery {
  readonly shape: TaskShape;
  readonly task: TaskEntry;
  readonly jobId: string;
  /** Workers held free for a large task that waits. */
  readonly reserved: ReadonlySet<string>;
  /** Nothing of the batch may run later unless its submitter is heard again. */
  readonly contactEndsMs: number;
  readonly nowMs: number;
}

function tasksOfJob(worker: CellWorker, jobId: string): number {
  let count = 0;
  worker.runs.forEach((run) => {
    if (run.jobId === jobId) count += 1;
  });
  return count;
}

function costOf(worker: CellWorker, shape: TaskShape): number {
  const { cpuMillis, labels } = worker.entry;
  const unused = (worker.freeCpuMillis - shape.cpuMillis) / Math.max(1, cpuMillis);
  const foreign = shape.preferredRack !== null && !labels.includes(shape.preferredRack);
  return worker.slowness + UNUSED_WEIGHT * unused + (foreign ? FOREIGN_RACK_COST : 0);
}

function isAllowed(worker: CellWorker, query: PlacementQuery): boolean {
  const { shape, task, jobId, reserved, contactEndsMs, nowMs } = query;
  if (reserved.has(worker.entry.id) || !worker.isOpen(nowMs)) return false;
  // A start carries a lease for everything on the worker, and is covered by those given before.
  if (worker.holdsLeftOver || worker.leasesEndMs > contactEndsMs) return false;
  if (task.avoided.has(worker.entry.id) || !worker.couldRun(shape)) return false;
  if (!worker.hasRoom(shape)) return false;
  return shape.tasksPerWorker === null || tasksOfJob(worker, jobId) < shape.tasksPerWorker;
}

/** The worker for a task, or null if none has room for it now. */
export function choosePlace(
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

/** The worker that is nearest to having room for a task that fits nowhere now. */
export function chooseReservation(
  workers: Iterable<CellWorker>,
  { shape, reserved, nowMs }: PlacementQuery,
): CellWorker | null {
  const able = Array.from(workers).filter(
    (worker) => worker.isOpen(nowMs) && worker.couldRun(shape) && !reserved.has(worker.entry.id),
  );
  const byFree = able.sort((left, right) => right.freeCpuMillis - left.freeCpuMillis);
  return byFree[0] ?? null;
}
