/**
 * The owner's side of a cell: a set of workers that one host alone starts, stops and renews. Batches
 * are refused on arrival when they can't end in time, and otherwise served in the order of the latest
 * start that keeps their objective. A batch that was given up gets its outcome at once.
 */
import {
  RunEnd,
  StartAnswer,
  type CellAction,
  type DecisionFields,
  type WorkerReport,
} from './actions';
import { Arrivals } from './arrivals';
import { Batch, type TaskEntry } from './batch';
import { forecastEndMs, type Demand } from './forecast';
import { BatchReason, type BatchOutcome, type CellSummary, type TaskBatch } from './messages';
import { choosePlace, chooseReservation, type PlacementQuery } from './placement';
import { isSlowedByWorker, isTooSlowFor, isWorthMoving, type Comparison } from './progress';
import { groupByQueue, nextQueue, QueueOrder, RESERVE_FRACTION } from './queueOrder';
import { createRun, runKey, RunState, type Run } from './run';
import { RunLedger } from './runLedger';
import { RunTimes } from './runTimes';
import type { CellWorker, WorkerEntry } from './worker';

/** Figures of a cell; all in milliseconds. */
export interface CellOptions {
  /** Runs of the previous owner are over this long after the claim, if no worker lists them. */
  readonly leaseMs: number;
  /** A worker that the list has lacked for so long is gone. */
  readonly missingGraceMs: number;
}

/** Waiting batches that a task may overtake when the first ones find no room. */
const BACKFILL_BATCHES = 8;
/** Time that a run found on a worker may go unclaimed by a submitter. */
const CLAIM_WINDOW_MS = 600;
/** A worker that slows a run down gets nothing new for this long. */
const SLOW_REST_MS = 1000;
/** Share of its expected run time that a batch must have to spare to be admitted. */
const ADMISSION_MARGIN = 0.1;
const LEAST_RETRY_MS = 100;
const MOST_RETRY_MS = 10_000;

function refuse(reason: BatchReason, lateMs: number): BatchOutcome {
  const retryAfterMs = Math.ceil(Math.min(MOST_RETRY_MS, Math.max(LEAST_RETRY_MS, lateMs)));
  return { type: 'refused', reason, retryAfterMs };
}

function slowestOf(workers: readonly CellWorker[]): number {
  return Math.max(1, ...workers.map(({ slowness }) => slowness));
}

function demandOf(batch: Batch, tasks: number): Demand {
  return { tasks, cpuMillis: batch.order.shape.cpuMillis, expectedMs: batch.expectedMs };
}

/** The workers that lent capacity may be forecast on. */
function withoutReserve(workers: readonly CellWorker[]): readonly CellWorker[] {
  return workers.slice(Math.ceil(workers.length * RESERVE_FRACTION));
}

/** Fields that name a batch in the log. */
function describe(batch: Batch): DecisionFields {
  const { jobId, queue, priority, tasks } = batch.order;
  return { batchId: batch.id, jobId, queue, priority, tasks: tasks.length };
}

/** Decision logic of one cell; `take` returns the actions since the last call. */
export class Cell {
  readonly id: string;

  readonly #options: CellOptions;

  readonly #ledger: RunLedger;

  readonly #runTimes = new RunTimes();

  readonly #arrivals = new Arrivals();

  readonly #priorities = new Map<string, number>();

  readonly #batches = new Map<string, Batch>();

  readonly #ownedSinceMs: number;

  #actions: CellAction[] = [];

