/**
 * One submission and the state of its tasks. A task is started at most once, and again only after a
 * start that provably did not happen. A submission counts as not run only while all its tasks are
 * queued.
 */
import { TaskState, type JobAnswer, type JobSpec, type TaskReport } from './job';

interface TaskRun {
  state: TaskState;
  attempts: number;
  result?: unknown;
  error?: string;
}

/** A job that was submitted under a key. */
export class Submission {
  readonly key: string;

  /** The job. Its tasks are removed when the submission is finished. */
  job: JobSpec;

  readonly bodyHash: string;

  readonly arrivedAtMs: number;

  readonly expiresAtMs: number;

  /** Calls that wait for the answer. */
  readonly callIds = new Set<number>();

  /** Ids of slot requests that wait for grants. */
  readonly requestIds = new Set<number>();

  /** Ids of attempts in progress. */
  readonly attemptIds = new Set<string>();

  /** Domains that refused slots for this job. */
  readonly refusedBy = new Set<string>();

  answer: JobAnswer | null = null;

  #runs: TaskRun[];

  /**
   * Indices of queued tasks. Taken from the end, where the task with the longest declared time is.
   */
  #queue: number[];

  #succeededCount = 0;

  /** Number of tasks that were started, less those whose start did not happen. */
  #startedCount = 0;

  constructor(
    key: string,
    job: JobSpec,
    bodyHash: string,
    arrivedAtMs: number,
    expiresAtMs: number,
  ) {
    this.key = key;
    this.job = job;
    this.bodyHash = bodyHash;
    this.arrivedAtMs = arrivedAtMs;
    this.expiresAtMs = expiresAtMs;
    this.#runs = job.tasks.map(() => ({ state: TaskState.queued, attempts: 0 }));
    const declaredMs = (index: number) => job.tasks[index]?.declaredMs ?? 0;
    this.#queue = job.tasks
      .map((_, index) => index)
      .sort((a, b) => declaredMs(a) - declaredMs(b) || b - a);
  }

  get deadlineAtMs(): number {
    return this.arrivedAtMs + this.job.deadlineMs;
  }

  /** True if a start was sent and is not known to have been refused. */
  get begun(): boolean {
    return this.#startedCount > 0;
  }

  get succeeded(): boolean {
    return this.#succeededCount === this.#runs.length;
  }

  get queuedTasks(): number {
    return this.#queue.length;
  }

  /** Takes the next queued task and marks it as started. Null if none is queued. */
  start(): { readonly index: number; readonly attempt: number } | null {
    const index = this.#queue.pop();
    const run = index === undefined ? undefined : this.#runs[index];
    if (index === undefined || !run) return null;
    run.state = TaskState.started;
    run.attempts += 1;
    this.#startedCount += 1;
    return { index, attempt: run.attempts };
  }

  /** Queues a task again of which the start provably did not happen and never will. */
  requeue(index: number): void {
    const run = this.#runs[index];
    if (!run || run.state !== TaskState.started) return;
    run.state = TaskState.queued;
    this.#startedCount -= 1;
    this.#queue.push(index);
  }

  succeed(index: number, result: unknown): void {
    const run = this.#runs[index];
    if (!run || run.state !== TaskState.started) return;
    run.state = TaskState.succeeded;
    run.result = result;
    this.#succeededCount += 1;
  }

  /** Records that a task has ended in a state that fails the job. */
  fail(index: number, state: TaskState, error: string): void {
    const run = this.#runs[index];
    if (!run || run.state !== TaskState.started) return;
    run.state = state;
    run.error = error;
  }

  /** Sets the answer. Drops payloads and task states, which take most of the memory. */
  finish(answer: JobAnswer): void {
    this.answer = answer;
    this.job = { ...this.job, tasks: [] };
    this.#runs = [];
    this.#queue = [];
  }

  /** States of all tasks for an answer. A task in progress is reported as unknown. */
  reports(): readonly TaskReport[] {
    return this.#runs.map((run, index) => {
      const id = this.job.tasks[index]?.id ?? String(index);
      if (run.state === TaskState.succeeded) return { id, state: run.state, result: run.result };
      if (run.state === TaskState.queued) return { id, state: TaskState.notRun };
      if (run.state === TaskState.started) return { id, state: TaskState.unknown };
      return { id, state: run.state, error: run.error ?? '' };
    });
  }
}
