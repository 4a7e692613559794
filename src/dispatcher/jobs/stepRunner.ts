/**
 * Sends the tasks of a step to the owners of cells. Distributes the tasks over the cells, tries
 * further cells when one refuses, and resends a batch to the new owner when ownership of its cell
 * changes.
 */
import { BatchReason, type BatchOutcome } from '../../cells/messages';
import type { Clock, RandomSource } from '../../core/clock';
import {
  BatchSender,
  NOT_SENT,
  RETRY_AFTER_MS,
  type SendResult,
  type TaskGroup,
} from './batchSender';
import { waitForPendingReads } from './caller';
import { supersedes, type CellRecord } from '../ownership/cellRecord';
import type { Cluster } from '../cluster';
import { EarlierRuns, type EarlierRunsCluster } from './earlierRuns';
import { JobDivision, type DivisionCluster } from './jobDivision';
import type { DispatchJournal } from '../journal';
import { spreadTasks, type CellAssignment } from './router';
import { combineOutcomes, type JobOutcome, type RunningJob } from './runningJob';

/** The members of the cluster that a step runner uses. */
export type StepRunnerCluster = EarlierRunsCluster &
  DivisionCluster &
  Pick<Cluster, 'loads' | 'expectsOwner' | 'ownerOf' | 'isServing' | 'run'>;

/** Dependencies of a step runner. */
export interface StepRunnerParts {
  readonly cluster: StepRunnerCluster;
  readonly random: RandomSource;
  /** Prefix of all batch ids, unique to this process. */
  readonly prefix: string;
  /** Time after which all runs of an owner that this host has given up on have ended. */
  readonly lostRunsEndMs: number;
  readonly clock: Clock;
  readonly journal: DispatchJournal;
}

const OWNER_POLL_MS = 20;
/** Added to run numbers for a new owner, so that they exceed any that the previous owner used. */
const RUN_NUMBER_GAP = 16;
/** A cell that refuses a batch does so within this time. */
const REFUSAL_WAIT_MS = 8;
const NO_CELL: JobOutcome = { type: 'refused', reason: 'no-cell', retryAfterMs: RETRY_AFTER_MS };

/** The tasks that have not succeeded, numbered for a new owner after the previous one is done. */
function remainingGroup(group: TaskGroup, outcome: BatchOutcome): TaskGroup {
  const started = outcome.type === 'lost' ? outcome.started : null;
  const succeeded = outcome.type === 'lost' ? outcome.succeeded : [];
  const remaining = group.tasks.filter(({ name }) => !succeeded.includes(name));
  const failures = outcome.type === 'lost' ? (outcome.failures ?? {}) : {};
  const tasks = remaining.map((task) => ({
    ...task,
    failures: failures[task.name] ?? task.failures,
    lastRun: task.lastRun + RUN_NUMBER_GAP,
    mayRun: started === null || started.includes(task.name),
  }));
  return { ...group, tasks };
}

/**
 * The group with no runs in progress, for use after the leases of all earlier runs have expired.
 */
function withoutEarlierRuns(group: TaskGroup): TaskGroup {
  return { ...group, tasks: group.tasks.map((task) => ({ ...task, mayRun: false })) };
}

/**
 * Waits, then lets pending socket reads complete. After a pause of the process, a disconnect of the
 * client that ends the job may still be unread when the timer fires.
 */
async function waitAndRead(job: RunningJob, delayMs: number): Promise<void> {
  await job.wait(delayMs);
  await waitForPendingReads();
}

/** Runs the steps of jobs in cells. */
export class StepRunner {
  readonly #parts: StepRunnerParts;

  readonly #sender: BatchSender;

  readonly #earlierRuns: EarlierRuns;

  readonly #division: JobDivision;

  constructor(parts: StepRunnerParts) {
    this.#parts = parts;
    this.#sender = new BatchSender(parts);
    this.#earlierRuns = new EarlierRuns(parts);
    this.#division = new JobDivision(parts.cluster, parts.journal);
  }

  /**
   * Runs all tasks of a step, distributed over the cells. Refused only if no cell accepted a batch.
   */
  async run(job: RunningJob, group: TaskGroup): Promise<JobOutcome> {
    if (group.step.after.length > 0) await this.#awaitSuccessor(job, group);
    else await this.#awaitFirstStart(job, group);
    if (job.hasEnded) return NOT_SENT;
    return this.#distribute(job, group);
  }