  constructor(id: string, options: CellOptions, nowMs: number) {
    this.id = id;
    this.#options = options;
    this.#ownedSinceMs = nowMs;
    this.#ledger = new RunLedger(
      {
        started: (run) => this.#started(run),
        ended: (run, end, worker, atMs) => this.#runEnded(run, end, worker, atMs),
        found: (task) => this.#found(task),
        notStarted: (run, answer, atMs) => this.#notStarted(run, answer, atMs),
      },
      (action) => this.#actions.push(action),
    );
  }

  /** Actions since the last call, in order. */
  take(): readonly CellAction[] {
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }

  summary(nowMs: number): CellSummary {
    const open = [...this.#ledger.workers.values()].filter((worker) => worker.isOpen(nowMs));
    let queued = 0;
    this.#batches.forEach((batch) => {
      queued += batch.waitingCount * batch.order.shape.cpuMillis * batch.expectedMs;
    });
    return {
      cell: this.id,
      freeCpuMillis: open.map((worker) => worker.freeCpuMillis),
      capacityCpuMillis: open.reduce((sum, worker) => sum + worker.entry.cpuMillis, 0),
      queuedCpuMillisMs: Math.round(queued),
    };
  }

  /** Number of batches without an outcome. */
  get pending(): number {
    return this.#batches.size;
  }

  /** State of the workers, for metrics and operators. */
  get workers(): ReadonlyMap<string, CellWorker> {
    return this.#ledger.workers;
  }

  /** Takes a batch; its outcome follows as an `end` action, possibly at once. */
  offer(order: TaskBatch, nowMs: number): void {
    const expectedMs = this.#runTimes.expectedMs(order.queue, order.estimateMs);
    const notBeforeMs = order.mayRun ? this.#adoptionEndMs(nowMs) : 0;
    const batch = new Batch(order, expectedMs, notBeforeMs, nowMs);
    this.#priorities.set(order.queue, order.priority);
    const refusal = this.#refusal(batch, nowMs);
    if (refusal) {
      this.#end(batch, refusal, nowMs);
      return;
    }
    this.#batches.set(batch.id, batch);
    this.#claimRuns(batch, nowMs);
    this.#decide('batch-queued', {
      ...describe(batch),
      objectiveInMs: Math.round(batch.objectiveAtMs - nowMs),
      deadlineInMs: Math.round(order.deadlineInMs),
      expectedMs: Math.round(expectedMs),
      begun: order.begun,
      mayRun: order.mayRun,
    });
    if (batch.isDone) this.#finish(batch, { type: 'done' }, nowMs);
    this.#place(nowMs);
  }

  /** Ends a batch that nobody waits for any more, and stops its runs. */
  withdraw(batchId: string, reason: BatchReason, nowMs: number): void {
    const batch = this.#batches.get(batchId);
    if (!batch) return;
    this.#giveUp(batch, reason, nowMs);
    this.#place(nowMs);
  }

  /** Answers all batches because another host takes the cell over; runs go on under their leases. */
  handOver(nowMs: number): void {
    this.#batches.forEach((batch) => {
      const outcome: BatchOutcome = batch.started
        ? { type: 'lost', reason: BatchReason.handedOver, settled: false }
        : { type: 'refused', reason: BatchReason.handedOver, retryAfterMs: 0 };
      this.#batches.delete(batch.id);
      this.#end(batch, outcome, nowMs);
    });
  }

  setWorkers(entries: readonly WorkerEntry[], nowMs: number): void {
    this.#ledger.setWorkers(entries, nowMs);
    this.#place(nowMs);
  }

  startAnswered(
    task: string,
    run: number,
    workerId: string,
    answer: StartAnswer,
    nowMs: number,
  ): void {
    this.#ledger.startAnswered(runKey(task, run), workerId, answer, nowMs);
    this.#place(nowMs);
  }

  stopConfirmed(task: string, run: number, workerId: string, nowMs: number): void {
    this.#ledger.stopConfirmed(runKey(task, run), workerId, nowMs);
  }

  report(workerId: string, report: WorkerReport, nowMs: number): void {
    this.#ledger.report(workerId, report, nowMs);
    this.#checkProgress(workerId, nowMs);
    this.#endDone(nowMs);
    this.#releaseTasks(nowMs);
    this.#place(nowMs);
  }

  workerSilent(workerId: string, nowMs: number): void {
    const worker = this.#ledger.workers.get(workerId);
    if (!worker?.reachable) return;
    this.#ledger.silent(workerId);
    this.#decide('worker-silent', { worker: workerId, runs: worker.runs.size });
    this.#giveUpHopeless(nowMs);
  }

  workerRestarted(workerId: string, nowMs: number): void {
    this.#decide('worker-restarted', { worker: workerId });
    this.#ledger.restarted(workerId, nowMs);
    this.#place(nowMs);
  }

  /** A renewal or start was sent to a worker: its leases end by `leasesEndMs`. */
  renewed(workerId: string, leasesEndMs: number): void {
    this.#ledger.renewed(workerId, leasesEndMs);
  }

  tick(nowMs: number): void {
    this.#ledger.tick(nowMs);
    this.#ledger.dropMissing(this.#options.missingGraceMs, nowMs);
    this.#stopUnclaimed(nowMs);
    this.#giveUpHopeless(nowMs);
    this.#place(nowMs);
  }

  /** Time from which a task that no worker lists is surely not running. */
  #adoptionEndMs(nowMs: number): number {
    return this.#allReported() ? nowMs : this.#ownedSinceMs + this.#options.leaseMs;
  }

  #allReported(): boolean {
    const workers = [...this.#ledger.workers.values()];
    return workers.length > 0 && workers.every(({ reported }) => reported);
  }

  /** Once every worker has told what runs on it, the rest of a batch may start. */
  #releaseTasks(nowMs: number): void {
    if (!this.#allReported()) return;
    this.#batches.forEach((batch) => batch.release(nowMs));
  }

  #refusal(batch: Batch, nowMs: number): BatchOutcome | null {
    const { order } = batch;
    const demand = demandOf(batch, order.tasks.length);
    this.#arrivals.observe(order.queue, demand, nowMs);
    if (order.begun || order.mayRun) return null;
    const workers = this.#workersFor(order.service);
    const open = workers.filter((worker) => worker.isOpen(nowMs));
    if (open.length === 0) return refuse(BatchReason.noWorkers, LEAST_RETRY_MS);
    if (!workers.some((worker) => worker.couldRun(order.shape))) {
      return refuse(BatchReason.impossible, MOST_RETRY_MS);
    }
    const endMs = this.#forecastEndMs(batch, open, nowMs);
    const marginMs = batch.expectedMs * ADMISSION_MARGIN;
    const lateMs = endMs + marginMs - batch.objectiveAtMs;
    if (lateMs <= 0 || this.#fitsNow(batch, open, nowMs)) return null;
    return refuse(BatchReason.overloaded, lateMs);
  }

  #forecastEndMs(batch: Batch, open: readonly CellWorker[], nowMs: number): number {
    const order = this.#order(nowMs);
    const ahead = this.#demandsAhead(batch, order, nowMs);
    const demand = demandOf(batch, batch.order.tasks.length);
    const isLent = !order.isBelowShare(batch.order.queue);
    const usable = isLent ? withoutReserve(open) : open;
    return forecastEndMs(usable, ahead, demand, nowMs);
  }

  /** True if all tasks of the batch could start at once, with nothing waiting before them. */
  #fitsNow(batch: Batch, open: readonly CellWorker[], nowMs: number): boolean {
    if ([...this.#batches.values()].some(({ waitingCount }) => waitingCount > 0)) return false;
    const demand = demandOf(batch, batch.order.tasks.length);
    const endMs = forecastEndMs(open, [], demand, nowMs);
    return endMs <= nowMs + batch.expectedMs * slowestOf(open);
  }

  #workersFor(service: string): readonly CellWorker[] {
    return [...this.#ledger.workers.values()].filter(({ entry }) => entry.service === service);
  }

  /** Work that is served before a new batch: what waits, and what will have come by its start. */
  #demandsAhead(batch: Batch, order: QueueOrder, nowMs: number): readonly Demand[] {
    const { queue, priority } = batch.order;
    const waiting = [...this.#batches.values()].filter((other) => {
      const { queue: name, priority: urgency } = other.order;
      if (other.waitingCount === 0) return false;
      if (name === queue) return other.latestStartMs <= batch.latestStartMs;
      return order.precedes(name, urgency, queue, priority);
    });
    const ahead = waiting.map((other) => demandOf(other, other.waitingCount));
    return [...ahead, ...this.#foreseenAhead(batch, order, nowMs)];
  }

  #foreseenAhead(batch: Batch, order: QueueOrder, nowMs: number): readonly Demand[] {
    const { queue, priority } = batch.order;
    const horizonMs = batch.latestStartMs - nowMs;
    const isLent = !order.isBelowShare(queue);
    return this.#arrivals.queues().flatMap((name) => {
      const isUrgent = (this.#priorities.get(name) ?? 0) < priority;
      const isServedFirst = isUrgent || (isLent && order.isBelowShare(name));
      if (name === queue || !isServedFirst) return [];
      const limit = isLent && isUrgent ? Infinity : order.shareCpuMillis;
      const foreseen = this.#arrivals.foresee(name, horizonMs, limit, nowMs);
      return foreseen ? [foreseen] : [];
    });
  }

  /** Who uses what of the cell at this moment. */
  #order(nowMs: number): QueueOrder {
    const used = new Map<string, number>();
    let capacity = 0;
    this.#ledger.workers.forEach((worker) => {
      if (worker.isOpen(nowMs)) capacity += worker.entry.cpuMillis;
      worker.runs.forEach(({ queue, shape }) => {
        used.set(queue, (used.get(queue) ?? 0) + shape.cpuMillis);
      });
    });
    const active = new Set(used.keys());
    this.#batches.forEach(({ order }) => active.add(order.queue));
    return new QueueOrder(capacity, used, active, (queue) =>
      this.#arrivals.cpuMillisOf(queue, nowMs),
    );
  }

  /** Finds runs of the batch's tasks that are in progress or have ended without a claim. */
  #claimRuns(batch: Batch, nowMs: number): void {
    const superseded = new Set<Batch>();
    batch.tasks.forEach((task) => {
      const run = this.#ledger.find(task.name);
      if (run) {
        const before = run.batchId === null ? undefined : this.#batches.get(run.batchId);
        if (before) superseded.add(before);
        this.#claim(batch, task, run);
      } else if (batch.order.mayRun) {
        this.#claimEnd(task);
      }
    });
    superseded.forEach((before) => this.#giveUp(before, BatchReason.superseded, nowMs));
  }

  /** A worker has told of a run after the batch that waits for it had come. */
  #found(name: string): void {
    const batch = [...this.#batches.values()].find(
      (candidate) => candidate.order.mayRun && candidate.task(name)?.workerId === null,
    );
    const entry = batch?.task(name);
    if (!batch || !entry || entry.done) return;
    const run = this.#ledger.find(name);
    if (run) this.#claim(batch, entry, run);
    else this.#claimEnd(entry);
  }

  #claim(batch: Batch, task: TaskEntry, run: Run): void {
    const claimed = run;
    const entry = task;
    claimed.batchId = batch.id;
    claimed.shape = batch.order.shape;
    claimed.queue = batch.order.queue;
    claimed.expectedMs = batch.expectedMs;
    entry.workerId = run.workerId;
    entry.lastRun = Math.max(entry.lastRun, run.run);
    batch.markStarted();
    this.#decide('run-claimed', { task: run.task, run: run.run, worker: run.workerId });
  }

  #claimEnd(task: TaskEntry): void {
    const end = this.#ledger.takeUnclaimedEnd(task.name);
    if (!end) return;
    const entry = task;
    entry.lastRun = Math.max(entry.lastRun, end.run);
    entry.notBeforeMs = 0;
    if (end.end === RunEnd.succeeded) entry.done = true;
    if (end.end === RunEnd.failed) entry.failures += 1;
  }

  #place(nowMs: number): void {
    const queues = groupByQueue(this.#batches.values());
    if (queues.length === 0) return;
    const order = this.#order(nowMs);
    const reserved = new Set<string>();
    let blocked = 0;
    let queue = nextQueue(queues, order);
    while (queue && blocked <= BACKFILL_BATCHES) {
      const batch = queue.batches.shift();
      if (batch && !this.#placeBatch(batch, order, reserved, nowMs)) blocked += 1;
      queue = nextQueue(queues, order);
    }
  }

  /** Ends batches whose last task turned out to have succeeded under the previous owner. */
  #endDone(nowMs: number): void {
    this.#batches.forEach((batch) => {
      if (batch.isDone) this.#finish(batch, { type: 'done' }, nowMs);
    });
  }

  /** Starts what finds room; false if a task of the batch has to wait. */
  #placeBatch(batch: Batch, order: QueueOrder, reserved: Set<string>, nowMs: number): boolean {
    const { shape, service, jobId } = batch.order;
    const workers = this.#workersFor(service);
    return batch.waiting(nowMs).every((task) => {
      if (!this.#mayUse(order, batch, nowMs)) return false;
      const query: PlacementQuery = { shape, task, jobId, reserved, nowMs };
      const worker = choosePlace(workers, query);
      if (worker) {
        this.#start(batch, task, worker, nowMs);
        order.use(batch.order.queue, shape.cpuMillis);
        return true;
      }
      const reservation = chooseReservation(workers, query);
      if (reservation) reserved.add(reservation.entry.id);
      return false;
    });
  }

  /** A queue above its share leaves the reserve free; a job that has begun is finished. */
  #mayUse(order: QueueOrder, batch: Batch, nowMs: number): boolean {
    if (batch.isBegun || order.isBelowShare(batch.order.queue)) return true;
    let free = 0;
    this.#ledger.workers.forEach((worker) => {
      if (worker.isOpen(nowMs)) free += worker.freeCpuMillis;
    });
    return free - batch.order.shape.cpuMillis >= order.reserveCpuMillis;
  }

  #start(batch: Batch, task: TaskEntry, worker: CellWorker, nowMs: number): void {
    const entry = task;
    const { queue, shape, jobId, payload } = batch.order;
    entry.lastRun += 1;
    entry.workerId = worker.entry.id;
    batch.markStarted();
    const run = createRun(
      {
        task: task.name,
        run: task.lastRun,
        workerId: worker.entry.id,
        shape,
        queue,
        jobId,
        batchId: batch.id,
        expectedMs: batch.expectedMs * worker.slowness,
        startExpiresMs: nowMs + this.#options.leaseMs,
      },
      nowMs,
    );
    this.#ledger.add(run);
    this.#actions.push({
      type: 'start',
      workerId: worker.entry.id,
      task: task.name,
      run: task.lastRun,
      payload,
    });
    this.#decide('placed', {
      jobId,
      task: task.name,
      run: task.lastRun,
      worker: worker.entry.id,
      waitedMs: Math.round(nowMs - batch.arrivedAtMs),
      freeCpuMillis: worker.freeCpuMillis,
      slowness: Number(worker.slowness.toFixed(2)),
      expectedMs: Math.round(run.expectedMs),
    });
  }

  #started(run: Run): void {
    const batch = run.batchId === null ? undefined : this.#batches.get(run.batchId);
    batch?.markStarted();
  }

  #notStarted(run: Run, answer: StartAnswer, nowMs: number): void {
    this.#decide('start-refused', { task: run.task, run: run.run, worker: run.workerId, answer });
    const found = this.#taskOf(run);
    if (!found) return;
    found.task.workerId = null;
    // The worker knows a higher number of this task, from a submission that is gone.
    if (answer === StartAnswer.stale) found.task.lastRun = found.task.lastRun * 2 + 1;
    if (answer === StartAnswer.invalid) this.#giveUp(found.batch, BatchReason.impossible, nowMs);
  }

  #runEnded(run: Run, end: RunEnd, worker: CellWorker, nowMs: number): void {
    const runTimeMs = nowMs - run.startedAtMs;
    this.#decide('run-ended', {
      jobId: run.jobId,
      task: run.task,
      run: run.run,
      worker: run.workerId,
      end,
      runTimeMs: Math.round(runTimeMs),
    });
    this.#judge(run, end, worker, runTimeMs, nowMs);
    const found = this.#taskOf(run);
    if (!found) return;
    const { batch, task } = found;
    task.workerId = null;
    if (end === RunEnd.succeeded) {
      task.done = true;
      if (batch.isDone) this.#finish(batch, { type: 'done' }, nowMs);
      return;
    }
    if (end === RunEnd.failed) {
      task.failures += 1;
      task.avoided.add(run.workerId);
      if (task.failures >= batch.order.maxAttempts) {
        this.#finish(batch, { type: 'failed', task: task.name }, nowMs);
        return;
      }
    }
    if (!this.#canEnd(batch, nowMs)) this.#giveUp(batch, BatchReason.deadline, nowMs);
  }

  #judge(run: Run, end: RunEnd, worker: CellWorker, runTimeMs: number, nowMs: number): void {
    if (run.queue === '') return;
    if (end === RunEnd.succeeded) {
      const ordinaryMs = run.expectedMs / worker.slowness;
      this.#runTimes.learn(run.queue, runTimeMs / worker.slowness);
      worker.learnSlowness(runTimeMs / ordinaryMs);
      worker.health.observe('succeeded', false, run.startedAtMs, nowMs);
    }
    if (end !== RunEnd.failed) return;
    const failsElsewhere = (this.#taskOf(run)?.task.failures ?? 0) > 0;
    if (worker.health.observe('failed', failsElsewhere, run.startedAtMs, nowMs)) {
      this.#decide('worker-avoided', { worker: worker.entry.id, reason: 'failures' });
    }
  }

  #taskOf(run: Run): { readonly batch: Batch; readonly task: TaskEntry } | null {
    const batch = run.batchId === null ? undefined : this.#batches.get(run.batchId);
    const task = batch?.task(run.task);
    return batch && task ? { batch, task } : null;
  }

  /** Judges the progress of a worker's runs after a report. */
  #checkProgress(workerId: string, nowMs: number): void {
    const worker = this.#ledger.workers.get(workerId);
    if (!worker) return;
    [...worker.runs.values()].forEach((run) => {
      const found = this.#taskOf(run);
      if (!found || run.state !== RunState.running) return;
      const { batch, task } = found;
      const slowed = isSlowedByWorker(run, this.#comparisonOf(run, worker));
      if (slowed && isWorthMoving(run, batch.expectedMs, nowMs)) {
        this.#move(run, task, worker, nowMs);
      } else if (!slowed && isTooSlowFor(run, batch.deadlineAtMs)) {
        this.#giveUp(batch, BatchReason.deadline, nowMs);
      }
    });
  }

  #comparisonOf(run: Run, worker: CellWorker): Comparison {
    const siblings: Run[] = [];
    this.#ledger.workers.forEach((other) => {
      if (other === worker) return;
      other.runs.forEach((sibling) => {
        if (sibling.batchId === run.batchId) siblings.push(sibling);
      });
    });
    const neighbours = [...worker.runs.values()].filter(({ jobId }) => jobId !== run.jobId);
    return { siblings, neighbours };
  }

  /** Stops a run that its worker slows down; it starts elsewhere when its end is listed. */
  #move(run: Run, task: TaskEntry, worker: CellWorker, nowMs: number): void {
    this.#decide('run-moved', {
      jobId: run.jobId,
      task: run.task,
      run: run.run,
      worker: run.workerId,
      percent: run.percent,
      elapsedMs: Math.round(nowMs - run.startedAtMs),
      expectedMs: Math.round(run.expectedMs),
    });
    task.avoided.add(run.workerId);
    const slow = worker;
    slow.restUntilMs = Math.max(worker.restUntilMs, nowMs + SLOW_REST_MS);
    this.#ledger.stop(run, nowMs);
  }

  #stopUnclaimed(nowMs: number): void {
    this.#ledger.workers.forEach((worker) => {
      worker.runs.forEach((run) => {
        const unclaimed = run.batchId === null && run.state === RunState.running;
        if (unclaimed && nowMs - run.startedAtMs > CLAIM_WINDOW_MS) this.#ledger.stop(run, nowMs);
      });
    });
  }

  /** True if the batch could still end before its deadline. */
  #canEnd(batch: Batch, nowMs: number): boolean {
    return batch.tasks.every((task) => {
      if (task.done) return true;
      const worker = task.workerId === null ? null : this.#ledger.workers.get(task.workerId);
      if (worker?.reachable) return nowMs < batch.deadlineAtMs;
      const freeFromMs = worker ? worker.leasesEndMs : task.notBeforeMs;
      return Math.max(nowMs, freeFromMs) + batch.expectedMs <= batch.deadlineAtMs;
    });
  }

  #giveUpHopeless(nowMs: number): void {
    this.#batches.forEach((batch) => {
      const tooLate = !batch.isBegun && nowMs > batch.latestStartMs;
      if (tooLate) this.#giveUp(batch, BatchReason.overloaded, nowMs);
      else if (!this.#canEnd(batch, nowMs)) this.#giveUp(batch, BatchReason.deadline, nowMs);
    });
  }

  #giveUp(batch: Batch, reason: BatchReason, nowMs: number): void {
    if (!this.#batches.has(batch.id)) return;
    const outcome: BatchOutcome = batch.started
      ? { type: 'lost', reason, settled: false }
      : refuse(reason, nowMs - batch.objectiveAtMs);
    this.#finish(batch, outcome, nowMs);
  }

  #finish(batch: Batch, outcome: BatchOutcome, nowMs: number): void {
    this.#batches.delete(batch.id);
    this.#ledger.workers.forEach((worker) => {
      worker.runs.forEach((run) => {
        if (run.batchId === batch.id && run.state !== RunState.stopping)
          this.#ledger.stop(run, nowMs);
      });
    });
    this.#end(batch, outcome, nowMs);
  }

  #end(batch: Batch, outcome: BatchOutcome, nowMs: number): void {
    this.#actions.push({ type: 'end', batchId: batch.id, outcome });
    this.#decide('batch-ended', {
      ...describe(batch),
      ...outcome,
      outcome: outcome.type,
      elapsedMs: Math.round(nowMs - batch.arrivedAtMs),
      batchesWaiting: this.#batches.size,
    });
  }

  #decide(decision: string, fields: DecisionFields): void {
    this.#actions.push({ type: 'decision', decision, fields: { cell: this.id, ...fields } });
  }
}
