/**
 * Builds the batches of a job and sends them to cells. All batches are sent here: none after the job
 * has ended, and its end withdraws those in progress.
 */
import type { JobStep } from '../../cells/job';
import {
  BatchReason,
  type BatchOutcome,
  type BatchTask,
  type TaskBatch,
} from '../../cells/messages';
import type { Clock } from '../../core/clock';
import { waitForPendingReads } from './caller';
import type { CellRecord } from '../ownership/cellRecord';
import type { Cluster } from '../cluster';
import type { DispatchJournal } from '../journal';
import type { RunningJob } from './runningJob';

/** Dependencies of a batch sender. */
export interface BatchSenderParts {
  readonly cluster: Pick<Cluster, 'ownerOf' | 'run'>;
  /** Prefix of all batch ids, unique to this process. */
  readonly prefix: string;
  readonly clock: Clock;
  readonly journal: DispatchJournal;
}

/**
 * Sends of a group to one cell before `expired` counts as a refusal. The first `expired` reply
 * carries the owner's clock readings, so a second one means that the connection is slow.
 */
const MAX_EXPIRED_SENDS = 2;

/** Hint to the caller of a job of which nothing has been sent. */
export const RETRY_AFTER_MS = 300;

/** Outcome of a batch that is not sent because its job has already ended. */
export const NOT_SENT = {
  type: 'refused',
  reason: BatchReason.withdrawn,
  retryAfterMs: RETRY_AFTER_MS,
} as const;

/** Tasks of one step that are sent to one cell as one batch. */
export interface TaskGroup {
  readonly step: JobStep;
  readonly tasks: readonly BatchTask[];
  readonly otherStepsMs: number;
}

/** Outcome of a batch, with the record of the owner that it was sent to; null if none was known. */
export interface SendResult {
  readonly cell: string;
  readonly record: CellRecord | null;
  readonly outcome: BatchOutcome;
}

function isExpired({ outcome }: SendResult): boolean {
  return outcome.type === 'refused' && outcome.reason === BatchReason.expired;
}

/** Sends the batches of the jobs of one process. */
export class BatchSender {
  readonly #parts: BatchSenderParts;

  #batchCount = 0;

  constructor(parts: BatchSenderParts) {
    this.#parts = parts;
  }

  /** Builds a batch of the tasks of a group, with the times as of now. */
  batchOf(job: RunningJob, group: TaskGroup, begun: boolean, mayRun: boolean): TaskBatch {
    const { policy, job: spec } = job.request;
    const nowMs = this.#parts.clock.nowMs();
    this.#batchCount += 1;
    return {
      batchId: `${this.#parts.prefix}-${this.#batchCount}`,
      jobId: spec.id,
      queue: policy.name,
      service: policy.service,
      priority: policy.priority,
      maxAttempts: policy.maxAttempts,
      payload: spec.payload,
      shape: group.step.shape,
      estimateMs: group.step.estimateMs,
      tasks: group.tasks,
      slackFactor: policy.slackFactor,
      goalMs: policy.goalMs,
      waitedMs: nowMs - job.arrivedAtMs - job.heldMs,
      otherStepsMs: group.otherStepsMs,
      deadlineInMs: job.deadlineAtMs - nowMs,
      begun,
      mayRun,
    };
  }

  /**
   * Sends a batch, and once more under a new id if it was refused as expired. That refusal
   * guarantees that the batch did not run.
   */
  async send(job: RunningJob, cell: string, batchOf: () => TaskBatch): Promise<SendResult> {
    let sent = await this.#sendOnce(job, cell, batchOf());
    for (let sends = 1; sends < MAX_EXPIRED_SENDS && isExpired(sent); sends += 1) {
      // eslint-disable-next-line no-await-in-loop -- resent only after the owner refused it
      sent = await this.#sendOnce(job, cell, batchOf());
    }
    return sent;
  }

  /**
   * All batches are sent here: none after the job has ended; its end withdraws those in progress.
   */
  async #sendOnce(job: RunningJob, cell: string, batch: TaskBatch): Promise<SendResult> {
    const record = this.#parts.cluster.ownerOf(cell);
    if (job.hasEnded) return { cell, record, outcome: NOT_SENT };
    const abort = new AbortController();
    const removeListener = job.onEnd(() => abort.abort());
    const outcome = await this.#parts.cluster.run(cell, batch, abort);
    removeListener();
    const running = job;
    if (outcome.type !== 'refused') running.begun = true;
    this.#parts.journal.logDecision('batch-answered', {
      jobId: batch.jobId,
      batchId: batch.batchId,
      cell,
      tasks: batch.tasks.length,
      outcome: outcome.type,
      ...('reason' in outcome ? { reason: outcome.reason } : {}),
    });
    // The caller may send again after these outcomes, and the job's end may be read only after the
    // reply.
    if (outcome.type === 'refused' || outcome.type === 'lost') await waitForPendingReads();
    return { cell, record, outcome };
  }
}
