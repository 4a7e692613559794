/**
 * The order in which queues are served. Each queue that has work is guaranteed an equal share of the
 * cell; queues below their share come first, the one that uses least at the front, then the more urgent. So a flood of one queue, urgent
 * or not, leaves the others their share, and what nobody claims is lent.
 */
import type { Batch } from './batch';

/**
 * Part of a cell that lent capacity leaves free: tasks end too rarely for an urgent job of several tasks
 * to find room in time where longer tasks fill every worker.
 */
export const RESERVE_FRACTION = 0.12;

/** Queues of a cell at one moment, with the processor that each uses. */
export class QueueOrder {
  readonly #capacityCpuMillis: number;

  readonly #used: Map<string, number>;

  readonly #demandOf: (queue: string) => number;

  readonly #activeCount: number;

  /** `demandOf` gives the processor that a queue's arrivals have lately kept busy. */
  constructor(
    capacityCpuMillis: number,
    used: ReadonlyMap<string, number>,
    activeQueues: ReadonlySet<string>,
    demandOf: (queue: string) => number,
  ) {
    this.#capacityCpuMillis = capacityCpuMillis;
    this.#used = new Map(used);
    this.#activeCount = Math.max(1, activeQueues.size);
    this.#demandOf = demandOf;
  }

  /** Processor that is guaranteed to each queue. */
  get shareCpuMillis(): number {
    return this.#capacityCpuMillis / this.#activeCount;
  }

  use(queue: string, cpuMillis: number): void {
    this.#used.set(queue, (this.#used.get(queue) ?? 0) + cpuMillis);
  }

  /** Processor that queues above their share leave free for those below. */
  get reserveCpuMillis(): number {
    return this.#capacityCpuMillis * RESERVE_FRACTION;
  }

  /** A large job of a queue that brings less than its share does not put the queue above it. */
  isBelowShare(queue: string): boolean {
    const used = this.#used.get(queue) ?? 0;
    return Math.min(used, this.#demandOf(queue)) < this.shareCpuMillis;
  }

  /** True if waiting work of the first queue goes before that of the second. */
  precedes(queue: string, priority: number, other: string, otherPriority: number): boolean {
    const below = this.isBelowShare(queue);
    if (below !== this.isBelowShare(other)) return below;
    const ahead = (this.#used.get(other) ?? 0) - (this.#used.get(queue) ?? 0);
    if (below && ahead !== 0) return ahead > 0;
    return priority < otherPriority;
  }
}

/** Waiting batches of one queue, the one that must start first at the front. */
export interface WaitingQueue {
  readonly name: string;
  readonly priority: number;
  readonly batches: Batch[];
}

/** Groups batches by queue. */
export function groupByQueue(batches: Iterable<Batch>): readonly WaitingQueue[] {
  const groups = new Map<string, WaitingQueue>();
  Array.from(batches).forEach((batch) => {
    if (batch.waitingCount === 0) return;
    const { queue, priority } = batch.order;
    const group = groups.get(queue) ?? { name: queue, priority, batches: [] };
    group.batches.push(batch);
    groups.set(queue, group);
  });
  groups.forEach(({ batches: waiting }) =>
    waiting.sort((left, right) => left.latestStartMs - right.latestStartMs),
  );
  return [...groups.values()];
}

/** The queue to serve next, or null if nothing waits. */
export function nextQueue(queues: readonly WaitingQueue[], order: QueueOrder): WaitingQueue | null {
  return queues.reduce<WaitingQueue | null>((best, queue) => {
    if (queue.batches.length === 0) return best;
    if (best === null) return queue;
    const first = order.precedes(queue.name, queue.priority, best.name, best.priority);
    return first ? queue : best;
  }, null);
}
