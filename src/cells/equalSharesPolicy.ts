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

/** The policy of equal shares. */
export class EqualSharesPolicy implements OverloadPolicy {
  readonly name = OverloadPolicyName.equalShares;

  readonly servesLate = false;

  readonly #belowShare = [byUsage, byPriority];

  readonly #aboveShare = [byPriority];

  precedes(queue: QueueStanding, other: QueueStanding): boolean {
    if (queue.isBelowShare !== other.isBelowShare) return queue.isBelowShare;
    return isFirst(queue.isBelowShare ? this.#belowShare : this.#aboveShare, queue, other);
  }
}