  #distribute(job: RunningJob, group: TaskGroup): Promise<JobOutcome> {
    const assignments = this.#spread(group);
    if (assignments.length === 0) return Promise.resolve(NO_CELL);
    if (assignments.length > 1) return this.#runDivided(job, group, assignments);
    return this.#runAssignments(job, group, assignments, true);
  }

  /**
   * Runs tasks that no cell seems to have room for together. The job is refused as a whole if the
   * cells have too little room for it; once it has begun, it goes on late with `fallback`.
   */
  async #runDivided(
    job: RunningJob,
    group: TaskGroup,
    fallback: readonly CellAssignment[],
  ): Promise<JobOutcome> {
    const division = await this.#division.divide(
      this.#sender.batchOf(job, group, job.begun, false),
    );
    // The caller may have disconnected in the meantime, and sent the job elsewhere.
    await waitForPendingReads();
    if (job.hasEnded) return NOT_SENT;
    if (division.type === 'assigned') {
      return this.#runAssignments(job, group, division.assignments, false);
    }
    if (division.type === 'refused' && !job.begun && job.openGroups === 0) {
      const { reason, retryAfterMs } = division;
      return { type: 'refused', reason, retryAfterMs };
    }
    return this.#runAssignments(job, group, fallback, false);
  }

  async #awaitSuccessor(job: RunningJob, group: TaskGroup): Promise<void> {
    await this.#awaitCell(job, group);
    await waitForPendingReads();
  }

  /** Waits until the job may start, and records for how long it had to. */
  async #awaitFirstStart(job: RunningJob, group: TaskGroup): Promise<void> {
    const { clock } = this.#parts;
    const heldFromMs = clock.nowMs();
    await this.#awaitCell(job, group);
    await this.#earlierRuns.waitUntilOver(job);
    const held = job;
    held.heldMs = Math.max(job.heldMs, clock.nowMs() - heldFromMs);
  }

  /**
   * Waits for a cell to be served, after a start or a change of owner. The job is not refused while
   * an owner can be expected and the step could still end in time.
   */
  async #awaitCell(job: RunningJob, { step, otherStepsMs }: TaskGroup): Promise<void> {
    const { cluster, clock, journal } = this.#parts;
    if (cluster.serving().length > 0) return;
    const waitedFromMs = clock.nowMs();
    const latestStartMs = job.deadlineAtMs - step.estimateMs - otherStepsMs;
    while (cluster.serving().length === 0 && cluster.expectsOwner && !job.hasEnded) {
      if (clock.nowMs() >= latestStartMs) break;
      // eslint-disable-next-line no-await-in-loop -- polls until there is an owner
      await waitAndRead(job, OWNER_POLL_MS);
    }
    journal.logDecision('cell-awaited', {
      jobId: job.request.job.id,
      waitedMs: Math.round(clock.nowMs() - waitedFromMs),
      cells: cluster.serving().length,
      hasEnded: job.hasEnded,
    });
  }

  #spread({ step, tasks }: TaskGroup): readonly CellAssignment[] {
    const { cluster, random } = this.#parts;
    return spreadTasks(
      cluster.serving(),
      cluster.ownDomainCells,
      { tasks: tasks.length, cpuMillis: step.shape.cpuMillis, estimateMs: step.estimateMs },
      random,
    );
  }

  /** Sends the tasks of a group to their assigned cells. */
  #runAssignments(
    job: RunningJob,
    group: TaskGroup,
    assignments: readonly CellAssignment[],
    maySplit: boolean,
  ): Promise<JobOutcome> {
    const { loads } = this.#parts.cluster;
    const { shape, estimateMs } = group.step;
    const running = job;
    running.openGroups += assignments.length;
    assignments.forEach(({ cell, taskIndexes }) => {
      loads.reserve(cell, taskIndexes.length, shape.cpuMillis, estimateMs);
    });
    const outcomes = assignments.map(({ cell, taskIndexes }) => {
      const tasks = group.tasks.filter((_, index) => taskIndexes.includes(index));
      return this.#runGroup(job, { ...group, tasks }, cell, maySplit);
    });
    return combineOutcomes(job, outcomes);
  }

  /**
   * Offers a group to one cell after another until one accepts it. A refusal also reports the
   * current load of the cell, so after the first one the group is distributed again if it can be
   * split.
   */
  async #runGroup(
    job: RunningJob,
    group: TaskGroup,
    firstCell: string,
    maySplit: boolean,
  ): Promise<JobOutcome> {
    const tried = new Set<string>();
    let cell: string | null = firstCell;
    let refusal: JobOutcome = NO_CELL;
    while (cell !== null) {
      tried.add(cell);
      const batch = () => this.#sender.batchOf(job, group, job.begun, false);
      // eslint-disable-next-line no-await-in-loop -- cells are tried one after the other
      const sent = await this.#sender.send(job, cell, batch);
      const { outcome } = sent;
      if (outcome.type !== 'refused') return this.#resolveOutcome(job, group, sent);
      refusal = { type: 'refused', reason: outcome.reason, retryAfterMs: outcome.retryAfterMs };
      const assignments = maySplit && !job.hasEnded ? this.#spread(group) : [];
      const isOverloaded = outcome.reason === BatchReason.overloaded;
      if (assignments.length > 1 || (isOverloaded && assignments.length > 0)) {
        return this.#divideAnew(job, group, assignments);
      }
      cell = job.hasEnded ? null : this.#leastLoadedCell(tried);
    }
    return this.#handleRefusalByAll(job, group, refusal);
  }

  /** Divides a group that a cell has refused as a whole. */
  #divideAnew(
    job: RunningJob,
    group: TaskGroup,
    fallback: readonly CellAssignment[],
  ): Promise<JobOutcome> {
    const running = job;
    running.openGroups -= 1;
    return this.#runDivided(job, group, fallback);
  }

  /**
   * Refuses the job only if no other group of it was accepted; otherwise queues this group late.
   */
  async #handleRefusalByAll(
    job: RunningJob,
    group: TaskGroup,
    refusal: JobOutcome,
  ): Promise<JobOutcome> {
    const running = job;
    running.openGroups -= 1;
    if (job.openGroups > 0) await waitAndRead(job, REFUSAL_WAIT_MS);
    if (job.hasEnded || (job.openGroups === 0 && !job.begun)) return refusal;
    running.openGroups += 1;
    return this.#forceQueue(job, group);
  }

  /** Queues a group even though it will be late, because other groups of the job are running. */
  async #forceQueue(job: RunningJob, group: TaskGroup): Promise<JobOutcome> {
    const tried = new Set<string>();
    let cell = this.#leastLoadedCell(tried);
    let reason = 'no-cell';
    while (cell !== null) {
      tried.add(cell);
      const batch = () => this.#sender.batchOf(job, group, true, false);
      // eslint-disable-next-line no-await-in-loop -- cells are tried one after the other
      const sent = await this.#sender.send(job, cell, batch);
      if (sent.outcome.type !== 'refused') return this.#resolveOutcome(job, group, sent);
      reason = sent.outcome.reason;
      cell = job.hasEnded ? null : this.#leastLoadedCell(tried);
    }
    return { type: 'lost', reason };
  }

  #leastLoadedCell(tried: ReadonlySet<string>): string | null {
    const remaining = this.#parts.cluster.serving().filter(({ cell }) => !tried.has(cell));
    const work = (cell: (typeof remaining)[number]) =>
      cell.queuedCpuMillisMs / Math.max(1, cell.capacityCpuMillis);
    return remaining.sort((one, other) => work(one) - work(other))[0]?.cell ?? null;
  }

  async #resolveOutcome(job: RunningJob, group: TaskGroup, sent: SendResult): Promise<JobOutcome> {
    const { outcome } = sent;
    if (outcome.type === 'done') return { type: 'completed' };
    if (outcome.type === 'failed') return { type: 'failed' };
    const ownerLost =
      outcome.reason === BatchReason.handedOver || outcome.reason === BatchReason.unreachable;
    if (outcome.type === 'lost' && ownerLost && !job.hasEnded) {
      return this.#recover(job, group, sent);
    }
    if (outcome.reason === BatchReason.domainDrained && !job.hasEnded) {
      return this.#runElsewhere(job, remainingGroup(group, outcome));
    }
    return { type: 'lost', reason: outcome.reason };
  }

  /** Runs the tasks that a drained cell has returned; none of them is in progress. */
  async #runElsewhere(job: RunningJob, remaining: TaskGroup): Promise<JobOutcome> {
    if (remaining.tasks.length === 0) return { type: 'completed' };
    const outcome = await this.#distribute(job, remaining);
    // The job has begun, so the answer must not say that nothing has run.
    return outcome.type === 'refused' ? { type: 'lost', reason: outcome.reason } : outcome;
  }

  /**
   * Handles the loss of the owner while runs of the group may be in progress. A new owner of the
   * cell adopts the runs; without one, the group starts in another cell once the leases have
   * expired.
   */
  async #recover(job: RunningJob, group: TaskGroup, sent: SendResult): Promise<JobOutcome> {
    const { cell, record, outcome } = sent;
    const { cluster, clock, lostRunsEndMs: settleMs, journal } = this.#parts;
    let lostRunsEndAtMs = clock.nowMs() + settleMs;
    const latestStartMs = job.deadlineAtMs - group.step.estimateMs;
    journal.logDecision('owner-lost', {
      jobId: job.request.job.id,
      cell,
      token: record?.token ?? 0,
    });
    const remaining = remainingGroup(group, outcome);
    if (remaining.tasks.length === 0) return { type: 'completed' };
    while (!job.hasEnded && clock.nowMs() < latestStartMs) {
      if (this.#hasNewerOwner(cell, record) && cluster.isServing(cell)) {
        const batch = () => this.#sender.batchOf(job, remaining, true, true);
        // eslint-disable-next-line no-await-in-loop -- polls until there is an owner
        const retried = await this.#sender.send(job, cell, batch);
        if (retried.outcome.type !== 'refused')
          return this.#resolveOutcome(job, remaining, retried);
        // The new owner started nothing, but may have adopted a run and renewed its lease.
        lostRunsEndAtMs = clock.nowMs() + settleMs;
      }
      if (clock.nowMs() >= lostRunsEndAtMs)
        return this.#forceQueue(job, withoutEarlierRuns(remaining));
      // eslint-disable-next-line no-await-in-loop -- polls until there is an owner
      await waitAndRead(job, OWNER_POLL_MS);
    }
    return { type: 'lost', reason: 'owner-lost' };
  }

  #hasNewerOwner(cell: string, last: CellRecord | null): boolean {
    const record = this.#parts.cluster.ownerOf(cell);
    return record !== null && (last === null || supersedes(record, last));
  }
}
