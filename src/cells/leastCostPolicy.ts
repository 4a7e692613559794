/**
 * Overload policy that delays or refuses first what costs its caller least. Queues on the same side
 * of their share are ordered by priority. What misses its objective is served after all that can
 * still meet theirs, as long as its answer is of use to the caller.
 */
import {
  byPriority,
  byUsage,
  isFirst,
  OverloadPolicyName,
  type OverloadPolicy,
  type QueueStanding,
} from './overloadPolicy';

/** The policy of least cost. */
export class LeastCostPolicy implements OverloadPolicy {
  readonly name = OverloadPolicyName.leastCost;

  readonly servesLate = true;

  readonly #criteria = [byPriority, byUsage];

  precedes(queue: QueueStanding, other: QueueStanding): boolean {
    if (queue.isBelowShare !== other.isBelowShare) return queue.isBelowShare;
    return isFirst(this.#criteria, queue, other);
  }
}
