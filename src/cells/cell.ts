/**
 * Owner's side of a cell: a set of workers on which a single host starts and stops runs and renews
 * leases. A batch that cannot end in time is refused on arrival; the others are served in queue
 * order. The outcome of a batch that is given up is reported immediately.
 */
import { RunOutcome, StartAnswer, type CellAction, type WorkerReport } from './actions';
import { Batch } from './batch';
import { BatchAdmission } from './batchAdmission';
import { CellDrain, NO_ROOM_IN_DRAIN } from './cellDrain';
import { CellState, describeBatch, type CellOptions } from './cellState';
import type { ListedWorkers } from './cellWorkers';
import type { CrashHistory } from './crashHistory';
import { CrashMonitor } from './crashMonitor';
import { Dispatch } from './dispatch';
import { FirstArrivals } from './firstArrivals';
import { LateService } from './lateService';
import {
  BatchReason,
  type BatchOutcome,
  type CellRoom,
  type CellSummary,
  type TaskBatch,
} from './messages';
import { ProgressMonitor } from './progressMonitor';
import { runKey, type Run } from './run';
import { LOCAL_SUBMITTER, type SubmitterContact } from './submitterContact';
import { Takeover } from './takeover';
import type { CellWorker } from './worker';

/**
 * Decision logic of one cell. It performs no I/O: the caller passes in events with the current time
 * and carries out the actions that `takeActions` returns.
 */
export class Cell {
  readonly #state: CellState;

  readonly #admission: BatchAdmission;

  readonly #dispatch: Dispatch;

  readonly #takeover: Takeover;

  readonly #progressMonitor: ProgressMonitor;

  readonly #crashMonitor: CrashMonitor;

  readonly #drain: CellDrain;

  readonly #lateService: LateService;

  readonly #firstArrivals = new FirstArrivals();

