/** Runs by the name of their task, across all workers. */
import type { Run } from './run';

const NONE: readonly Run[] = [];

/** Index of the runs that may be in progress. */
export class TaskRuns {
  readonly #runs = new Map<string, readonly Run[]>();

  add(run: Run): void {
    this.#runs.set(run.task, [...this.of(run.task), run]);
  }

  delete(run: Run): void {
    const left = this.of(run.task).filter((other) => other !== run);
    if (left.length > 0) this.#runs.set(run.task, left);
    else this.#runs.delete(run.task);
  }

  of(task: string): readonly Run[] {
    return this.#runs.get(task) ?? NONE;
  }
}
