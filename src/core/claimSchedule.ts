/**
 * Schedule of claims. A submitter claims its grants periodically, so that a lost release message
 * occupies a slot for a limited time only. Claims list every grant, so their period grows with the
 * domain's slots, which bounds the traffic to its scheduler.
 */

const MIN_PERIOD_MS = 5000;
const PERIOD_MS_PER_SLOT = 14;

/** Period of claims to the scheduler of a domain with `slots` slots. */
export function claimsPeriodMs(slots: number): number {
  return Math.max(MIN_PERIOD_MS, PERIOD_MS_PER_SLOT * slots);
}

/** When one submitter last sent claims, by domain. */
export class ClaimSchedule {
  readonly #claimedAtMs = new Map<string, number>();

  /** True if claims to the domain are due. Records them as sent in that case. */
  markSentIfDue(domain: string, slots: number, nowMs: number): boolean {
    const lastMs = this.#claimedAtMs.get(domain) ?? -Infinity;
    if (nowMs - lastMs < claimsPeriodMs(slots)) return false;
    this.#claimedAtMs.set(domain, nowMs);
    return true;
  }
}