  /** `crashes` is shared by all cells of the host. */
  constructor(id: string, options: CellOptions, crashes: CrashHistory) {
    this.#state = new CellState(id, options, crashes, {
      runStarted: (run) => this.#state.taskOf(run)?.batch.markStarted(),
      runEnded: (run, outcome, worker, atMs) => this.#runEnded(run, outcome, worker, atMs),
      runFound: (task) => this.#takeover.runFound(task),
      startRefused: (run, answer, atMs) => this.#startRefused(run, answer, atMs),
    });
    this.#lateService = new LateService(this.#state);
    this.#admission = new BatchAdmission(this.#state, this.#lateService);
    this.#crashMonitor = new CrashMonitor(this.#state);
    this.#drain = new CellDrain(this.#state);
    this.#dispatch = new Dispatch(this.#state, this.#crashMonitor, this.#drain, this.#lateService);
    this.#takeover = new Takeover(this.#state);
    this.#progressMonitor = new ProgressMonitor(this.#state);
  }

  /** Returns and clears the actions queued since the last call, in order. */
  takeActions(): readonly CellAction[] {
    return this.#state.takeActions();
  }

  summary(nowMs: number): CellSummary {
    const available = this.#state.availableWorkers(nowMs);
    let queued = 0;
    this.#state.batches.forEach((batch) => {
      queued += batch.waitingCount * batch.spec.shape.cpuMillis * batch.expectedMs;
    });
    return {
      cell: this.#state.id,
      freeCpuMillis: available.map((worker) => worker.freeCpuMillis),
      capacityCpuMillis: available.reduce((sum, worker) => sum + worker.entry.cpuMillis, 0),
      queuedCpuMillisMs: Math.round(queued),
    };
  }

  /** Number of batches that have no outcome yet. */
  get pending(): number {
    return this.#state.batches.size;
  }

  /** Number of runs that may be in progress. */
  get runCount(): number {
    return this.#state.runTracker.runCount;
  }

  /** State of the workers, for metrics and operators. */
  get workers(): ReadonlyMap<string, CellWorker> {
    return this.#state.runTracker.workers;
  }

  /** Jobs of which runs may be in progress on the workers, for whichever submission. */
  jobsWithRuns(): ReadonlySet<string> {
    const jobs = new Set<string>();
    this.workers.forEach(({ runs }) => runs.forEach(({ jobId }) => jobs.add(jobId)));
    return jobs;
  }

  /** True if some worker has not listed its runs to this owner. */
  get hasUnlistedWorkers(): boolean {
    return [...this.workers.values()].some(({ reachable }) => !reachable);
  }

  /**
   * Accepts or refuses a batch. Its outcome is reported by an `end` action, possibly right away.
   */
  offer(offered: TaskBatch, nowMs: number, contact: SubmitterContact = LOCAL_SUBMITTER): void {
    const { runTimes, batches } = this.#state;
    const spec = this.#firstArrivals.withTotalWait(offered, nowMs);
    const expectedMs = runTimes.expectedMs(spec.queue, spec.estimateMs);
    const previousRunsOverAtMs = this.#takeover.previousRunsOverAtMs(nowMs);
    const batch = new Batch(spec, contact, expectedMs, previousRunsOverAtMs, nowMs);
    const refusal = this.#drain.refusalFor(batch) ?? this.#admission.check(batch, nowMs);
    // A refused batch is sent to another cell, which would start its tasks without waiting for runs
    // of them that may be in progress here.
    if (refusal && !this.#takeover.holdsTasksOf(batch)) {
      this.#state.reportOutcome(batch, refusal, nowMs);
      return;
    }
    batches.set(batch.id, batch);
    this.#takeover.claimRunsFor(batch, nowMs);
    this.#state.logDecision('batch-queued', {
      ...describeBatch(batch),
      objectiveInMs: Math.round(batch.objectiveAtMs - nowMs),
      deadlineInMs: Math.round(spec.deadlineInMs),
      expectedMs: Math.round(expectedMs),
      begun: spec.begun,
      mayRun: spec.mayRun,
    });
    if (batch.isDone) this.#state.finish(batch, { type: 'done' }, nowMs);
    else if (batch.isPastDeadline(nowMs)) this.#state.giveUp(batch, BatchReason.deadline, nowMs);
    this.#crashMonitor.applyVerdicts(nowMs);
    this.#dispatch.startWaitingTasks(nowMs);
  }

  /**
   * How many tasks of a batch would be admitted now, and with `namesWorker` where the first would
   * start. The batch is neither queued nor refused.
   */
  roomFor(offered: TaskBatch, nowMs: number, namesWorker = false): CellRoom {
    if (this.#drain.isActive) return NO_ROOM_IN_DRAIN;
    const spec = this.#firstArrivals.withTotalWait(offered, nowMs);
    const expectedMs = this.#state.runTimes.expectedMs(spec.queue, spec.estimateMs);
    const batch = new Batch(spec, LOCAL_SUBMITTER, expectedMs, nowMs, nowMs);
    const room = this.#admission.roomFor(batch, nowMs);
    return namesWorker ? { ...room, workerId: this.#dispatch.workerFor(batch, nowMs) } : room;
  }

  /** Ends a batch whose outcome is no longer awaited, and stops its runs. */
  withdraw(batchId: string, reason: BatchReason, nowMs: number): void {
    const batch = this.#state.batches.get(batchId);
    if (!batch) return;
    this.#state.giveUp(batch, reason, nowMs);
    this.#dispatch.startWaitingTasks(nowMs);
  }

  /**
   * Reports an outcome for every batch because another host takes the cell over. Runs are not
   * stopped; they continue under their leases.
   */
  handOver(nowMs: number): void {
    this.#state.batches.forEach((batch) => {
      const batchOutcome: BatchOutcome = batch.started
        ? { type: 'lost', reason: BatchReason.handedOver, ...batch.progress(nowMs) }
        : { type: 'refused', reason: BatchReason.handedOver, retryAfterMs: 0 };
      this.#state.batches.delete(batch.id);
      this.#state.reportOutcome(batch, batchOutcome, nowMs);
    });
  }

  /** Begins or ends the drain of the cell. */
  setDrained(drained: boolean, nowMs: number): void {
    if (drained) this.#drain.begin(nowMs);
    else this.#drain.end(nowMs);
    this.#dispatch.startWaitingTasks(nowMs);
  }

  setWorkers(listed: ListedWorkers, nowMs: number): void {
    this.#state.runTracker.setWorkers(listed, nowMs);
    this.#dispatch.startWaitingTasks(nowMs);
  }

  startAnswered(
    task: string,
    run: number,
    workerId: string,
    answer: StartAnswer,
    nowMs: number,
  ): void {
    this.#state.runTracker.startAnswered({ task, run }, workerId, answer, nowMs);
    this.#dispatch.startWaitingTasks(nowMs);
  }

  stopConfirmed(task: string, run: number, workerId: string, nowMs: number): void {
    this.#state.runTracker.stopConfirmed(runKey(task, run), workerId, nowMs);
    this.#dispatch.startWaitingTasks(nowMs);
  }

  /** True if only a list of the worker can show whether a stopped run was ever started there. */
  awaitsList(task: string, run: number, workerId: string): boolean {
    const stopped = this.workers.get(workerId)?.runs.get(runKey(task, run));
    return stopped !== undefined && !stopped.listed && stopped.confirmedAtMs === null;
  }

  stopUnanswered(task: string, run: number, workerId: string): void {
    this.#state.runTracker.stopUnanswered(runKey(task, run), workerId);
  }

  report(workerId: string, report: WorkerReport, nowMs: number): void {
    this.#state.runTracker.report(workerId, report, nowMs);
    const worker = this.workers.get(workerId);
    if (worker) this.#crashMonitor.workerAnswered(worker, report.running);
    this.#progressMonitor.check(workerId, nowMs);
    this.#takeover.finishCompletedBatches(nowMs);
    this.#crashMonitor.applyVerdicts(nowMs);
    this.#dispatch.startWaitingTasks(nowMs);
  }

  workerSilent(workerId: string, nowMs: number): void {
    const worker = this.#state.runTracker.workers.get(workerId);
    if (!worker?.reachable) return;
    this.#state.runTracker.workerSilent(workerId, nowMs);
    this.#state.logDecision('worker-silent', { worker: workerId, runs: worker.runs.size });
    this.#crashMonitor.workerLost(worker);
    this.#giveUpLateBatches(nowMs);
  }

  workerRestarted(workerId: string, nowMs: number): void {
    const worker = this.workers.get(workerId);
    this.#state.logDecision('worker-restarted', { worker: workerId });
    if (worker) this.#crashMonitor.workerReplaced(worker);
    this.#state.runTracker.workerRestarted(workerId, nowMs);
    this.#crashMonitor.applyVerdicts(nowMs);
    this.#dispatch.startWaitingTasks(nowMs);
  }

  /**
   * Upper limit on the duration of a lease granted to a worker now; 0 or less if none may be
   * granted. A lease covers every run on the worker, so without the limit it would also keep runs
   * alive whose submitter may be gone.
   */
  leaseLimitMs(workerId: string): number {
    return this.#state.leaseLimitMs(workerId);
  }

  /**
   * Records that a renewal or start was sent to a worker, whose leases then end by `leasesEndMs`.
   */
  renewed(workerId: string, leasesEndMs: number): void {
    this.#state.runTracker.renewed(workerId, leasesEndMs);
  }

  /**
   * The process of the owner was suspended for `gapMs`. Messages that arrived in that time have not
   * been processed yet.
   */
  ownerResumed(gapMs: number, nowMs: number): void {
    const untilMs = this.#dispatch.holdStarts(nowMs);
    const holdMs = Math.round(untilMs - nowMs);
    this.#state.logDecision('starts-held', { gapMs: Math.round(gapMs), holdMs });
  }

  tick(nowMs: number): void {
    const { runTracker, options } = this.#state;
    runTracker.tick(nowMs);
    runTracker.removeMissingWorkers(options.missingGraceMs, nowMs);
    this.#takeover.stopUnclaimed(nowMs);
    this.#crashMonitor.applyVerdicts(nowMs);
    this.#giveUpLateBatches(nowMs);
    this.#dispatch.startWaitingTasks(nowMs);
  }

  #startRefused(run: Run, answer: StartAnswer, nowMs: number): void {
    const { task, run: number, workerId, jobId } = run;
    this.#state.logDecision('start-refused', {
      jobId,
      task,
      run: number,
      worker: workerId,
      answer,
    });
    const found = this.#state.taskOf(run);
    if (!found) return;
    found.task.workerId = null;
    this.#takeover.claimRun(found.batch, found.task);
    // The worker has seen this or a higher run number of the task, from an earlier submission that
    // is gone. Doubling exceeds that number after few attempts.
    if (answer === StartAnswer.stale) found.task.lastRun = found.task.lastRun * 2 + 1;
    if (answer === StartAnswer.invalid) {
      this.#state.giveUp(found.batch, BatchReason.impossible, nowMs);
    }
  }

  #runEnded(run: Run, outcome: RunOutcome, worker: CellWorker, nowMs: number): void {
    const runTimeMs = nowMs - run.startedAtMs;
    this.#state.logDecision('run-ended', {
      jobId: run.jobId,
      task: run.task,
      run: run.run,
      worker: run.workerId,
      end: outcome,
      runTimeMs: Math.round(runTimeMs),
    });
    this.#recordStatistics(run, outcome, worker, runTimeMs, nowMs);
    const found = this.#state.taskOf(run);
    if (!found) return;
    const { batch, task } = found;
    task.workerId = null;
    if (outcome === RunOutcome.succeeded) {
      task.done = true;
      if (batch.isDone) this.#state.finish(batch, { type: 'done' }, nowMs);
      return;
    }
    if (outcome === RunOutcome.failed) {
      task.failures += 1;
      task.avoided.add(run.workerId);
      if (task.failures >= batch.spec.maxAttempts) {
        this.#state.finish(batch, { type: 'failed', task: task.name }, nowMs);
        return;
      }
    }
    this.#takeover.claimRun(batch, task);
    if (!this.#canMeetDeadline(batch, nowMs))
      this.#state.giveUp(batch, BatchReason.deadline, nowMs);
  }

  /** Updates the run time of the queue and the slowness and health of the worker after a run. */
  #recordStatistics(
    run: Run,
    outcome: RunOutcome,
    worker: CellWorker,
    runTimeMs: number,
    nowMs: number,
  ): void {
    if (run.queue === '') return;
    if (outcome === RunOutcome.succeeded) {
      const baselineMs = run.expectedMs / worker.slowness;
      this.#state.runTimes.learn(run.queue, runTimeMs / worker.slowness);
      worker.learnSlowness(runTimeMs / baselineMs);
      worker.health.observe('succeeded', false, run.startedAtMs, nowMs);
    }
    if (outcome !== RunOutcome.failed) return;
    const failsElsewhere = (this.#state.taskOf(run)?.task.failures ?? 0) > 0;
    if (worker.health.observe('failed', failsElsewhere, run.startedAtMs, nowMs)) {
      this.#state.logDecision('worker-avoided', { worker: worker.entry.id, reason: 'failures' });
    }
  }

  /** True if the batch can still end before its deadline. */
  #canMeetDeadline(batch: Batch, nowMs: number): boolean {
    return batch.tasks.every((task) => {
      if (task.done) return true;
      const worker = task.workerId === null ? null : this.workers.get(task.workerId);
      if (worker?.reachable) return nowMs < batch.deadlineAtMs;
      const startableAtMs = worker ? worker.leasesEndMs : task.notBeforeMs;
      return Math.max(nowMs, startableAtMs) + batch.expectedMs <= batch.deadlineAtMs;
    });
  }

  #giveUpLateBatches(nowMs: number): void {
    this.#state.batches.forEach((batch) => {
      const tooLate = !batch.isBegun && nowMs > this.#lateService.lastStartMs(batch);
      if (tooLate) this.#state.giveUp(batch, BatchReason.overloaded, nowMs);
      else if (!this.#canMeetDeadline(batch, nowMs)) {
        this.#state.giveUp(batch, BatchReason.deadline, nowMs);
      }
    });
    this.#lateService.markOvertaken(nowMs);
    this.#lateService.useless(nowMs).forEach((batch) => {
      this.#state.giveUp(batch, BatchReason.overloaded, nowMs);
    });
  }
}
