/** What callers and workers may rely on, checked from what they see while the soak runs. */
import type { RunObserver, WorkerStandin } from '../platform/workerStandin';
import type { Fault } from './faultPlan';
import type { RunLog } from './runLog';

/** A job as its caller knows it. */
export interface SoakJob {
  readonly id: string;
  readonly payload: string;
  readonly tasks: number;
  /** Every answer so far said that the job has not run and never will. */
  rejectedOnly: boolean;
  /** The caller will not send it again. */
  settled: boolean;
}

interface ActiveRun {
  readonly worker: WorkerStandin;
  readonly run: number;
}

const SOURCE = 'soak';
/** Every host knows of a drain within this time, also if it was cut off meanwhile. */
const DRAIN_KNOWN_MS = 5000;

function jobIdOf(task: string): string {
  return task.slice(0, task.indexOf('.'));
}

/** Checks while the soak runs, and collects what was broken. */
export class Invariants implements RunObserver {
  readonly broken: string[] = [];

  readonly #jobs = new Map<string, SoakJob>();

  readonly #active = new Map<string, ActiveRun[]>();

  readonly #done = new Map<string, Set<string>>();

  readonly #failures = new Map<string, number>();

  readonly #started = new Set<string>();

  /** When the drains in progress began, by domain. */
  readonly #drainedSinceMs = new Map<string, number>();

  readonly #log: RunLog;

  constructor(log: RunLog) {
    this.#log = log;
  }

  submitted(job: SoakJob): void {
    this.#jobs.set(job.id, job);
  }

  faultBegins(fault: Fault): void {
    this.#log.write(SOURCE, 'fault', fault);
  }

  /** The store has accepted the drain of a domain. */
  drainBegins(domain: string): void {
    this.#drainedSinceMs.set(domain, performance.now());
  }

  drainEnds(domain: string): void {
    this.#drainedSinceMs.delete(domain);
  }

  /** A caller sends a job, or gets an answer or none. */
  called(job: SoakJob, hostId: string, event: string): void {
    this.#log.write('caller', event, { jobId: job.id, at: hostId, tasks: job.tasks });
  }

  started(worker: WorkerStandin, task: string, run: number, payload: string): void {
    this.#log.write(worker.id, 'run-begins', { task, run, payload });
    const job = this.#jobs.get(jobIdOf(task));
    if (!job || job.payload !== payload) {
      this.#report(`start that nobody asked for: ${task} with ${payload}`);
      return;
    }
    this.#started.add(job.id);
    const drainedForMs = performance.now() - (this.#drainedSinceMs.get(worker.domain) ?? Infinity);
    if (drainedForMs > DRAIN_KNOWN_MS) {
      this.#report(
        `${task} starts in ${worker.domain}, drained for ${Math.round(drainedForMs)} ms`,
      );
    }
    if (job.settled && job.rejectedOnly) this.#report(`start after a final refusal: ${task}`);
    // A worker's own machine would not have been late to end them.
    this.#active.get(task)?.forEach((other) => other.worker.endDue());
    const runs = this.#active.get(task) ?? [];
    runs.forEach((other) => {
      this.#report(
        `two runs of ${task}: ${other.run} on ${other.worker.id}, ${run} on ${worker.id}`,
      );
    });
    this.#active.set(task, [...runs, { worker, run }]);
  }

  ended(worker: WorkerStandin, task: string, run: number, how: string): void {
    this.#log.write(worker.id, 'run-over', { task, run, how });
    const left = (this.#active.get(task) ?? []).filter(
      (active) => active.run !== run || active.worker !== worker,
    );
    this.#active.set(task, left);
    const jobId = jobIdOf(task);
    if (how === 'done') this.#done.set(jobId, (this.#done.get(jobId) ?? new Set()).add(task));
    if (how === 'failed') this.#failures.set(jobId, (this.#failures.get(jobId) ?? 0) + 1);
  }

  /** An answer that says how the job ended. */
  answered(job: SoakJob, state: string, maxAttempts: number): void {
    const done = this.#done.get(job.id)?.size ?? 0;
    if (state === 'completed' && done < job.tasks) {
      this.#report(`${job.id} is shown as completed with ${done} of ${job.tasks} tasks done`);
    }
    if (state === 'failed' && (this.#failures.get(job.id) ?? 0) < maxAttempts) {
      this.#report(`${job.id} is shown as failed without ${maxAttempts} failures`);
    }
  }

  /** The caller gives up after answers that all said that nothing has run. */
  rejected(job: SoakJob): void {
    if (this.#started.has(job.id)) this.#report(`${job.id} has started and was only refused`);
  }

  note(text: string): void {
    this.#report(text);
  }

  #report(text: string): void {
    this.broken.push(`${Math.round(performance.now())} ms: ${text}`);
    this.#log.write(SOURCE, 'broken', { text });
  }
}
