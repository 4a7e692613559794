/** What the caller's interface needs of a dispatcher, whatever protocol callers speak. */
import { pendingReads, type Caller } from './caller';
import type { DispatchJournal } from './journal';
import type { DispatchMetrics } from './metrics';
import type { JobRunner } from './jobRunner';
import type { JobOutcome, JobRequest } from './runningJob';
import type { QueueTable } from './queueTable';

/** Entry point for callers' requests. */
export class Dispatcher {
  readonly queues: QueueTable;

  readonly journal: DispatchJournal;

  readonly #runner: JobRunner;

  readonly #metrics: DispatchMetrics;

  readonly #isServing: () => boolean;

  #draining = false;

  #refusing = false;

  constructor(
    queues: QueueTable,
    runner: JobRunner,
    metrics: DispatchMetrics,
    journal: DispatchJournal,
    isServing: () => boolean,
  ) {
    this.queues = queues;
    this.#runner = runner;
    this.#metrics = metrics;
    this.journal = journal;
    this.#isServing = isServing;
  }

  /** True if callers should be sent here. */
  get ready(): boolean {
    return !this.#draining && this.queues.configuration !== null && this.#isServing();
  }

  get draining(): boolean {
    return this.#draining;
  }

  /** Jobs without an answer. */
  get pending(): number {
    return this.#runner.pending;
  }

  /** From now on callers are told to go elsewhere; what was taken is answered. */
  drain(): void {
    this.#draining = true;
  }

  /** From now on jobs are refused as not run. */
  refuseNewJobs(): void {
    this.#refusing = true;
  }

  /** Ends the jobs in progress, so that their callers get an answer before the process ends. */
  abandonAll(): void {
    this.#runner.abandonAll();
  }

  /** Runs a job for a caller; null if the caller has left before it could begin. */
  async submit(request: JobRequest, caller: Caller): Promise<JobOutcome | null> {
    // A request may be read long after it was sent. If its caller has given it up, and may have sent it
    // elsewhere, the end of the connection lies behind it.
    await pendingReads();
    if (caller.hasDisconnected) {
      this.journal.logDecision('caller-left', {
        jobId: request.job.id,
        queue: request.policy.name,
      });
      return null;
    }
    if (this.#refusing && !this.#runner.has(request.job.id)) {
      this.recordRefusal(request.policy.name, request.job.id, 'draining');
      return { type: 'refused', reason: 'draining', retryAfterMs: 0 };
    }
    const startedAtMs = performance.now();
    const outcome = await this.#runner.run(request, caller);
    const elapsedMs = performance.now() - startedAtMs;
    const reason = 'reason' in outcome ? outcome.reason : '';
    this.#metrics.recordJob(request.policy.name, outcome.type, reason, elapsedMs);
    this.journal.logDecision('job-answered', {
      jobId: request.job.id,
      queue: request.policy.name,
      outcome: outcome.type,
      reason,
      elapsedMs: Math.round(elapsedMs),
    });
    return outcome;
  }

  /** Records a request that was refused before it became a job. */
  recordRefusal(queue: string, jobId: string, reason: string): void {
    this.#metrics.recordJob(queue, 'refused', reason, 0);
    this.journal.logDecision('request-refused', { jobId, queue, reason });
  }

  cancel(jobId: string): boolean {
    return this.#runner.cancel(jobId);
  }

  has(jobId: string): boolean {
    return this.#runner.has(jobId);
  }

  pendingOf(queue: string): number {
    return this.#runner.pendingOf(queue);
  }
}
