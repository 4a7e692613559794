/**
 * Overload policy that refuses whatever misses its objective. Queues below their share are ordered
 * by usage, lowest first, then by priority; queues above it by priority.
 */
import type { Batch } from './batch';
import { OverloadPolicyName, type OverloadPolicy, type QueueStanding } from './overloadPolicy';

/** The policy of equal shares. */
export class EqualSharesPolicy implements OverloadPolicy {
  readonly name = OverloadPolicyName.equalShares;

  readonly servesLate = false;

  readonly precedes = (queue: QueueStanding, other: QueueStanding): boolean => {
    if (queue.isBelowShare !== other.isBelowShare) return queue.isBelowShare;
    const usageGap = other.usedCpuMillis - queue.usedCpuMillis;
    if (queue.isBelowShare && usageGap !== 0) return usageGap > 0;
    return queue.priority < other.priority;
  };

  readonly lastStartMs = (batch: Batch): number => batch.latestStartMs;
}
