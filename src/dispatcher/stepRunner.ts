/**
 * Hands the tasks of a step to the owners of cells: spreads them, tries one cell after the other, and
 * follows a batch to the next owner when its owner goes.
 */
import type { JobStep } from '../cells/job';
import { BatchReason, type BatchOutcome, type BatchTask, type TaskBatch } from '../cells/messages';
import type { Clock, RandomSource } from '../core/clock';
import { pendingReads } from './caller';
import { supersedes, type CellRecord } from './cellRecord';
import type { Cluster } from './cluster';
import type { DispatchJournal } from './journal';
import { spread, type Share } from './router';
import { joinOutcomes, type JobOutcome, type RunningJob } from './runningJob';

/** What a part runner needs of the cells. */
export type StepRunnerCluster = Pick<
  Cluster,
  'loads' | 'ownDomainCells' | 'expectsOwner' | 'serving' | 'ownerOf' | 'isServing' | 'run'
>;

/** What a part runner is built from. */
export interface StepRunnerParts {
  readonly cluster: StepRunnerCluster;
  readonly random: RandomSource;
  /** Differs between processes; batch ids begin with it. */
  readonly prefix: string;
  /** Time after which no run is left at an owner that this host has turned away from. */
  readonly lostRunsEndMs: number;
  readonly clock: Clock;
  readonly journal: DispatchJournal;
}

const POLL_MS = 20;
/** Runs of a new owner get numbers well above those that the previous one may have used. */
const RUN_NUMBER_GAP = 16;
const RETRY_AFTER_MS = 300;
/** Longest wait of a job for a cell to find its owner. */
const CELL_WAIT_MS = 300;
/** A cell refuses a batch within this time, or has taken it. */
const REFUSAL_TIME_MS = 8;
/** A refusal as expired tells the owner's clocks; a second one means that the way there is slow. */
const EXPIRED_SENDS = 2;

/** What is left of a job that has ended. */
const NOT_SENT = {
  type: 'refused',
  reason: BatchReason.withdrawn,
  retryAfterMs: RETRY_AFTER_MS,
} as const;
const NO_CELL: JobOutcome = { type: 'refused', reason: 'no-cell', retryAfterMs: RETRY_AFTER_MS };

/** Tasks of one step that go to one cell together. */
export interface Part {
  readonly step: JobStep;
  readonly tasks: readonly BatchTask[];
  readonly otherStepsMs: number;
}

/** End of a batch, and which owner of the cell it was sent to; null if none was known. */
interface SentBatch {
  readonly cell: string;
  readonly record: CellRecord | null;
  readonly outcome: BatchOutcome;
}

function isExpired({ outcome }: SentBatch): boolean {
  return outcome.type === 'refused' && outcome.reason === BatchReason.expired;
}

/** What is left of a part after its owner has gone. */
function remainingOf(part: Part, outcome: BatchOutcome): Part {
  const started = outcome.type === 'lost' ? outcome.started : null;
  const succeeded = outcome.type === 'lost' ? outcome.succeeded : [];
  const left = part.tasks.filter(({ name }) => !succeeded.includes(name));
  const tasks = left.map((task) => ({
    ...task,
    lastRun: task.lastRun + RUN_NUMBER_GAP,
    mayRun: started === null || started.includes(task.name),
  }));
  return { ...part, tasks };
}

/** The part once the leases of all its earlier runs are over. */
function settledPart(part: Part): Part {
  return { ...part, tasks: part.tasks.map((task) => ({ ...task, mayRun: false })) };
}

/**
 * Waits, and reads what has arrived by then. If the process stood still, the end of the job, which its
 * client has given up, may lie unread while the timer runs.
 */
async function pauseAndRead(job: RunningJob, delayMs: number): Promise<void> {
  await job.pause(delayMs);
  await pendingReads();
}

/** Runs the parts of jobs in cells. */
export class StepRunner {
  readonly #parts: StepRunnerParts;

  #batchCount = 0;

  constructor(parts: StepRunnerParts) {
    this.#parts = parts;
  }

  /** Runs all tasks of a part, spread over the cells. Refused only if none of its batches was taken. */
  async run(job: RunningJob, part: Part): Promise<JobOutcome> {
    await this.#awaitCell(job);
    if (part.step.after.length > 0) await pendingReads();
    if (job.hasEnded) return NOT_SENT;
    const shares = this.#spread(part);
    if (shares.length === 0) return NO_CELL;
    return this.#runShares(job, part, shares, true);
  }

