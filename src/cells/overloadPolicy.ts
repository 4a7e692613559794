/**
 * Decides who waits and who is refused while a cell has too little room. The policy in force is a
 * setting of the deployment. Every policy keeps the shares: waiting work of a queue below its share
 * precedes that of a queue above it, so that a flood of one queue leaves the others their share.
 */
import type { Batch } from './batch';

/** Names of the policies, as in the settings. */
export const OverloadPolicyName = {
  /** Refuses all that misses its objective. */
  equalShares: 'equal-shares',
  /** Delays or refuses first what costs its caller least. */
  leastCost: 'least-cost',
} as const;
export type OverloadPolicyName = (typeof OverloadPolicyName)[keyof typeof OverloadPolicyName];

/** What decides the order of a queue against another. */
export interface QueueStanding {
  readonly isBelowShare: boolean;
  readonly usedCpuMillis: number;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** Decisions of a cell that has too little room. */
export interface OverloadPolicy {
  readonly name: OverloadPolicyName;
  /** True if a job that misses its objective may be served later instead of being refused. */
  readonly servesLate: boolean;
  /** True if waiting work of `queue` is served before that of `other`. */
  precedes(queue: QueueStanding, other: QueueStanding): boolean;
  /** Latest start of a waiting batch that has not begun; it is given up after this time. */
  lastStartMs(batch: Batch): number;
}
