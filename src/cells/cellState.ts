/** State shared by the parts of a cell's decision logic. */
import type { CellAction, DecisionFields } from './actions';
import { Arrivals } from './arrivals';
import type { Batch, TaskEntry } from './batch';
import type { CrashHistory } from './crashHistory';
import type { BatchOutcome, BatchReason } from './messages';
import { EqualSharesPolicy } from './equalSharesPolicy';
import { LeastCostPolicy } from './leastCostPolicy';
import { OverloadPolicyName, type OverloadPolicy } from './overloadPolicy';
import { QueueOrder } from './queueOrder';
import { reserveShortfall } from './reserve';
import { RunState, type Run } from './run';
import { RunTracker, type RunEvents } from './runTracker';
import { RunTimes } from './runTimes';
import type { CellWorker } from './worker';

/** Time limits of a cell, in milliseconds, and its policy under overload. */
export interface CellOptions {
  /** Longest time from the last renewal of a lease until every run that it covers has ended. */
  readonly leaseMs: number;
  /** Every run for a submitter has ended this long after the submitter was last heard from. */
  readonly submitterTimeoutMs: number;
  /** Time within which an owner notices that a submitter no longer uses it, and stops its runs. */
  readonly abandonDetectionMs: number;
  /** A worker that has been missing from the worker list for this long counts as removed. */
  readonly missingGraceMs: number;
  /**
   * Age, in ms, from which the entry of a worker that does not guard its room is not used, as its
   * capacity may have changed since.
   */
  readonly maxEntryAgeMs: number;
  /**
   * True if the workers of a service refuse a start that exceeds their capacity; without it all do.
   */
  readonly guardsRoom?: (service: string) => boolean;
  /** Who waits and who is refused while there is too little room; equal shares by default. */
  readonly overloadPolicy?: OverloadPolicyName;
}

const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 10_000;

/** Builds a refusal; `lateMs` is the time by which the batch would miss its objective. */
export function refusalOf(reason: BatchReason, lateMs: number): BatchOutcome {
  const retryAfterMs = Math.ceil(
    Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, lateMs)),
  );
  return { type: 'refused', reason, retryAfterMs };
}

/** Fields that identify a batch in the log. */
export function describeBatch(batch: Batch): DecisionFields {
  const { jobId, queue, priority, tasks } = batch.spec;
  return { batchId: batch.id, jobId, queue, priority, tasks: tasks.length };
}

/** Batches, runs, learned run times and arrival rates of one cell. */
export class CellState {
  readonly id: string;

  readonly options: CellOptions;

  readonly policy: OverloadPolicy;

  readonly runTracker: RunTracker;

  readonly runTimes = new RunTimes();

  readonly arrivals = new Arrivals();

  readonly batches = new Map<string, Batch>();

  /** Lost workers by task; shared by all cells of this host. */
  readonly crashes: CrashHistory;

  #actions: CellAction[] = [];

  constructor(id: string, options: CellOptions, crashes: CrashHistory, events: RunEvents) {
    this.id = id;
    this.crashes = crashes;
    this.options = options;
    this.policy =
      options.overloadPolicy === OverloadPolicyName.leastCost
        ? new LeastCostPolicy()
        : new EqualSharesPolicy();
    const { maxEntryAgeMs, guardsRoom = () => true } = options;
    const rules = { maxEntryAgeMs, guardsRoom };
    this.runTracker = new RunTracker(options.leaseMs, rules, events, (action) => this.push(action));
  }

  push(action: CellAction): void {
    this.#actions.push(action);
  }

  /** Returns and clears the actions queued since the last call, in order. */
  takeActions(): readonly CellAction[] {
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }

  logDecision(decision: string, fields: DecisionFields): void {
    this.push({ type: 'decision', decision, fields: { cell: this.id, ...fields } });
  }

  availableWorkers(nowMs: number): readonly CellWorker[] {
    return [...this.runTracker.workers.values()].filter((worker) => worker.isAvailable(nowMs));
  }

