/** What the parts of a cell's decision logic share. */
import type { CellAction, DecisionFields } from './actions';
import { Arrivals } from './arrivals';
import type { Batch, TaskEntry } from './batch';
import type { BatchOutcome, BatchReason } from './messages';
import { QueueOrder } from './queueOrder';
import { RunState, type Run } from './run';
import { RunLedger, type RunEvents } from './runLedger';
import { RunTimes } from './runTimes';
import type { CellWorker } from './worker';

/** Figures of a cell; all in milliseconds. */
export interface CellOptions {
  /** Longest time from the last renewal of a lease until all that it covers has ended. */
  readonly leaseMs: number;
  /** All that runs for a submitter is over so long after it was last heard. */
  readonly submitterTimeoutMs: number;
  /** Time in which an owner notices that a submitter has turned away, and stops its runs. */
  readonly abandonDetectionMs: number;
  /** A worker that the list has lacked for so long is gone. */
  readonly missingGraceMs: number;
}

const LEAST_RETRY_MS = 100;
const MOST_RETRY_MS = 10_000;

/** A refusal; `lateMs` says by how much the batch would have missed its objective. */
export function refusalOf(reason: BatchReason, lateMs: number): BatchOutcome {
  const retryAfterMs = Math.ceil(Math.min(MOST_RETRY_MS, Math.max(LEAST_RETRY_MS, lateMs)));
  return { type: 'refused', reason, retryAfterMs };
}

/** Fields that name a batch in the log. */
export function describeBatch(batch: Batch): DecisionFields {
  const { jobId, queue, priority, tasks } = batch.order;
  return { batchId: batch.id, jobId, queue, priority, tasks: tasks.length };
}

/** Batches, runs and what has been learned, of one cell. */
export class CellState {
  readonly id: string;

  readonly options: CellOptions;

  readonly ledger: RunLedger;

  readonly runTimes = new RunTimes();

  readonly arrivals = new Arrivals();

  readonly batches = new Map<string, Batch>();

  #actions: CellAction[] = [];

  constructor(id: string, options: CellOptions, events: RunEvents) {
    this.id = id;
    this.options = options;
    this.ledger = new RunLedger(options.leaseMs, events, (action) => this.push(action));
  }

  push(action: CellAction): void {
    this.#actions.push(action);
  }

  /** Actions since the last call, in order. */
  take(): readonly CellAction[] {
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }

  decide(decision: string, fields: DecisionFields): void {
    this.push({ type: 'decision', decision, fields: { cell: this.id, ...fields } });
  }

  openWorkers(nowMs: number): readonly CellWorker[] {
    return [...this.ledger.workers.values()].filter((worker) => worker.isOpen(nowMs));
  }

  workersFor(service: string): readonly CellWorker[] {
    return [...this.ledger.workers.values()].filter(({ entry }) => entry.service === service);
  }

  /** Time for which runs of a batch may go on unless its submitter is heard again. */
  contactLeftMs({ contact }: Batch): number {
    return this.options.submitterTimeoutMs - contact.silentMs();
  }

  /** Longest time that a lease for all that runs on a worker may last from now on. */
  leaseLimitMs(workerId: string): number {
    const worker = this.ledger.workers.get(workerId);
    if (!worker) return Infinity;
    if (worker.holdsLeftOver) return 0;
    let limitMs = Infinity;
    worker.runs.forEach(({ batchId }) => {
      const batch = batchId === null ? undefined : this.batches.get(batchId);
      if (batch) limitMs = Math.min(limitMs, this.contactLeftMs(batch));
    });
    return limitMs;
  }

  /** The batch that waits for a run, with the run's task. */
  taskOf(run: Run): { readonly batch: Batch; readonly task: TaskEntry } | null {
    const batch = run.batchId === null ? undefined : this.batches.get(run.batchId);
    const task = batch?.task(run.task);
    return batch && task ? { batch, task } : null;
  }

  /** Who uses what of the cell at this moment. */
  queueOrder(nowMs: number): QueueOrder {
    const used = new Map<string, number>();
    let capacity = 0;
    this.ledger.workers.forEach((worker) => {
      if (worker.isOpen(nowMs)) capacity += worker.entry.cpuMillis;
      worker.runs.forEach(({ queue, shape }) => {
        used.set(queue, (used.get(queue) ?? 0) + shape.cpuMillis);
      });
    });
    const active = new Set(used.keys());
    this.batches.forEach(({ order }) => active.add(order.queue));
    return new QueueOrder(capacity, used, active, (queue) =>
      this.arrivals.cpuMillisOf(queue, nowMs),
    );
  }

  /** Gives a batch up: what runs of it is stopped, and its outcome is told at once. */
  giveUp(batch: Batch, reason: BatchReason, nowMs: number): void {
    if (!this.batches.has(batch.id)) return;
    const outcome: BatchOutcome = batch.started
      ? { type: 'lost', reason, ...batch.progress(nowMs) }
      : refusalOf(reason, nowMs - batch.objectiveAtMs);
    this.finish(batch, outcome, nowMs);
  }

  /** Ends a batch and stops what still runs of it. */
  finish(batch: Batch, outcome: BatchOutcome, nowMs: number): void {
    this.batches.delete(batch.id);
    const reason = 'reason' in outcome ? outcome.reason : outcome.type;
    batch.tasks.forEach(({ name }) => {
      this.ledger.runsOf(name).forEach((run) => {
        if (run.batchId !== batch.id) return;
        const leftOver = run;
        leftOver.awaited = false;
        if (run.state !== RunState.stopping) this.ledger.stop(run, reason, nowMs);
      });
    });
    this.end(batch, outcome, nowMs);
  }

  /** Tells the outcome of a batch. */
  end(batch: Batch, outcome: BatchOutcome, nowMs: number): void {
    this.push({ type: 'end', batchId: batch.id, outcome });
    this.decide('batch-ended', {
      ...describeBatch(batch),
      ...outcome,
      outcome: outcome.type,
      elapsedMs: Math.round(nowMs - batch.arrivedAtMs),
      batchesWaiting: this.batches.size,
    });
  }
}
