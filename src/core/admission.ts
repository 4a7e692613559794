/**
 * Admission of slot requests. A request is refused on arrival when the slots it can count on are too
 * few to start all its tasks before half of its deadline has gone; the caller is told when to return.
 */
import { leafKey, type RunTimeEstimates } from './estimates';
import type { FairShares } from './fairness';
import { Reason } from './job';
import type { SlotRequest } from './messages';

const BUDGET_FRACTION = 0.5;
const RATE_WINDOW_MS = 1000;
const LEAST_RETRY_MS = 100;
const MOST_RETRY_MS = 30_000;

/** Grants per millisecond of one kind, averaged over about a second. */
interface Rate {
  perMs: number;
  atMs: number;
}

/** A refusal with the time to come back. */
export interface Refusal {
  readonly reason: Reason;
  readonly retryAfterMs: number;
}

function decayed(rate: Rate, nowMs: number): number {
  return rate.perMs * Math.exp(-(nowMs - rate.atMs) / RATE_WINDOW_MS);
}

/** Slots of a domain as they are for one team. */
export interface DomainLoad {
  readonly capacitySlots: number;
  /** Slots that could be granted to the team now. */
  readonly freeSlots: number;
}

/** Decides on arrival whether a request can be served in time. */
export class Admission {
  readonly #shares: FairShares;

  readonly #estimates: RunTimeEstimates;

  readonly #rates = new Map<string, Rate>();

  constructor(shares: FairShares, estimates: RunTimeEstimates) {
    this.#shares = shares;
    this.#estimates = estimates;
  }

  /** Accounts for grants to a kind. */
  observeGrants(leaf: string, count: number, nowMs: number): void {
    const rate = this.#rates.get(leaf) ?? { perMs: 0, atMs: nowMs };
    rate.perMs = decayed(rate, nowMs) + count / RATE_WINDOW_MS;
    rate.atMs = nowMs;
    this.#rates.set(leaf, rate);
  }

  /**
   * Expected time until `tasks` waiting tasks of a kind have been granted slots: at the rate seen
   * lately, or that of its guaranteed slots, or that of the slots it has and those that are free.
   */
  #waitMs(team: string, leaf: string, tasks: number, load: DomainLoad, nowMs: number): number {
    const rate = this.#rates.get(leaf);
    const observed = rate ? decayed(rate, nowMs) : 0;
    const kinds = Math.max(1, this.#shares.policy(team)?.kinds.size ?? 1);
    const guaranteedSlots = this.#shares.guaranteedSlots(team, load.capacitySlots) / kinds;
    const reachableSlots = this.#shares.usedByLeaf(leaf) + load.freeSlots;
    const slots = Math.max(guaranteedSlots, reachableSlots);
    const perMs = Math.max(observed, slots / this.#estimates.meanMs(leaf));
    return perMs > 0 ? tasks / perMs : Infinity;
  }

  /** Null if the request is admitted; `queuedAhead` counts waiting tasks of the same kind. */
  check(
    request: SlotRequest,
    queuedAhead: number,
    load: DomainLoad,
    nowMs: number,
  ): Refusal | null {
    const { team, kind, count, deadlineMs } = request;
    if (queuedAhead === 0 && load.freeSlots >= count) return null;
    const leaf = leafKey(team, kind);
    const waiting = queuedAhead + count - load.freeSlots;
    const waitMs = this.#waitMs(team, leaf, Math.max(0, waiting), load, nowMs);
    const budgetMs = deadlineMs * BUDGET_FRACTION;
    if (waitMs <= budgetMs) return null;
    const reason = this.#shares.belowShare(team, load.capacitySlots)
      ? Reason.overloaded
      : Reason.teamOverLimit;
    const retryAfterMs = Math.min(MOST_RETRY_MS, Math.max(LEAST_RETRY_MS, waitMs - budgetMs));
    return { reason, retryAfterMs: Math.ceil(retryAfterMs) };
  }
}
