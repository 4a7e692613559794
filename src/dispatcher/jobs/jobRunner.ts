/**
 * The submitter: runs the jobs that callers send to this host, step by step, and answers when all
 * steps have ended. A job is refused only if nothing of it has started.
 */
import type { JobStep } from '../../cells/job';
import type { Clock } from '../../core/clock';
import type { CrashHistory } from '../../cells/crashHistory';
import type { Caller } from './caller';
import type { DispatchJournal } from '../journal';
import type { StepRunner } from './stepRunner';
import { combineOutcomes, RunningJob, type JobOutcome, type JobRequest } from './runningJob';

/** Dependencies of a job runner. */
export interface JobRunnerParts {
  readonly stepRunner: StepRunner;
  readonly crashes: Pick<CrashHistory, 'givenUpTaskOf'>;
  readonly clock: Clock;
  readonly journal: DispatchJournal;
}

/** Subtracted from the deadline so that the answer reaches the caller in time. */
const ANSWER_MARGIN_MS = 15;
/**
 * Grace period after the deadline. The owner of a cell ends its batches at the deadline; the
 * submitter aborts the job itself if it has received no reply by the end of this period.
 */
const OWNER_DEADLINE_GRACE_MS = 5;

function taskName(jobId: string, stepIndex: number, index: number): string {
  return `${jobId}.0.${stepIndex}.${index}`;
}

/** A job in progress and the number of callers that wait for it. */
interface JobEntry {
  readonly job: RunningJob;
  readonly outcome: Promise<JobOutcome>;
  waiters: number;
}

/** Runs the jobs submitted to this host. */
export class JobRunner {
  readonly #parts: JobRunnerParts;

  readonly #jobs = new Map<string, JobEntry>();

  constructor(parts: JobRunnerParts) {
    this.#parts = parts;
  }

  get pending(): number {
    return this.#jobs.size;
  }

  /** Number of jobs of a queue of which nothing has started yet. */
  pendingOf(queue: string): number {
    return [...this.#jobs.values()].filter(
      ({ job }) => job.request.policy.name === queue && !job.begun,
    ).length;
  }

  has(jobId: string): boolean {
    return this.#jobs.has(jobId);
  }

  /**
   * Runs a job, or joins the job with the same id if one is in progress on this host. The job is
   * aborted when the last of its callers disconnects. A job that has failed because a task of it
   * was given up fails again, without a start.
   */
  async run(request: JobRequest, caller: Caller): Promise<JobOutcome> {
    if (this.#hasFailed(request.job.id)) return { type: 'failed' };
    const entry = this.#join(request.job.id) ?? this.#start(request);
    const removeListener = caller.onDisconnect(() => this.#callerDisconnected(entry));
    const outcome = await entry.outcome;
    removeListener();
    return outcome;
  }

  /** `failed` if a task of the job was given up, on whichever host; null if it is not known. */
  stateOf(jobId: string): 'running' | 'failed' | null {
    if (this.#jobs.has(jobId)) return 'running';
    return this.#parts.crashes.givenUpTaskOf(jobId) === null ? null : 'failed';
  }

  #hasFailed(jobId: string): boolean {
    if (this.#jobs.has(jobId)) return false;
    const task = this.#parts.crashes.givenUpTaskOf(jobId);
    if (task === null) return false;
    this.#parts.journal.logDecision('job-given-up', { jobId, task, reason: 'crashes' });
    return true;
  }

  #join(jobId: string): JobEntry | null {
    const entry = this.#jobs.get(jobId);
    if (!entry) return null;
    entry.waiters += 1;
    this.#parts.journal.logDecision('job-joined', { jobId, waiters: entry.waiters });
    return entry;
  }

  /** Aborts the job if no other caller waits for it. */
  #callerDisconnected(abandoned: JobEntry): void {
    const entry = abandoned;
    entry.waiters -= 1;
    if (entry.waiters <= 0) this.#abort(entry.job, 'abandoned');
  }

  /** Aborts all jobs; each is answered as lost or refused. */
  abandonAll(): void {
    this.#jobs.forEach(({ job }) => this.#abort(job, 'stopping'));
  }

  /** Aborts a job at a caller's request. Returns false if it is not in progress on this host. */
  cancel(jobId: string): boolean {
    const entry = this.#jobs.get(jobId);
    if (!entry) return false;
    this.#abort(entry.job, 'cancelled');
    return true;
  }

  #start(request: JobRequest): JobEntry {
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
      job.deadlineAtMs + OWNER_DEADLINE_GRACE_MS - job.arrivedAtMs,
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

  /** Runs each step once its predecessors have succeeded. */
  async #runSteps(job: RunningJob): Promise<JobOutcome> {
    const { steps } = job.request.job;
    const outcomes = new Map<number, Promise<JobOutcome>>();
    const runWhenReady = async (step: JobStep, index: number): Promise<JobOutcome> => {
      const predecessors = await Promise.all(step.after.map((other) => outcomes.get(other)));
      const failure = predecessors.find((outcome) => outcome && outcome.type !== 'completed');
      return failure ?? this.#runStep(job, step, index);
    };
    steps.forEach((step, index) => outcomes.set(index, runWhenReady(step, index)));
    return combineOutcomes(job, [...outcomes.values()]);
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
