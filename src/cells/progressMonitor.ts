/**
 * Acts on reported progress: moves runs off a worker that slows them down, and gives up batches
 * that cannot meet their deadline.
 */
import type { Batch, TaskEntry } from './batch';
import type { CellState } from './cellState';
import { BatchReason } from './messages';
import { isSlowedByWorker, willMissDeadline, isWorthMoving, type Comparison } from './progress';
import { RunState, type Run } from './run';
import { StopReason } from './runDecisions';
import type { CellWorker } from './worker';

/** Time for which no task is started on a worker that slows a run down. */
const SLOW_WORKER_BACKOFF_MS = 1000;

/** Monitors the progress of the runs of one cell. */
export class ProgressMonitor {
  readonly #state: CellState;

  constructor(state: CellState) {
    this.#state = state;
  }

  /** Checks the runs of a worker after its report. */
  check(workerId: string, nowMs: number): void {
    const worker = this.#state.runTracker.workers.get(workerId);
    if (!worker) return;
    [...worker.runs.values()].forEach((run) => {
      const found = this.#state.taskOf(run);
      if (!found || run.state !== RunState.running) return;
      const { batch, task } = found;
      const slowed = isSlowedByWorker(run, this.#comparisonOf(run, batch, worker));
      if (slowed && isWorthMoving(run, batch.expectedMs, nowMs)) {
        this.#move(run, task, worker, nowMs);
      } else if (!slowed && willMissDeadline(run, batch.deadlineAtMs)) {
        this.#state.giveUp(batch, BatchReason.deadline, nowMs);
      }
    });
  }

  #comparisonOf(run: Run, batch: Batch, worker: CellWorker): Comparison {
    const siblings = batch.tasks
      .flatMap(({ name }) => this.#state.runTracker.runsOf(name))
      .filter(({ batchId, workerId }) => batchId === batch.id && workerId !== run.workerId);
    const neighbours = [...worker.runs.values()].filter(({ jobId }) => jobId !== run.jobId);
    return { siblings, neighbours };
  }

  /** Stops a run; its task starts on another worker once the end of the run is reported. */
  #move(run: Run, task: TaskEntry, worker: CellWorker, nowMs: number): void {
    this.#state.logDecision('run-moved', {
      jobId: run.jobId,
      task: run.task,
      run: run.run,
      worker: run.workerId,
      percent: run.percent,
      elapsedMs: Math.round(nowMs - run.startedAtMs),
      expectedMs: Math.round(run.expectedMs),
    });
    task.avoided.add(run.workerId);
    const slowWorker = worker;
    slowWorker.backoffUntilMs = Math.max(worker.backoffUntilMs, nowMs + SLOW_WORKER_BACKOFF_MS);
    this.#state.runTracker.stop(run, StopReason.moved, nowMs);
  }
}
