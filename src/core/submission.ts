/**
 * One submission and the state of its tasks. A task is handed out for a start at most once, unless
 * its start has provably not happened; a submission counts as not run only while every task is queued.
 */
import { TaskState, type JobAnswer, type JobSpec, type TaskReport } from './job';

interface TaskRun {
  state: TaskState;
  attempts: number;
  result?: unknown;
  error?: string;
}

/** Submission of a job under a key. */
export class Submission {
  readonly key: string;

  /** Without its tasks once the submission is finished. */
  job: JobSpec;

  readonly bodyHash: string;

  readonly arrivedAtMs: number;

  readonly expiresAtMs: number;

  /** Calls that wait for the answer. */
  readonly callIds = new Set<number>();

  /** Ids of slot requests that wait for grants. */
  readonly requestIds = new Set<number>();

  /** Ids of attempts whose end has not been seen. */
  readonly attemptIds = new Set<string>();

  /** Domains that refused slots for this job. */
  readonly refusedBy = new Set<string>();

  answer: JobAnswer | null = null;

  #runs: TaskRun[];

  /** Indices of queued tasks, the longest declared one last, where it is taken first. */
  #queue: number[];

  #succeeded = 0;

  #begun = 0;

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

  /** True once a start was sent that is not known to have been refused. */
  get begun(): boolean {
    return this.#begun > 0;
  }

  get succeeded(): boolean {
    return this.#succeeded === this.#runs.length;
  }

  get queuedTasks(): number {
    return this.#queue.length;
  }

  /** Takes the next queued task for a start; null if none is queued. */
  start(): { readonly index: number; readonly attempt: number } | null {
    const index = this.#queue.pop();
    const run = index === undefined ? undefined : this.#runs[index];
    if (index === undefined || !run) return null;
    run.state = TaskState.started;
    run.attempts += 1;
    this.#begun += 1;
    return { index, attempt: run.attempts };
  }

  /** The start of the task has provably not happened and never will. */
  requeue(index: number): void {
    const run = this.#runs[index];
    if (!run || run.state !== TaskState.started) return;
    run.state = TaskState.queued;
    this.#begun -= 1;
    this.#queue.push(index);
  }

  succeed(index: number, result: unknown): void {
    const run = this.#runs[index];
    if (!run || run.state !== TaskState.started) return;
    run.state = TaskState.succeeded;
    run.result = result;
    this.#succeeded += 1;
  }

  /** The task has ended in a way that fails the job. */
  fail(index: number, state: TaskState, error: string): void {
    const run = this.#runs[index];
    if (!run || run.state !== TaskState.started) return;
    run.state = state;
    run.error = error;
  }

  /** Gives the answer; payloads and task states are not needed any more and take most of the memory. */
  finish(answer: JobAnswer): void {
    this.answer = answer;
    this.job = { ...this.job, tasks: [] };
    this.#runs = [];
    this.#queue = [];
  }

  /** States of all tasks for an answer given now; a task in progress is of unknown outcome. */
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
