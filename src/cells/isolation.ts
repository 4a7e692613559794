/**
 * Decides how far a task that was on a lost worker is kept apart when it starts again. It may crash
 * the next worker too, and the tasks beside it would lose another run; so it waits a short time for
 * an idle worker of its own. Only a part of the workers is given away like this: after the loss of
 * half a cell there are more such tasks than idle workers, and few of them are harmful.
 */
import type { Batch, TaskEntry } from './batch';
import { Isolation } from './run';
import type { CellWorker } from './worker';

/** Part of a cell's workers that isolated tasks may have for themselves, at least one worker. */
const EXCLUSIVE_FRACTION = 0.125;
/** Longest time for which a task that could start waits for a worker of its own. */
const MAX_WAIT_MS = 300;
/** Time needed from a start until a deadline, in expected run times of the task. */
const RUN_TIMES_TO_DEADLINE = 2;

/** True if another task may have a worker for itself. */
function mayTakeWorker(workers: readonly CellWorker[]): boolean {
  const taken = workers.filter(({ isolation }) => isolation === Isolation.exclusive).length;
  return taken < Math.max(1, Math.floor(workers.length * EXCLUSIVE_FRACTION));
}

/**
 * Isolations with which a task of the batch that was on a lost worker may be started now, the
 * preferred one first; none while it waits.
 */
export function chooseIsolation(
  batch: Batch,
  task: TaskEntry,
  workers: readonly CellWorker[],
  nowMs: number,
): readonly Isolation[] {
  const exclusive = mayTakeWorker(workers) ? [Isolation.exclusive] : [];
  const isDeadlineFar = nowMs + RUN_TIMES_TO_DEADLINE * batch.expectedMs < batch.deadlineAtMs;
  const mayWait = isDeadlineFar && nowMs - (task.isolatedSinceMs ?? nowMs) < MAX_WAIT_MS;
  return mayWait ? exclusive : [...exclusive, Isolation.apart];
}