  workersFor(service: string): readonly CellWorker[] {
    return [...this.runTracker.workers.values()].filter(({ entry }) => entry.service === service);
  }

  /** Time for which runs of a batch may continue unless its submitter is heard from again. */
  contactRemainingMs({ contact }: Batch): number {
    return this.options.submitterTimeoutMs - contact.silentMs();
  }

  /** Upper limit on the duration of a lease granted to a worker now; it covers every run there. */
  leaseLimitMs(workerId: string): number {
    const worker = this.runTracker.workers.get(workerId);
    if (!worker) return Infinity;
    if (worker.hasOrphanedRun || worker.unansweredStarts.mayArrive) return 0;
    let limitMs = Infinity;
    worker.runs.forEach(({ batchId }) => {
      const batch = batchId === null ? undefined : this.batches.get(batchId);
      if (batch) limitMs = Math.min(limitMs, this.contactRemainingMs(batch));
    });
    return limitMs;
  }

  /** The batch that a run belongs to, and its task; null if the batch has ended or is not known. */
  taskOf(run: Run): { readonly batch: Batch; readonly task: TaskEntry } | null {
    const batch = run.batchId === null ? undefined : this.batches.get(run.batchId);
    const task = batch?.task(run.task);
    return batch && task ? { batch, task } : null;
  }

  /** Queue order for the CPU that each queue uses at this moment. */
  queueOrder(nowMs: number): QueueOrder {
    const used = new Map<string, number>();
    let capacity = 0;
    this.runTracker.workers.forEach((worker) => {
      if (worker.isAvailable(nowMs)) capacity += worker.entry.cpuMillis;
      worker.runs.forEach(({ queue, shape }) => {
        used.set(queue, (used.get(queue) ?? 0) + shape.cpuMillis);
      });
    });
    const active = new Set(used.keys());
    this.batches.forEach(({ spec }) => active.add(spec.queue));
    return new QueueOrder(
      this.policy,
      capacity,
      used,
      active,
      (queue) => this.arrivals.cpuMillisOf(queue, nowMs),
      () => reserveShortfall(this.arrivals.typicalBatches(), this.availableWorkers(nowMs), nowMs),
    );
  }

  /** Gives a batch up: stops its runs and reports its outcome without waiting for their ends. */
  giveUp(batch: Batch, reason: BatchReason, nowMs: number): void {
    if (!this.batches.has(batch.id)) return;
    const outcome: BatchOutcome = batch.started
      ? { type: 'lost', reason, ...batch.progress(nowMs) }
      : refusalOf(reason, nowMs - batch.objectiveAtMs);
    this.finish(batch, outcome, nowMs);
  }

  /** Ends a batch and stops those of its runs that are still in progress. */
  finish(batch: Batch, outcome: BatchOutcome, nowMs: number): void {
    this.batches.delete(batch.id);
    const reason = 'reason' in outcome ? outcome.reason : outcome.type;
    batch.tasks.forEach(({ name }) => {
      this.runTracker.runsOf(name).forEach((run) => {
        if (run.batchId !== batch.id) return;
        const orphaned = run;
        orphaned.awaited = false;
        if (run.state !== RunState.stopping) this.runTracker.stop(run, reason, nowMs);
      });
    });
    this.reportOutcome(batch, outcome, nowMs);
  }

  /** Reports and logs the outcome of a batch. */
  reportOutcome(batch: Batch, outcome: BatchOutcome, nowMs: number): void {
    this.push({ type: 'end', batchId: batch.id, outcome });
    this.logDecision('batch-ended', {
      ...describeBatch(batch),
      ...outcome,
      outcome: outcome.type,
      delayed: batch.isDelayed,
      elapsedMs: Math.round(nowMs - batch.arrivedAtMs),
      batchesWaiting: this.batches.size,
    });
  }
}
