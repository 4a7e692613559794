/**
 * Decides how far a task that was on a lost worker is kept apart when it starts again. It may crash
 * the next worker too, and the tasks beside it would lose another run; so it waits for a worker of
 * its own while its deadline permits that. Only a part of the workers is given away like this: after
 * the loss of half a cell there are more such tasks than idle workers, and few of them are harmful.
 */
import type { Batch } from './batch';
import { Isolation } from './run';
import type { CellWorker } from './worker';

/** Part of a cell's workers that isolated tasks may have for themselves, at least one worker. */
const EXCLUSIVE_FRACTION = 0.125;
/** Time needed from a start until a deadline, in expected run times of the task. */
const RUN_TIMES_TO_DEADLINE = 2;

/** True if another task may have a worker for itself. */
function mayTakeWorker(workers: readonly CellWorker[]): boolean {
  const taken = workers.filter(({ isolation }) => isolation === Isolation.exclusive).length;
  return taken < Math.max(1, Math.floor(workers.length * EXCLUSIVE_FRACTION));
}

/** How an isolated task may be started now, the preferred way first; empty while it waits. */
export interface IsolationChoice {
  readonly allowed: readonly Isolation[];
  /** True if a worker should be kept free for it. */
  readonly isReserving: boolean;
}

/** Chooses the isolation of a task of the batch that was on a lost worker. */
export function chooseIsolation(
  batch: Batch,
  workers: readonly CellWorker[],
  nowMs: number,
): IsolationChoice {
  const isReserving = mayTakeWorker(workers);
  const exclusive = isReserving ? [Isolation.exclusive] : [];
  const mayWait = nowMs + RUN_TIMES_TO_DEADLINE * batch.expectedMs < batch.deadlineAtMs;
  return { allowed: mayWait ? exclusive : [...exclusive, Isolation.apart], isReserving };
}
