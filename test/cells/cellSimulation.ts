/**
 * Simulates a cell and its workers in virtual time. The workers behave as those of the platform do:
 * they refuse tasks that do not fit, end runs when their lease expires, and list ends until
 * acknowledged.
 */
import { Cell } from '../../src/cells/cell';
import { RunOutcome, StartAnswer, type CellAction } from '../../src/cells/actions';
import { CrashHistory } from '../../src/cells/crashHistory';
import type { BatchOutcome, TaskBatch } from '../../src/cells/messages';
import { OverloadPolicyName } from '../../src/cells/overloadPolicy';
import { SimulatedWorker, workerEntry, type SimulatedRun } from './simulatedWorker';

const LEASE_MS = 1000;
const RENEWAL_INTERVAL_MS = 250;
const TICK_MS = 20;
const ONE_WAY_MS = 0.5;
/** Time from the crash of a worker until another process answers in its place. */
const RESTART_MS = 3000;

/** A batch offered to the cell, its outcome and the time of that outcome. */
export interface BatchRecord {
  readonly batch: TaskBatch;
  readonly offeredAtMs: number;
  readonly objectiveAtMs: number;
  outcome: BatchOutcome | null;
  endedAtMs: number;
}

let batchCount = 0;

/** Builds a batch whose tasks take 60 ms on 27 cores unless overridden. */
export function batchOf(
  overrides: Partial<TaskBatch> & { readonly taskCount?: number } = {},
): TaskBatch {
  batchCount += 1;
  const { taskCount = 1, ...rest } = overrides;
  const jobId = rest.jobId ?? `job${batchCount}`;
  return {
    batchId: `batch-${batchCount}`,
    jobId,
    queue: 'unlock',
    service: 'kiosk-dispatch',
    priority: 0,
    maxAttempts: 2,
    payload: 'x',
    shape: {
      cpuMillis: 27_000,
      memoryMb: 64,
      accelerators: 0,
      requiredLabel: null,
      preferredRack: null,
      tasksPerWorker: null,
    },
    estimateMs: 60,
    tasks: Array.from({ length: taskCount }, (_, index) => ({
      name: `${jobId}.0.0.${index}`,
      failures: 0,
      lastRun: 0,
      mayRun: rest.mayRun ?? false,
    })),
    slackFactor: 1.6,
    goalMs: 60,
    waitedMs: 0,
    otherStepsMs: 0,
    deadlineInMs: 2000,
    begun: false,
    mayRun: false,
    ...rest,
  };
}

/** A cell and its workers; `advance` moves virtual time forward. */
export class CellSimulation {
  readonly cell: Cell;

  readonly workers: readonly SimulatedWorker[];

  readonly records = new Map<string, BatchRecord>();

  /** All starts that workers have carried out. */
  readonly starts: { task: string; run: number; worker: string; atMs: number }[] = [];

  /** Starts of a task while another run of it was in progress. */
  readonly overlaps: string[] = [];

  /** Workers that have crashed, in order. */
  readonly crashedWorkers: string[] = [];

  /** Tasks that crash each worker that starts them, 5 ms after the start. */
  readonly crashingTasks = new Set<string>();

  /** Lost workers, as the host knows them; several cells may share them. */
  readonly crashes: CrashHistory;

  /** Times that the cell has asked for the list of workers. */
  listRequests = 0;

  readonly decisions: { decision: string; fields: Readonly<Record<string, unknown>> }[] = [];

  readonly #runMs: (batch: TaskBatch, task?: string) => number;

  readonly #scheduled: { atMs: number; callback: () => void }[] = [];

  readonly #batchOfTask = new Map<string, TaskBatch>();

  nowMs: number;

