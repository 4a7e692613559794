/**
 * The jobs that clients have sent and the runs that workers have begun. Workers look the needs of a
 * task up here, and cases check the rules with it. Times are those of the record.
 */
import type { CaseRecord } from './record';

/** One step of a job, in the words of the clients' interface. */
export interface StepBody {
  readonly count: number;
  readonly cpu: number;
  readonly memMb: number;
  readonly estimateMs: number;
  readonly after?: readonly number[];
  readonly requires?: string;
  readonly antiAffinity?: number;
}

/** A job; its `spec` is the run time of each of its tasks in milliseconds, or `fail`. */
export interface JobBody {
  readonly spec: string;
  readonly bestEffort: true;
  readonly steps: readonly StepBody[];
}

/** One run of a task on a worker. */
export interface RunEntry {
  readonly worker: string;
  readonly task: string;
  readonly jobId: string;
  readonly stepIndex: number;
  readonly run: number;
  /** Labels of the worker when the run began. */
  readonly labels: readonly string[];
  readonly beganAtMs: number;
  endedAtMs: number | null;
  how: string | null;
}

/** Parts of the name of a task: job, occurrence, step, index. */
function partsOf(task: string): { readonly jobId: string; readonly stepIndex: number } {
  const [jobId = '', , step = ''] = task.split('.');
  return { jobId, stepIndex: Number(step) };
}

/** Jobs and runs of one case. */
export class Ledger {
  readonly jobs = new Map<string, JobBody>();

  readonly runs: RunEntry[] = [];

  readonly #record: CaseRecord;

  constructor(record: CaseRecord) {
    this.#record = record;
  }

  /** The step that a task belongs to; null if no client has sent its job. */
  stepOf(task: string): StepBody | null {
    const { jobId, stepIndex } = partsOf(task);
    return this.jobs.get(jobId)?.steps[stepIndex] ?? null;
  }

  runsOfJob(jobId: string): readonly RunEntry[] {
    return this.runs.filter((run) => run.jobId === jobId);
  }

  began(worker: string, labels: readonly string[], task: string, run: number): RunEntry {
    const entry: RunEntry = {
      worker,
      task,
      ...partsOf(task),
      run,
      labels: [...labels],
      beganAtMs: this.#record.nowMs(),
      endedAtMs: null,
      how: null,
    };
    this.runs.push(entry);
    this.#record.write('run-begins', { worker, task, run, labels });
    return entry;
  }

  ended(entry: RunEntry, how: string): void {
    const ended = entry;
    ended.endedAtMs = this.#record.nowMs();
    ended.how = how;
    const { worker, task, run } = entry;
    this.#record.write('run-ends', { worker, task, run, how });
  }
}
