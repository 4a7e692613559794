/** One submission of the baseline, with the state of each task. */
import type { JobAnswer, JobSpec, Outcome, Reason, TaskReport, TaskSpec } from '../core/job';
import type { WorkerRef } from '../core/messages';

/** One task; `attempt` is set while a start is out. */
export interface BaselineTask {
  readonly submission: Submission;
  readonly spec: TaskSpec;
  state: 'queued' | 'started' | 'unclear' | 'succeeded' | 'failed' | 'unknown' | 'stopped';
  result: unknown;
  error: string | undefined;
}

/** An attempt whose start has been sent. */
export interface BaselineAttempt {
  readonly id: string;
  readonly task: BaselineTask;
  readonly worker: WorkerRef;
  renewAtMs: number;
}

/** One submission. */
export class Submission {
  readonly key: string;

  readonly job: JobSpec;

  /** Serialized job, to detect a key that is used for another one. */
  readonly body: string;

  readonly arrivedMs: number;

  readonly tasks: readonly BaselineTask[];

  /** Calls that wait for the answer. */
  readonly calls: number[] = [];

  answer: JobAnswer | null = null;

  constructor(key: string, job: JobSpec, arrivedMs: number) {
    this.key = key;
    this.job = job;
    this.body = JSON.stringify(job);
    this.arrivedMs = arrivedMs;
    this.tasks = job.tasks.map((spec) => ({
      submission: this,
      spec,
      state: 'queued',
      result: undefined,
      error: undefined,
    }));
  }

  /** Whether no task has started or may have. */
  get untouched(): boolean {
    return this.tasks.every(({ state }) => state === 'queued');
  }

  get complete(): boolean {
    return this.tasks.every(({ state }) => state === 'succeeded');
  }

  /** Fixes the answer; `notRun` follows from the tasks. */
  close(outcome: Outcome, reason?: Reason, retryAfterMs?: number): JobAnswer {
    const notRun = this.untouched && outcome !== 'complete';
    this.answer = {
      outcome,
      key: this.key,
      notRun,
      ...(reason === undefined ? {} : { reason }),
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
      tasks: notRun ? [] : this.tasks.map((task) => Submission.#reportOf(task)),
    };
    return this.answer;
  }

  static #reportOf({ spec, state, result, error }: BaselineTask): TaskReport {
    switch (state) {
      case 'succeeded':
        return { id: spec.id, state, result };
      case 'failed':
        return { id: spec.id, state, error: error ?? '' };
      case 'queued':
        return { id: spec.id, state: 'notRun' };
      case 'unclear':
        return { id: spec.id, state: 'unknown' };
      default:
        return { id: spec.id, state };
    }
  }
}
