/** A cell and batches for tests that pass single events to it. */
import { StartAnswer, type CellAction } from '../../src/cells/actions';
import { Cell } from '../../src/cells/cell';
import { CrashHistory } from '../../src/cells/crashHistory';
import type { TaskBatch } from '../../src/cells/messages';
import { batchOf } from './cellSimulation';
import { workerEntry } from './simulatedWorker';

/** A batch of the longest kind. */
export const SETTLE = {
  queue: 'settle',
  priority: 2,
  estimateMs: 900,
  deadlineInMs: 6000,
} as const;
/** A batch of the least urgent kind. */
export const CHECK = { queue: 'check', priority: 1, estimateMs: 200, deadlineInMs: 2500 } as const;

/** Time limits of a cell in tests. */
export const OPTIONS = {
  leaseMs: 1050,
  submitterTimeoutMs: 1300,
  abandonDetectionMs: 1000,
  missingGraceMs: 2500,
  maxEntryAgeMs: 3000,
};

/** A start that the cell wants to be sent. */
export type Start = Extract<CellAction, { type: 'start' }>;

/** Returns the starts among the queued actions, and clears these. */
export function startsOf(cell: Cell): readonly Start[] {
  return cell.takeActions().filter((action): action is Start => action.type === 'start');
}

/** A cell of two workers, one of which has answered a start at 4 ms but not listed the run yet. */
export function cellWithStart(
  answer: StartAnswer = StartAnswer.accepted,
): Pick<Start, 'task' | 'run' | 'workerId'> & { readonly cell: Cell } {
  const cell = new Cell('sofia-a', OPTIONS, new CrashHistory(() => 0, 120_000));
  const entries = ['w0', 'w1'].map((id) => workerEntry(id, 64_000));
  cell.setWorkers({ entries, readAtMs: 0 }, 0);
  entries.forEach(({ id }) =>
    cell.report(id, { sentAtMs: 0, processStartMs: 1, running: [], ended: [] }, 1),
  );
  cell.offer(batchOf({ taskCount: 1, deadlineInMs: 3000, goalMs: 1000 }), 2);
  const { task = '', run = 0, workerId = '' } = startsOf(cell)[0] ?? {};
  cell.startAnswered(task, run, workerId, answer, 4);
  return { cell, task, run, workerId };
}

/** The batch as its submitter sends it to the next owner of the cell. */
export function asSentToNextOwner(batch: TaskBatch): TaskBatch {
  const tasks = batch.tasks.map((task) => ({ ...task, mayRun: true }));
  return {
    ...batch,
    batchId: `${batch.batchId}-again`,
    mayRun: true,
    begun: true,
    tasks,
  };
}