  constructor(
    workers: readonly SimulatedWorker[],
    nowMs = 0,
    runMs: (batch: TaskBatch, task?: string) => number = (batch) => batch.estimateMs,
    reportImmediately = true,
    crashes?: CrashHistory,
    overloadPolicy: OverloadPolicyName = OverloadPolicyName.equalShares,
  ) {
    this.nowMs = nowMs;
    this.workers = workers;
    this.#runMs = runMs;
    this.crashes = crashes ?? new CrashHistory(() => this.nowMs, 120_000);
    const options = {
      leaseMs: 1050,
      submitterTimeoutMs: 1300,
      abandonDetectionMs: 1000,
      missingGraceMs: 2500,
      maxEntryAgeMs: 3000,
      overloadPolicy,
    };
    this.cell = new Cell('sofia-a', options, this.crashes);
    this.readEntries();
    if (reportImmediately) workers.forEach((worker) => this.#renew(worker));
    this.#act();
  }

  static withWorkers(count: number, cpuMillis = 64_000): CellSimulation {
    return new CellSimulation(
      Array.from({ length: count }, (_, index) => CellSimulation.worker(`w${index}`, cpuMillis)),
    );
  }

  static worker(id: string, cpuMillis = 64_000): SimulatedWorker {
    return new SimulatedWorker(workerEntry(id, cpuMillis));
  }

  offer(batch: TaskBatch): BatchRecord {
    const record: BatchRecord = {
      batch,
      offeredAtMs: this.nowMs,
      objectiveAtMs: this.nowMs + batch.slackFactor * this.#runMs(batch) + batch.goalMs,
      outcome: null,
      endedAtMs: 0,
    };
    this.records.set(batch.batchId, record);
    batch.tasks.forEach(({ name }) => this.#batchOfTask.set(name, batch));
    this.cell.offer(batch, this.nowMs);
    this.#act();
    return record;
  }

  /** Advances virtual time by `durationMs` in steps of one millisecond. */
  advance(durationMs: number): void {
    const untilMs = this.nowMs + durationMs;
    while (this.nowMs < untilMs) {
      this.nowMs += 1;
      this.#step();
    }
  }

  /** Passes the current entries of all workers to the cell. */
  readEntries(): void {
    const entries = this.workers.map(({ entry }) => entry);
    this.cell.setWorkers({ entries, readAtMs: this.nowMs }, this.nowMs);
    this.#act();
  }

  /** Ends a worker's process. The owner notices at once, and a new process answers later. */
  crash(worker: SimulatedWorker): void {
    if (worker.isDown) return;
    worker.crash();
    this.crashedWorkers.push(worker.entry.id);
    this.cell.workerSilent(worker.entry.id, this.nowMs);
    const callback = () => {
      worker.restart(this.nowMs);
      this.readEntries();
      this.cell.workerRestarted(worker.entry.id, this.nowMs);
      this.#renew(worker);
    };
    this.#scheduled.push({ atMs: this.nowMs + RESTART_MS, callback });
  }

  /** Number of batches of a queue by outcome. */
  tally(queue: string): {
    inTime: number;
    late: number;
    refused: number;
    other: number;
    all: number;
  } {
    const records = [...this.records.values()].filter(({ batch }) => batch.queue === queue);
    const done = records.filter(({ outcome }) => outcome?.type === 'done');
    const inTime = done.filter((record) => record.endedAtMs <= record.objectiveAtMs).length;
    const refused = records.filter(({ outcome }) => outcome?.type === 'refused').length;
    const late = done.length - inTime;
    return {
      inTime,
      late,
      refused,
      other: records.length - inTime - late - refused,
      all: records.length,
    };
  }

  #step(): void {
    const due = this.#scheduled.filter(({ atMs }) => atMs <= this.nowMs);
    due.forEach((event) => this.#scheduled.splice(this.#scheduled.indexOf(event), 1));
    due.forEach(({ callback }) => callback());
    this.workers.forEach((worker) => this.#stepWorker(worker));
    if (this.nowMs % TICK_MS === 0) this.cell.tick(this.nowMs);
    this.#act();
  }

  #stepWorker(simulated: SimulatedWorker): void {
    const worker = simulated;
    if (worker.isDown) return;
    const before = worker.ended.length;
    [...worker.runs.entries()].forEach(([key, run]) => {
      if (!worker.faults.hangs && run.endsAtMs <= this.nowMs) worker.finish(key, run.end);
      else if (worker.leaseEndsAtMs <= this.nowMs) worker.finish(key, RunOutcome.lapsed);
    });
    if (worker.faults.silent) {
      worker.silentSinceMs ??= this.nowMs;
      if (this.nowMs - worker.silentSinceMs >= RENEWAL_INTERVAL_MS)
        this.cell.workerSilent(worker.entry.id, this.nowMs);
      return;
    }
    worker.silentSinceMs = null;
    if (worker.ended.length > before || this.nowMs >= worker.nextRenewalMs) this.#renew(worker);
  }

  #renew(simulated: SimulatedWorker): void {
    const worker = simulated;
    worker.nextRenewalMs = this.nowMs + RENEWAL_INTERVAL_MS;
    const ended = worker.ended.slice(worker.reportedCount);
    worker.reportedCount = worker.ended.length;
    this.cell.report(
      worker.entry.id,
      {
        sentAtMs: this.nowMs,
        processStartMs: worker.processStartMs,
        ended,
        running: [...worker.runs.values()].map((run) => ({
          task: run.task,
          run: run.run,
          percent: this.#percentOf(worker, run),
        })),
      },
      this.nowMs,
    );
    this.#extendLeases(worker);
  }

  #extendLeases(simulated: SimulatedWorker): void {
    const worker = simulated;
    const limitMs = (this.cell.leaseLimitMs(worker.entry.id) - 30) / 1.02;
    const leaseMs = Math.min(LEASE_MS, limitMs);
    if (leaseMs <= 0) return;
    worker.leaseEndsAtMs = this.nowMs + leaseMs;
    this.cell.renewed(worker.entry.id, this.nowMs + leaseMs * 1.02 + 30);
  }

