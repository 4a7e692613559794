/**
 * Order in which queues are served, by fair share. Each queue that has work is guaranteed an equal
 * share of the cell. Queues below their share precede those above it; the overload policy orders
 * the others. A flood of one queue, urgent or not, therefore leaves the others their share, and
 * queues may use capacity above their share that is otherwise idle. Before all queues come begun
 * batches of queues below their share: a job ends with its last task, so those that wait keep the
 * others from being of use.
 */
import type { Batch } from './batch';
import type { OverloadPolicy, QueueStanding } from './overloadPolicy';

/** Queues of a cell at one moment, with the CPU that each uses. */
export class QueueOrder {
  readonly #capacityCpuMillis: number;

  readonly #used: Map<string, number>;

  readonly #demandOf: (queue: string) => number;

  readonly #activeCount: number;

  readonly #policy: OverloadPolicy;

  readonly #shortfallCpuMillis: () => number;

  #reserveFraction: number | null = null;

  /**
   * `demandOf` returns the CPU that the recent arrivals of a queue require on average,
   * `shortfallCpuMillis` what a wide job would lack beyond what runs release within its slack.
   */
  constructor(
    policy: OverloadPolicy,
    capacityCpuMillis: number,
    used: ReadonlyMap<string, number>,
    activeQueues: ReadonlySet<string>,
    demandOf: (queue: string) => number,
    shortfallCpuMillis: () => number,
  ) {
    this.#policy = policy;
    this.#shortfallCpuMillis = shortfallCpuMillis;
    this.#capacityCpuMillis = capacityCpuMillis;
    this.#used = new Map(used);
    this.#activeCount = Math.max(1, activeQueues.size);
    this.#demandOf = demandOf;
  }

  /** CPU that is guaranteed to each queue. */
  get shareCpuMillis(): number {
    return this.#capacityCpuMillis / this.#activeCount;
  }

  addUsage(queue: string, cpuMillis: number): void {
    this.#used.set(queue, (this.#used.get(queue) ?? 0) + cpuMillis);
  }

  /** CPU that queues above their share leave free for those below. */
  get reserveCpuMillis(): number {
    return this.#capacityCpuMillis * this.reserveFraction;
  }

  /** The reserve as a fraction of the capacity. */
  get reserveFraction(): number {
    const shortfall = () => this.#shortfallCpuMillis() / Math.max(1, this.#capacityCpuMillis);
    this.#reserveFraction ??= this.#policy.reserveFraction(shortfall);
    return this.#reserveFraction;
  }

  /**
   * Compares the lower of usage and demand with the share, so that a single large job does not put
   * a queue above its share when its average demand is below.
   */
  isBelowShare(queue: string): boolean {
    const used = this.#used.get(queue) ?? 0;
    return Math.min(used, this.#demandOf(queue)) < this.shareCpuMillis;
  }

  /** True if waiting work of `queue` is served before that of `other`. */
  precedes(queue: string, priority: number, other: string, otherPriority: number): boolean {
    return this.#policy.precedes(
      this.#standingOf(queue, priority),
      this.#standingOf(other, otherPriority),
    );
  }

  #standingOf(queue: string, priority: number): QueueStanding {
    const isBelowShare = this.isBelowShare(queue);
    return { isBelowShare, usedCpuMillis: this.#used.get(queue) ?? 0, priority };
  }
}

/** True if the rest of a batch is served before all batches that have not begun. */
export function goesOnFirst(batch: Batch, order: QueueOrder): boolean {
  return batch.isBegun && order.isBelowShare(batch.spec.queue);
}

/** Waiting batches of one queue, ordered by latest start. */
export interface WaitingQueue {
  readonly name: string;
  readonly priority: number;
  readonly batches: Batch[];
}

function byLatestStart(left: Batch, right: Batch): number {
  return left.latestStartMs - right.latestStartMs;
}

/** Returns the batches that go on first, those that must start first at the front. */
export function begunFirst(batches: readonly Batch[], order: QueueOrder): readonly Batch[] {
  return batches.filter((batch) => goesOnFirst(batch, order)).sort(byLatestStart);
}

/** Groups batches by queue. */
export function groupByQueue(batches: readonly Batch[]): readonly WaitingQueue[] {
  const groups = new Map<string, WaitingQueue>();
  batches.forEach((batch) => {
    const { queue, priority } = batch.spec;
    const group = groups.get(queue) ?? { name: queue, priority, batches: [] };
    group.batches.push(batch);
    groups.set(queue, group);
  });
  groups.forEach(({ batches: waiting }) => waiting.sort(byLatestStart));
  return [...groups.values()];
}

/** Returns the queue to serve next, or null if no batch is left. */
export function nextQueue(queues: readonly WaitingQueue[], order: QueueOrder): WaitingQueue | null {
  return queues.reduce<WaitingQueue | null>((best, queue) => {
    if (queue.batches.length === 0) return best;
    if (best === null) return queue;
    const first = order.precedes(queue.name, queue.priority, best.name, best.priority);
    return first ? queue : best;
  }, null);
}