  /** Waits a little for the first cell after a start or a change of owner. */
  async #awaitCell(job: RunningJob): Promise<void> {
    const { cluster, clock } = this.#parts;
    const untilMs = clock.nowMs() + CELL_WAIT_MS;
    while (cluster.serving().length === 0 && cluster.expectsOwner && !job.hasEnded) {
      if (clock.nowMs() >= untilMs) return;
      // eslint-disable-next-line no-await-in-loop -- waits for the next owner
      await pauseAndRead(job, POLL_MS);
    }
  }

  #spread({ step, tasks }: Part): readonly Share[] {
    const { cluster, random } = this.#parts;
    return spread(
      cluster.serving(),
      cluster.ownDomainCells,
      { tasks: tasks.length, cpuMillis: step.shape.cpuMillis, estimateMs: step.estimateMs },
      random,
    );
  }

  /** Hands the tasks of a part to several cells. */
  #runShares(
    job: RunningJob,
    part: Part,
    shares: readonly Share[],
    maySplit: boolean,
  ): Promise<JobOutcome> {
    const { loads } = this.#parts.cluster;
    const { shape, estimateMs } = part.step;
    const running = job;
    running.openParts += shares.length;
    shares.forEach(({ cell, taskIndexes }) => {
      loads.reserve(cell, taskIndexes.length, shape.cpuMillis, estimateMs);
    });
    const ends = shares.map(({ cell, taskIndexes }) => {
      const tasks = part.tasks.filter((_, index) => taskIndexes.includes(index));
      return this.#runPart(job, { ...part, tasks }, cell, maySplit);
    });
    return joinOutcomes(job, ends);
  }

  /**
   * Offers a part to one cell after the other until one takes it. The first refusal tells how full the
   * cell really is, so that the part is spread anew where that is possible.
   */
  async #runPart(
    job: RunningJob,
    part: Part,
    firstCell: string,
    maySplit: boolean,
  ): Promise<JobOutcome> {
    const tried = new Set<string>();
    let cell: string | null = firstCell;
    let refusal: JobOutcome = NO_CELL;
    while (cell !== null) {
      tried.add(cell);
      const batch = () => this.#batchOf(job, part, job.begun, false);
      // eslint-disable-next-line no-await-in-loop -- cells are tried one after the other
      const sent = await this.#send(job, cell, batch);
      const { outcome } = sent;
      if (outcome.type !== 'refused') return this.#conclude(job, part, sent);
      refusal = { type: 'refused', reason: outcome.reason, retryAfterMs: outcome.retryAfterMs };
      const shares = maySplit && !job.hasEnded ? this.#spread(part) : [];
      if (shares.length > 1) return this.#splitAgain(job, part, shares);
      cell = job.hasEnded ? null : this.#nextCell(tried);
    }
    return this.#refusedByAll(job, part, refusal);
  }

  #splitAgain(job: RunningJob, part: Part, shares: readonly Share[]): Promise<JobOutcome> {
    const running = job;
    running.openParts -= 1;
    return this.#runShares(job, part, shares, false);
  }

  /** The job is refused only if no other part of it was taken; else this part is queued all the same. */
  async #refusedByAll(job: RunningJob, part: Part, refusal: JobOutcome): Promise<JobOutcome> {
    const running = job;
    running.openParts -= 1;
    if (job.openParts > 0) await pauseAndRead(job, REFUSAL_TIME_MS);
    if (job.hasEnded || (job.openParts === 0 && !job.begun)) return refusal;
    running.openParts += 1;
    return this.#force(job, part);
  }

  /** Other parts of the job run, so this one is queued somewhere even though it will be late. */
  async #force(job: RunningJob, part: Part): Promise<JobOutcome> {
    const tried = new Set<string>();
    let cell = this.#nextCell(tried);
    let reason = 'no-cell';
    while (cell !== null) {
      tried.add(cell);
      const batch = () => this.#batchOf(job, part, true, false);
      // eslint-disable-next-line no-await-in-loop -- cells are tried one after the other
      const sent = await this.#send(job, cell, batch);
      if (sent.outcome.type !== 'refused') return this.#conclude(job, part, sent);
      reason = sent.outcome.reason;
      cell = job.hasEnded ? null : this.#nextCell(tried);
    }
    return { type: 'lost', reason };
  }

  #nextCell(tried: ReadonlySet<string>): string | null {
    const left = this.#parts.cluster.serving().filter(({ cell }) => !tried.has(cell));
    const work = (cell: (typeof left)[number]) =>
      cell.queuedCpuMillisMs / Math.max(1, cell.capacityCpuMillis);
    return left.sort((one, other) => work(one) - work(other))[0]?.cell ?? null;
  }

  async #conclude(job: RunningJob, part: Part, sent: SentBatch): Promise<JobOutcome> {
    const { outcome } = sent;
    if (outcome.type === 'done') return { type: 'completed' };
    if (outcome.type === 'failed') return { type: 'failed' };
    const ownerLost =
      outcome.reason === BatchReason.handedOver || outcome.reason === BatchReason.unreachable;
    if (outcome.type === 'lost' && ownerLost && !job.hasEnded) {
      return this.#recover(job, part, sent);
    }
    return { type: 'lost', reason: outcome.reason };
  }

  /**
   * The owner of the cell is gone while the part may run. The next owner adopts the runs; without one
   * the part starts elsewhere when the leases are over.
   */
  async #recover(job: RunningJob, part: Part, sent: SentBatch): Promise<JobOutcome> {
    const { cell, record, outcome } = sent;
    const { cluster, clock, lostRunsEndMs: settleMs, journal } = this.#parts;
    let settledAtMs = clock.nowMs() + settleMs;
    const lastChanceMs = job.deadlineAtMs - part.step.estimateMs;
    journal.logDecision('owner-lost', {
      jobId: job.request.job.id,
      cell,
      token: record?.token ?? 0,
    });
    const left = remainingOf(part, outcome);
    if (left.tasks.length === 0) return { type: 'completed' };
    while (!job.hasEnded && clock.nowMs() < lastChanceMs) {
      if (this.#hasNextOwner(cell, record) && cluster.isServing(cell)) {
        const batch = () => this.#batchOf(job, left, true, true);
        // eslint-disable-next-line no-await-in-loop -- waits for the next owner
        const again = await this.#send(job, cell, batch);
        if (again.outcome.type !== 'refused') return this.#conclude(job, left, again);
        // It has started nothing of the batch, but may have adopted a run and renewed its lease.
        settledAtMs = clock.nowMs() + settleMs;
      }
      if (clock.nowMs() >= settledAtMs) return this.#force(job, settledPart(left));
      // eslint-disable-next-line no-await-in-loop -- waits for the next owner
      await pauseAndRead(job, POLL_MS);
    }
    return { type: 'lost', reason: 'owner-lost' };
  }

  #hasNextOwner(cell: string, last: CellRecord | null): boolean {
    const record = this.#parts.cluster.ownerOf(cell);
    return record !== null && (last === null || supersedes(record, last));
  }

  #batchOf(job: RunningJob, part: Part, begun: boolean, mayRun: boolean): TaskBatch {
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
      shape: part.step.shape,
      estimateMs: part.step.estimateMs,
      tasks: part.tasks,
      slackFactor: policy.slackFactor,
      goalMs: policy.goalMs,
      waitedMs: nowMs - job.arrivedAtMs,
      otherStepsMs: part.otherStepsMs,
      deadlineInMs: job.deadlineAtMs - nowMs,
      begun,
      mayRun,
    };
  }

  /** Sends a batch, and once more as a new one if it came too late; the refusal says that it has not run. */
  async #send(job: RunningJob, cell: string, batchOf: () => TaskBatch): Promise<SentBatch> {
    let sent = await this.#sendOnce(job, cell, batchOf());
    for (let sends = 1; sends < EXPIRED_SENDS && isExpired(sent); sends += 1) {
      // eslint-disable-next-line no-await-in-loop -- sent again only when the owner has refused it
      sent = await this.#sendOnce(job, cell, batchOf());
    }
    return sent;
  }

  /** The only way to a cell: closed once the job has ended, and what is in progress is withdrawn then. */
  async #sendOnce(job: RunningJob, cell: string, batch: TaskBatch): Promise<SentBatch> {
    const record = this.#parts.cluster.ownerOf(cell);
    if (job.hasEnded) return { cell, record, outcome: NOT_SENT };
    const abort = new AbortController();
    const forget = job.onEnd(() => abort.abort());
    const outcome = await this.#parts.cluster.run(cell, batch, abort);
    forget();
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
    // What follows these ends may be another send, and the end of the job may be read after the reply.
    if (outcome.type === 'refused' || outcome.type === 'lost') await pendingReads();
    return { cell, record, outcome };
  }
}