  #percentOf({ faults }: SimulatedWorker, run: SimulatedRun): number {
    if (faults.hangs) return 0;
    const totalMs = run.endsAtMs - run.startedAtMs;
    return Math.floor((100 * (this.nowMs - run.startedAtMs)) / totalMs);
  }

  #act(): void {
    let actions = this.cell.takeActions();
    while (actions.length > 0) {
      actions.forEach((action) => this.#perform(action));
      actions = this.cell.takeActions();
    }
  }

  #perform(action: CellAction): void {
    if (action.type === 'decision') this.decisions.push(action);
    if (action.type === 'readWorkers') this.listRequests += 1;
    if (action.type === 'end') {
      const record = this.records.get(action.batchId);
      if (record) {
        record.outcome = action.outcome;
        record.endedAtMs = this.nowMs;
      }
    }
    if (action.type !== 'start' && action.type !== 'stop') return;
    const worker = this.workers.find(({ entry }) => entry.id === action.workerId);
    if (worker?.isDown) {
      if (action.type === 'start') this.#answerStart(action, StartAnswer.unhealthy, 1);
      return;
    }
    if (!worker || worker.faults.silent) {
      if (action.type === 'start') this.#answerStart(action, StartAnswer.unclear, 250);
      return;
    }
    if (action.type === 'start') this.#start(worker, action);
    else this.#stop(worker, action);
  }

  #start(worker: SimulatedWorker, action: Extract<CellAction, { type: 'start' }>): void {
    const batch = this.#batchOfTask.get(action.task);
    if (!batch) return;
    const { cpuMillis } = batch.shape;
    if (worker.usedCpuMillis + cpuMillis > worker.entry.cpuMillis) {
      this.#answerStart(action, StartAnswer.noRoom, 2 * ONE_WAY_MS);
      return;
    }
    this.#recordOverlap(action.task);
    this.starts.push({
      task: action.task,
      run: action.run,
      worker: worker.entry.id,
      atMs: this.nowMs,
    });
    const runMs = this.#runMs(batch, action.task) * worker.faults.slowness;
    worker.runs.set(`${action.task}#${action.run}`, {
      task: action.task,
      run: action.run,
      cpuMillis,
      startedAtMs: this.nowMs,
      endsAtMs: this.nowMs + runMs,
      end: worker.faults.fails ? RunOutcome.failed : RunOutcome.succeeded,
    });
    if (this.crashingTasks.has(action.task)) {
      this.#scheduled.push({ atMs: this.nowMs + 5, callback: () => this.crash(worker) });
    }
    if (worker.faults.losesStartAnswers) this.#answerStart(action, StartAnswer.unclear, 250);
    else this.#answerStart(action, StartAnswer.accepted, 2 * ONE_WAY_MS);
  }

  #recordOverlap(task: string): void {
    const running = this.workers.some(({ runs }) =>
      [...runs.values()].some((run) => run.task === task),
    );
    if (running) this.overlaps.push(`${task} at ${this.nowMs} ms`);
  }

  #answerStart(
    { task, run, workerId }: Extract<CellAction, { type: 'start' }>,
    answer: StartAnswer,
    delayMs: number,
  ): void {
    const callback = () => this.cell.startAnswered(task, run, workerId, answer, this.nowMs);
    this.#scheduled.push({ atMs: this.nowMs + delayMs, callback });
  }

  #stop(worker: SimulatedWorker, { task, run }: Extract<CellAction, { type: 'stop' }>): void {
    this.#scheduled.push({
      atMs: this.nowMs + 20,
      callback: () => {
        worker.finish(`${task}#${run}`, RunOutcome.stopped);
        this.cell.stopConfirmed(task, run, worker.entry.id, this.nowMs);
      },
    });
  }
}
