/**
 * The submitter: runs the jobs that callers hand to this host, step by step, and answers when all have
 * ended. A refusal is only given while nothing has started.
 */
import type { JobStep } from '../cells/job';
import type { Clock } from '../core/clock';
import type { Caller } from './caller';
import type { DispatchJournal } from './journal';
import type { StepRunner } from './stepRunner';
import { joinOutcomes, RunningJob, type JobOutcome, type JobRequest } from './runningJob';

/** What a job runner is built from. */
export interface JobRunnerParts {
  readonly stepRunner: StepRunner;
  readonly clock: Clock;
  readonly journal: DispatchJournal;
}

/** Time kept back from the deadline for the answer to reach the caller. */
const ANSWER_MARGIN_MS = 15;
/** The owner of a cell gives a job up at its deadline; the submitter itself if it hears nothing. */
const OWNER_LATE_MS = 5;

function taskName(jobId: string, stepIndex: number, index: number): string {
  return `${jobId}.0.${stepIndex}.${index}`;
}

/** A job in progress and those who wait for it. */
interface JobEntry {
  readonly job: RunningJob;
  readonly outcome: Promise<JobOutcome>;
  waiters: number;
}

/** Jobs in progress on this host. */
export class JobRunner {
  readonly #parts: JobRunnerParts;

  readonly #jobs = new Map<string, JobEntry>();

  constructor(parts: JobRunnerParts) {
    this.#parts = parts;
  }

  get pending(): number {
    return this.#jobs.size;
  }

  /** Jobs of a queue of which nothing has started yet. */
  pendingOf(queue: string): number {
    return [...this.#jobs.values()].filter(
      ({ job }) => job.request.policy.name === queue && !job.begun,
    ).length;
  }

  has(jobId: string): boolean {
    return this.#jobs.has(jobId);
  }

  /** Runs a job, or joins the same job that is already in progress here, for as long as a caller waits. */
  async run(request: JobRequest, caller: Caller): Promise<JobOutcome> {
    const entry = this.#join(request.job.id) ?? this.#begin(request);
    const forget = caller.onDisconnect(() => this.#leave(entry));
    const outcome = await entry.outcome;
    forget();
    return outcome;
  }

  #join(jobId: string): JobEntry | null {
    const entry = this.#jobs.get(jobId);
    if (!entry) return null;
    entry.waiters += 1;
    this.#parts.journal.logDecision('job-joined', { jobId, waiters: entry.waiters });
    return entry;
  }

  /** The last caller to leave ends the job. */
  #leave(left: JobEntry): void {
    const entry = left;
    entry.waiters -= 1;
    if (entry.waiters <= 0) this.#abort(entry.job, 'abandoned');
  }

  /** Ends all jobs; each is answered as lost or refused. */
  abandonAll(): void {
    this.#jobs.forEach(({ job }) => this.#abort(job, 'stopping'));
  }

  /** Ends a job at a caller's request; false if it is not in progress here. */
  cancel(jobId: string): boolean {
    const entry = this.#jobs.get(jobId);
    if (!entry) return false;
    this.#abort(entry.job, 'cancelled');
    return true;
  }

  #begin(request: JobRequest): JobEntry {
    const arrivedAtMs = this.#parts.clock.nowMs();
    const { job, policy, deadlineInMs } = request;
    const deadlineAtMs = arrivedAtMs + deadlineInMs - ANSWER_MARGIN_MS;
    const running = new RunningJob(request, arrivedAtMs, deadlineAtMs);
    this.#parts.journal.logDecision('job-accepted', {
      jobId: job.id,
      queue: policy.name,
      tasks: job.steps.reduce((sum, step) => sum + step.taskCount, 0),
      deadlineInMs,
    });
    const entry = { job: running, outcome: this.#runToEnd(running), waiters: 1 };
    this.#jobs.set(job.id, entry);
    return entry;
  }

  async #runToEnd(job: RunningJob): Promise<JobOutcome> {
    const timer = setTimeout(
      () => this.#abort(job, 'deadline'),
      job.deadlineAtMs + OWNER_LATE_MS - job.arrivedAtMs,
    );
    const outcome = await this.#runSteps(job);
    job.end();
    clearTimeout(timer);
    this.#jobs.delete(job.request.job.id);
    return outcome;
  }

  #abort(job: RunningJob, reason: string): void {
    this.#parts.journal.logDecision('job-aborted', { jobId: job.request.job.id, reason });
    job.end();
  }

  /** Runs the steps as their predecessors succeed. */
  async #runSteps(job: RunningJob): Promise<JobOutcome> {
    const { steps } = job.request.job;
    const ends = new Map<number, Promise<JobOutcome>>();
    const runAfter = async (step: JobStep, index: number): Promise<JobOutcome> => {
      const before = await Promise.all(step.after.map((other) => ends.get(other)));
      const obstacle = before.find((outcome) => outcome && outcome.type !== 'completed');
      return obstacle ?? this.#runStep(job, step, index);
    };
    steps.forEach((step, index) => ends.set(index, runAfter(step, index)));
    return joinOutcomes(job, [...ends.values()]);
  }

  #runStep(job: RunningJob, step: JobStep, stepIndex: number): Promise<JobOutcome> {
    const { id, steps } = job.request.job;
    const declaredMs = steps.reduce((sum, { estimateMs }) => sum + estimateMs, 0);
    const tasks = Array.from({ length: step.taskCount }, (_, index) => ({
      name: taskName(id, stepIndex, index),
      failures: 0,
      lastRun: 0,
      mayRun: false,
    }));
    const otherStepsMs = declaredMs - step.estimateMs;
    return this.#parts.stepRunner.run(job, { step, tasks, otherStepsMs });
  }
}
