/** Protocol-independent entry point of the dispatcher for the interface to callers. */
import { waitForPendingReads, type Caller } from './jobs/caller';
import type { DispatchJournal } from './journal';
import type { DispatchMetrics } from './metrics';
import type { JobRunner } from './jobs/jobRunner';
import type { JobOutcome, JobRequest } from './jobs/runningJob';
import type { QueueTable } from './jobs/queueTable';

/**
 * A host that has just started reads the configuration within this time, if there is one and the
 * store or another host answers.
 */
const FIRST_CONFIGURATION_MS = 1000;

/** Accepts callers' requests. */
export class Dispatcher {
  readonly queues: QueueTable;

  readonly journal: DispatchJournal;

  readonly #runner: JobRunner;

  readonly #metrics: DispatchMetrics;

  readonly #isServing: () => boolean;

  readonly #startedAtMs = performance.now();

  #draining = false;

  #refusesNewJobs = false;

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

  /** True if a load balancer should send callers to this host. */
  get ready(): boolean {
    return !this.#draining && this.queues.configuration !== null && this.#isServing();
  }

  get draining(): boolean {
    return this.#draining;
  }

  /** Number of jobs that have not been answered. */
  get pending(): number {
    return this.#runner.pending;
  }

  /** Stops reporting ready, so that callers go to other hosts; accepted jobs are still answered. */
  drain(): void {
    this.#draining = true;
  }

  /** Refuses new jobs from now on; the refusal says that nothing has run. */
  refuseNewJobs(): void {
    this.#refusesNewJobs = true;
  }

  /** Aborts the jobs in progress, so that their callers get an answer before the process exits. */
  abandonAll(): void {
    this.#runner.abandonAll();
  }

  /**
   * Waits for the first configuration of a host that has just started, so that requests are not
   * refused that it can serve a moment later.
   */
  awaitConfiguration(): Promise<void> {
    const sinceStartMs = performance.now() - this.#startedAtMs;
    return this.queues.whenConfigured(FIRST_CONFIGURATION_MS - sinceStartMs);
  }

  /** Runs a job for a caller. Returns null if the caller disconnected before the job started. */
  async submit(request: JobRequest, caller: Caller): Promise<JobOutcome | null> {
    // A request may be read long after it was sent, for example after a pause of the process. If
    // its caller has disconnected by then, and may have resubmitted the job to another host, the
    // end of the connection is among the pending reads.
    await waitForPendingReads();
    if (caller.hasDisconnected) {
      this.journal.logDecision('caller-left', {
        jobId: request.job.id,
        queue: request.policy.name,
      });
      return null;
    }
    if (this.#refusesNewJobs && !this.#runner.has(request.job.id)) {
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

  /** Logs and counts a request that was refused before it became a job. */
  recordRefusal(queue: string, jobId: string, reason: string): void {
    this.#metrics.recordJob(queue, 'refused', reason, 0);
    this.journal.logDecision('request-refused', { jobId, queue, reason });
  }

  cancel(jobId: string): boolean {
    return this.#runner.cancel(jobId);
  }

  /** State of a job; null if it is not known. */
  stateOf(jobId: string): 'running' | 'failed' | null {
    return this.#runner.stateOf(jobId);
  }

  pendingOf(queue: string): number {
    return this.#runner.pendingOf(queue);
  }
}
