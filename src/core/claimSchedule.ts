/**
 * Pace of claims. A submitter claims its grants now and then, so that a lost release costs a slot only
 * for a while. Claims list every grant, so their period grows with the domain's slots, which bounds
 * what its scheduler receives.
 */

const LEAST_PERIOD_MS = 5000;
const PERIOD_MS_PER_SLOT = 14;

/** Period of claims to the scheduler of a domain with `slots` slots. */
export function claimsPeriodMs(slots: number): number {
  return Math.max(LEAST_PERIOD_MS, PERIOD_MS_PER_SLOT * slots);
}

/** Times of one submitter's claims, by domain. */
export class ClaimSchedule {
  readonly #claimedAtMs = new Map<string, number>();

  /** True if claims to the domain are due; they then count as sent. */
  isDue(domain: string, slots: number, nowMs: number): boolean {
    const lastMs = this.#claimedAtMs.get(domain) ?? -Infinity;
    if (nowMs - lastMs < claimsPeriodMs(slots)) return false;
    this.#claimedAtMs.set(domain, nowMs);
    return true;
  }
}
