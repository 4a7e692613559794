/** Acts on the progress of runs: moves those that their worker slows down, gives up what is hopeless. */
import type { TaskEntry } from './batch';
import type { CellState } from './cellState';
import { BatchReason } from './messages';
import { isSlowedByWorker, isTooSlowFor, isWorthMoving, type Comparison } from './progress';
import { RunState, type Run } from './run';
import { StopReason } from './runDecisions';
import type { CellWorker } from './worker';

/** A worker that slows a run down gets nothing new for this long. */
const SLOW_REST_MS = 1000;

/** Watch over the runs of one cell. */
export class ProgressWatch {
  readonly #state: CellState;

  constructor(state: CellState) {
    this.#state = state;
  }

  /** Judges the runs of a worker after its report. */
  check(workerId: string, nowMs: number): void {
    const worker = this.#state.ledger.workers.get(workerId);
    if (!worker) return;
    [...worker.runs.values()].forEach((run) => {
      const found = this.#state.taskOf(run);
      if (!found || run.state !== RunState.running) return;
      const { batch, task } = found;
      const slowed = isSlowedByWorker(run, this.#comparisonOf(run, worker));
      if (slowed && isWorthMoving(run, batch.expectedMs, nowMs)) {
        this.#move(run, task, worker, nowMs);
      } else if (!slowed && isTooSlowFor(run, batch.deadlineAtMs)) {
        this.#state.giveUp(batch, BatchReason.deadline, nowMs);
      }
    });
  }

  #comparisonOf(run: Run, worker: CellWorker): Comparison {
    const siblings: Run[] = [];
    this.#state.ledger.workers.forEach((other) => {
      if (other === worker) return;
      other.runs.forEach((sibling) => {
        if (sibling.batchId === run.batchId) siblings.push(sibling);
      });
    });
    const neighbours = [...worker.runs.values()].filter(({ jobId }) => jobId !== run.jobId);
    return { siblings, neighbours };
  }

  /** Stops a run; its task starts elsewhere when the end is listed. */
  #move(run: Run, task: TaskEntry, worker: CellWorker, nowMs: number): void {
    this.#state.decide('run-moved', {
      jobId: run.jobId,
      task: run.task,
      run: run.run,
      worker: run.workerId,
      percent: run.percent,
      elapsedMs: Math.round(nowMs - run.startedAtMs),
      expectedMs: Math.round(run.expectedMs),
    });
    task.avoided.add(run.workerId);
    const slow = worker;
    slow.restUntilMs = Math.max(worker.restUntilMs, nowMs + SLOW_REST_MS);
    this.#state.ledger.stop(run, StopReason.moved, nowMs);
  }
}
