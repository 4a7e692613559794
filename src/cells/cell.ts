/**
 * The owner's side of a cell: a set of workers that one host alone starts, stops and renews. Batches
 * are refused on arrival when they can't end in time, and otherwise served in the order of the queues.
 * A batch that was given up gets its outcome at once.
 */
import { RunOutcome, StartAnswer, type CellAction, type WorkerReport } from './actions';
import { Batch } from './batch';
import { BatchAdmission } from './batchAdmission';
import { CellState, describeBatch, type CellOptions } from './cellState';
import { Dispatch } from './dispatch';
import { BatchReason, type BatchOutcome, type CellSummary, type TaskBatch } from './messages';
import { ProgressWatch } from './progressWatch';
import { runKey, type Run } from './run';
import { LOCAL_SUBMITTER, type SubmitterContact } from './submitterContact';
import { Takeover } from './takeover';
import type { CellWorker, WorkerEntry } from './worker';

/** Decision logic of one cell; `take` returns the actions since the last call. */
export class Cell {
  readonly #state: CellState;

  readonly #admission: BatchAdmission;

  readonly #dispatch: Dispatch;

  readonly #takeover: Takeover;

  readonly #progress: ProgressWatch;

  constructor(id: string, options: CellOptions) {
    this.#state = new CellState(id, options, {
      started: (run) => this.#state.taskOf(run)?.batch.markStarted(),
      ended: (run, end, worker, atMs) => this.#runEnded(run, end, worker, atMs),
      found: (task) => this.#takeover.found(task),
      notStarted: (run, answer, atMs) => this.#notStarted(run, answer, atMs),
    });
    this.#admission = new BatchAdmission(this.#state);
    this.#dispatch = new Dispatch(this.#state);
    this.#takeover = new Takeover(this.#state);
    this.#progress = new ProgressWatch(this.#state);
  }

  /** Actions since the last call, in order. */
  takeActions(): readonly CellAction[] {
    return this.#state.take();
  }

  summary(nowMs: number): CellSummary {
    const open = this.#state.openWorkers(nowMs);
    let queued = 0;
    this.#state.batches.forEach((batch) => {
      queued += batch.waitingCount * batch.order.shape.cpuMillis * batch.expectedMs;
    });
    return {
      cell: this.#state.id,
      freeCpuMillis: open.map((worker) => worker.freeCpuMillis),
      capacityCpuMillis: open.reduce((sum, worker) => sum + worker.entry.cpuMillis, 0),
      queuedCpuMillisMs: Math.round(queued),
    };
  }

  /** Number of batches without an outcome. */
  get pending(): number {
    return this.#state.batches.size;
  }

  /** State of the workers, for metrics and operators. */
  get workers(): ReadonlyMap<string, CellWorker> {
    return this.#state.ledger.workers;
  }

  /** Takes a batch; its outcome follows as an `end` action, possibly at once. */
  offer(order: TaskBatch, nowMs: number, contact: SubmitterContact = LOCAL_SUBMITTER): void {
    const { runTimes, batches } = this.#state;
    const expectedMs = runTimes.expectedMs(order.queue, order.estimateMs);
    const settledAtMs = this.#takeover.settledAtMs(nowMs);
    const batch = new Batch(order, contact, expectedMs, settledAtMs, nowMs);
    const refusal = this.#admission.check(batch, nowMs);
    // Elsewhere, a task that may be in progress here would start at once.
    if (refusal && !this.#takeover.concerns(batch)) {
      this.#state.end(batch, refusal, nowMs);
      return;
    }
    batches.set(batch.id, batch);
    this.#takeover.claimFor(batch, nowMs);
    this.#state.decide('batch-queued', {
      ...describeBatch(batch),
      objectiveInMs: Math.round(batch.objectiveAtMs - nowMs),
      deadlineInMs: Math.round(order.deadlineInMs),
      expectedMs: Math.round(expectedMs),
      begun: order.begun,
      mayRun: order.mayRun,
    });
    if (batch.isDone) this.#state.finish(batch, { type: 'done' }, nowMs);
    else if (batch.isOver(nowMs)) this.#state.giveUp(batch, BatchReason.deadline, nowMs);
    this.#dispatch.run(nowMs);
  }

  /** Ends a batch that nobody waits for any more, and stops its runs. */
  withdraw(batchId: string, reason: BatchReason, nowMs: number): void {
    const batch = this.#state.batches.get(batchId);
    if (!batch) return;
    this.#state.giveUp(batch, reason, nowMs);
    this.#dispatch.run(nowMs);
  }

  /** Answers all batches because another host takes the cell over; runs go on under their leases. */
  handOver(nowMs: number): void {
    this.#state.batches.forEach((batch) => {
      const outcome: BatchOutcome = batch.started
        ? { type: 'lost', reason: BatchReason.handedOver, ...batch.progress(nowMs) }
        : { type: 'refused', reason: BatchReason.handedOver, retryAfterMs: 0 };
      this.#state.batches.delete(batch.id);
      this.#state.end(batch, outcome, nowMs);
    });
  }

  setWorkers(entries: readonly WorkerEntry[], nowMs: number): void {
    this.#state.ledger.setWorkers(entries, nowMs);
    this.#dispatch.run(nowMs);
  }

  startAnswered(
    task: string,
    run: number,
    workerId: string,
    answer: StartAnswer,
    nowMs: number,
  ): void {
    this.#state.ledger.startAnswered(runKey(task, run), workerId, answer, nowMs);
    this.#dispatch.run(nowMs);
  }

  stopConfirmed(task: string, run: number, workerId: string, nowMs: number): void {
    this.#state.ledger.stopConfirmed(runKey(task, run), workerId, nowMs);
    this.#dispatch.run(nowMs);
  }

  stopUnanswered(task: string, run: number, workerId: string): void {
    this.#state.ledger.stopUnanswered(runKey(task, run), workerId);
  }

  report(workerId: string, report: WorkerReport, nowMs: number): void {
    this.#state.ledger.report(workerId, report, nowMs);
    this.#progress.check(workerId, nowMs);
    this.#takeover.update(nowMs);
    this.#dispatch.run(nowMs);
  }

  workerSilent(workerId: string, nowMs: number): void {
    const worker = this.#state.ledger.workers.get(workerId);
    if (!worker?.reachable) return;
    this.#state.ledger.silent(workerId);
    this.#state.decide('worker-silent', { worker: workerId, runs: worker.runs.size });
    this.#giveUpHopeless(nowMs);
  }

  workerRestarted(workerId: string, nowMs: number): void {
    this.#state.decide('worker-restarted', { worker: workerId });
    this.#state.ledger.restarted(workerId, nowMs);
    this.#dispatch.run(nowMs);
  }

  /**
   * Longest time that a lease which is given to a worker now may last; 0 or less if none may be given. It
   * covers all that runs there, and would keep a run in progress that may have no submitter any more.
   */
  leaseLimitMs(workerId: string): number {
    return this.#state.leaseLimitMs(workerId);
  }

  /** A renewal or start was sent to a worker: its leases end by `leasesEndMs`. */
  renewed(workerId: string, leasesEndMs: number): void {
    this.#state.ledger.renewed(workerId, leasesEndMs);
  }

  /** The owner stood still for `gapMs`; what was said to it in that time is yet to be read. */
  ownerResumed(gapMs: number, nowMs: number): void {
    const untilMs = this.#dispatch.hold(nowMs);
    const holdMs = Math.round(untilMs - nowMs);
    this.#state.decide('starts-held', { gapMs: Math.round(gapMs), holdMs });
  }

  tick(nowMs: number): void {
    const { ledger, options } = this.#state;
    ledger.tick(nowMs);
    ledger.dropMissing(options.missingGraceMs, nowMs);
    this.#takeover.stopUnclaimed(nowMs);
    this.#giveUpHopeless(nowMs);
    this.#dispatch.run(nowMs);
  }

  #notStarted(run: Run, answer: StartAnswer, nowMs: number): void {
    const { task, run: number, workerId, jobId } = run;
    this.#state.decide('start-refused', { jobId, task, run: number, worker: workerId, answer });
    const found = this.#state.taskOf(run);
    if (!found) return;
    found.task.workerId = null;
    this.#takeover.claimRun(found.batch, found.task);
    // The worker knows a higher number of this task, from a submission that is gone.
    if (answer === StartAnswer.stale) found.task.lastRun = found.task.lastRun * 2 + 1;
    if (answer === StartAnswer.invalid) {
      this.#state.giveUp(found.batch, BatchReason.impossible, nowMs);
    }
  }

  #runEnded(run: Run, end: RunOutcome, worker: CellWorker, nowMs: number): void {
    const runTimeMs = nowMs - run.startedAtMs;
    this.#state.decide('run-ended', {
      jobId: run.jobId,
      task: run.task,
      run: run.run,
      worker: run.workerId,
      end,
      runTimeMs: Math.round(runTimeMs),
    });
    this.#judge(run, end, worker, runTimeMs, nowMs);
    const found = this.#state.taskOf(run);
    if (!found) return;
    const { batch, task } = found;
    task.workerId = null;
    if (end === RunOutcome.succeeded) {
      task.done = true;
      if (batch.isDone) this.#state.finish(batch, { type: 'done' }, nowMs);
      return;
    }
    if (end === RunOutcome.failed) {
      task.failures += 1;
      task.avoided.add(run.workerId);
      if (task.failures >= batch.order.maxAttempts) {
        this.#state.finish(batch, { type: 'failed', task: task.name }, nowMs);
        return;
      }
    }
    this.#takeover.claimRun(batch, task);
    if (!this.#canEnd(batch, nowMs)) this.#state.giveUp(batch, BatchReason.deadline, nowMs);
  }

  /** Learns from the end of a run about its queue and its worker. */
  #judge(run: Run, end: RunOutcome, worker: CellWorker, runTimeMs: number, nowMs: number): void {
    if (run.queue === '') return;
    if (end === RunOutcome.succeeded) {
      const ordinaryMs = run.expectedMs / worker.slowness;
      this.#state.runTimes.learn(run.queue, runTimeMs / worker.slowness);
      worker.learnSlowness(runTimeMs / ordinaryMs);
      worker.health.observe('succeeded', false, run.startedAtMs, nowMs);
    }
    if (end !== RunOutcome.failed) return;
    const failsElsewhere = (this.#state.taskOf(run)?.task.failures ?? 0) > 0;
    if (worker.health.observe('failed', failsElsewhere, run.startedAtMs, nowMs)) {
      this.#state.decide('worker-avoided', { worker: worker.entry.id, reason: 'failures' });
    }
  }

  /** True if the batch could still end before its deadline. */
  #canEnd(batch: Batch, nowMs: number): boolean {
    return batch.tasks.every((task) => {
      if (task.done) return true;
      const worker = task.workerId === null ? null : this.workers.get(task.workerId);
      if (worker?.reachable) return nowMs < batch.deadlineAtMs;
      const freeFromMs = worker ? worker.leasesEndMs : task.notBeforeMs;
      return Math.max(nowMs, freeFromMs) + batch.expectedMs <= batch.deadlineAtMs;
    });
  }

  #giveUpHopeless(nowMs: number): void {
    this.#state.batches.forEach((batch) => {
      const tooLate = !batch.isBegun && nowMs > batch.latestStartMs;
      if (tooLate) this.#state.giveUp(batch, BatchReason.overloaded, nowMs);
      else if (!this.#canEnd(batch, nowMs)) {
        this.#state.giveUp(batch, BatchReason.deadline, nowMs);
      }
    });
  }
}
