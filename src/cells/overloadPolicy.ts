/**
 * Decides who waits and who is refused while a cell has too little room. The policy in force is a
 * setting of the deployment. Every policy keeps the shares: waiting work of a queue below its share
 * precedes that of a queue above it, so that a flood of one queue leaves the others their share.
 */
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
  /**
   * Fraction of the capacity that queues above their share leave free for those below. `shortfall`
   * is the fraction that a wide job would lack beyond what runs release within its slack.
   */
  reserveFraction(shortfall: () => number): number;
}

/** Compares two queues; below 0 if the left one is served first. */
export type QueueCriterion = (left: QueueStanding, right: QueueStanding) => number;

/** The queue that uses less CPU first. */
export const byUsage: QueueCriterion = (left, right) => left.usedCpuMillis - right.usedCpuMillis;

/** The more urgent queue first. */
export const byPriority: QueueCriterion = (left, right) => left.priority - right.priority;

/** True if the first criterion that tells the queues apart puts `queue` first. */
export function isFirst(
  criteria: readonly QueueCriterion[],
  queue: QueueStanding,
  other: QueueStanding,
): boolean {
  const gaps = criteria.map((criterion) => criterion(queue, other));
  return (gaps.find((gap) => gap !== 0) ?? 0) < 0;
}
