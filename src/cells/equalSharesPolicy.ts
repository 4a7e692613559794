/**
 * Overload policy that refuses whatever misses its objective. Queues below their share are ordered
 * by usage, lowest first, then by priority; queues above it by priority.
 */
import {
  byPriority,
  byUsage,
  isFirst,
  OverloadPolicyName,
  type OverloadPolicy,
  type QueueStanding,
} from './overloadPolicy';

/**
 * Fraction of a cell's capacity that queues above their share leave free. Where long tasks fill
 * every worker, tasks end too rarely for an urgent job of several tasks to find room in time.
 */
const RESERVE_FRACTION = 0.12;

/** The policy of equal shares. */
export class EqualSharesPolicy implements OverloadPolicy {
  readonly name = OverloadPolicyName.equalShares;

  readonly servesLate = false;

  readonly #reserveFraction = RESERVE_FRACTION;

  readonly #belowShare = [byUsage, byPriority];

  readonly #aboveShare = [byPriority];

  precedes(queue: QueueStanding, other: QueueStanding): boolean {
    if (queue.isBelowShare !== other.isBelowShare) return queue.isBelowShare;
    return isFirst(queue.isBelowShare ? this.#belowShare : this.#aboveShare, queue, other);
  }

  reserveFraction(): number {
    return this.#reserveFraction;
  }
}
