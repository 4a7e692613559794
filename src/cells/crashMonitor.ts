/**
 * Records the workers that are lost under the runs of one cell, and applies what the history of all
 * hosts says of its tasks: some wait until it is known whether their workers have crashed, and a
 * batch with a task that is given up fails.
 */
import type { RunningEntry } from './actions';
import type { Batch, TaskEntry } from './batch';
import type { CellState } from './cellState';
import { CrashVerdict } from './crashHistory';
import { CrashState, jobIdOf, type CrashRecord } from './crashRecord';
import type { CellWorker } from './worker';

/** Tasks named in a log line at most. */
const MAX_LOGGED_TASKS = 8;

/** Watches for lost workers on behalf of one cell. */
export class CrashMonitor {
  readonly #state: CellState;

  constructor(state: CellState) {
    this.#state = state;
  }

  /** A worker does not answer any more. One that drains may have ended as planned. */
  workerLost(worker: CellWorker): void {
    if (worker.entry.draining) return;
    const runs = [...worker.runs.values()].filter(({ released }) => !released);
    if (runs.length === 0) return;
    const records = this.#state.crashes.workerLost(worker.entry.id, worker.processStartMs, runs);
    const tasks = records.map(({ task }) => task);
    this.#state.logDecision('crash-suspected', {
      worker: worker.entry.id,
      processStartMs: worker.processStartMs,
      tasks: tasks.slice(0, MAX_LOGGED_TASKS),
      taskCount: tasks.length,
      attributedTo: records.find(({ isAttributable }) => isAttributable)?.task ?? null,
    });
  }

  /** Another process answers in the worker's place. */
  workerReplaced(worker: CellWorker): void {
    this.workerLost(worker);
    this.#logChanges(worker, this.#state.crashes.workerReplaced(worker.entry.id));
  }

  /** A process of the worker has listed its runs. */
  workerAnswered(worker: CellWorker, running: readonly RunningEntry[]): void {
    const { crashes } = this.#state;
    if (crashes.size === 0) return;
    this.#logChanges(worker, crashes.workerAnswered(worker.entry.id, worker.processStartMs));
    running.forEach((entry) => crashes.runListed(entry, worker.entry.id));
  }

  /**
   * The run that a previous owner may have started is not on any worker that has answered. It may
   * have been on one that has not.
   */
  runNotFound(task: TaskEntry): void {
    const unlisted = [...this.#state.runTracker.workers.values()].filter(
      ({ processStartMs }) => processStartMs === 0,
    );
    if (unlisted.length === 0) return;
    const [worker] = unlisted.length === 1 ? unlisted : [];
    const workerId = worker?.entry.id ?? '';
    this.#state.crashes.runNotFound(task.name, workerId);
    if (worker?.isReplaced) this.#state.crashes.workerReplaced(workerId);
    this.#state.logDecision('run-not-found', {
      jobId: jobIdOf(task.name),
      task: task.name,
      worker: workerId,
      workersUnlisted: unlisted.length,
    });
  }

  /** Holds back the tasks that must wait, and ends the batches with a task that is given up. */
  applyVerdicts(nowMs: number): void {
    if (this.#state.crashes.size === 0) return;
    this.#state.batches.forEach((batch) => this.#applyTo(batch, nowMs));
  }

  #applyTo(batch: Batch, nowMs: number): void {
    const givenUp = batch.tasks.find((entry) => {
      if (entry.done) return false;
      const task = entry;
      const verdict = this.#state.crashes.verdict(task.name);
      task.isHeld = verdict === CrashVerdict.wait;
      return verdict === CrashVerdict.giveUp;
    });
    if (!givenUp) return;
    const { jobId } = batch.spec;
    this.#state.logDecision('task-given-up', { jobId, task: givenUp.name, reason: 'crashes' });
    this.#state.finish(batch, { type: 'failed', task: givenUp.name }, nowMs);
  }

  #logChanges({ entry }: CellWorker, records: readonly CrashRecord[]): void {
    if (records.length === 0) return;
    const isConfirmed = records[0]?.state === CrashState.confirmed;
    this.#state.logDecision(isConfirmed ? 'crash-confirmed' : 'crash-refuted', {
      worker: entry.id,
      tasks: records.slice(0, MAX_LOGGED_TASKS).map(({ task }) => task),
      taskCount: records.length,
    });
  }
}
