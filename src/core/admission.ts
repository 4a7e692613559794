/**
 * Admission control of slot requests. A request is refused on arrival when the slots that it can
 * expect are too few to start all its tasks within the first half of its deadline. The refusal
 * tells the caller when to retry.
 */
import { leafKey, type RunTimeEstimates } from './estimates';
import type { FairShares } from './fairness';
import { Reason } from './job';
import type { SlotRequest } from './messages';

const START_DEADLINE_FRACTION = 0.5;
const RATE_WINDOW_MS = 1000;
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 30_000;

/** Grants per millisecond of one kind: an average that decays with `RATE_WINDOW_MS`. */
interface GrantRate {
  perMs: number;
  atMs: number;
}

/** Reason of a refusal, and the time after which the caller should retry. */
export interface Refusal {
  readonly reason: Reason;
  readonly retryAfterMs: number;
}

function decayedRate(rate: GrantRate, nowMs: number): number {
  return rate.perMs * Math.exp(-(nowMs - rate.atMs) / RATE_WINDOW_MS);
}

/** Slots of a domain as available to one team. */
export interface AvailableSlots {
  readonly capacitySlots: number;
  /** Slots that could be granted to the team now. */
  readonly freeSlots: number;
}

/** Decides when a request arrives whether it can be served in time. */
export class Admission {
  readonly #shares: FairShares;

  readonly #estimates: RunTimeEstimates;

  readonly #rates = new Map<string, GrantRate>();

  constructor(shares: FairShares, estimates: RunTimeEstimates) {
    this.#shares = shares;
    this.#estimates = estimates;
  }

  /** Records grants to a kind. */
  observeGrants(leaf: string, count: number, nowMs: number): void {
    const rate = this.#rates.get(leaf) ?? { perMs: 0, atMs: nowMs };
    rate.perMs = decayedRate(rate, nowMs) + count / RATE_WINDOW_MS;
    rate.atMs = nowMs;
    this.#rates.set(leaf, rate);
  }

  /**
   * Expected time until `tasks` waiting tasks of a kind have been granted slots. Uses the highest
   * of three rates: the rate of recent grants, the rate that the kind's guaranteed slots give, and
   * the rate that the slots it uses and the free slots give together.
   */
  #expectedWaitMs(
    team: string,
    leaf: string,
    tasks: number,
    load: AvailableSlots,
    nowMs: number,
  ): number {
    const rate = this.#rates.get(leaf);
    const observed = rate ? decayedRate(rate, nowMs) : 0;
    const kinds = Math.max(1, this.#shares.policy(team)?.kinds.size ?? 1);
    const guaranteedSlots = this.#shares.guaranteedSlots(team, load.capacitySlots) / kinds;
    const obtainableSlots = this.#shares.usedByLeaf(leaf) + load.freeSlots;
    const slots = Math.max(guaranteedSlots, obtainableSlots);
    const perMs = Math.max(observed, slots / this.#estimates.meanMs(leaf));
    return perMs > 0 ? tasks / perMs : Infinity;
  }

  /**
   * Null if the request is admitted. `queuedAhead` is the number of waiting tasks of the same kind.
   */
  check(
    request: SlotRequest,
    queuedAhead: number,
    load: AvailableSlots,
    nowMs: number,
  ): Refusal | null {
    const { team, kind, count, deadlineMs } = request;
    if (queuedAhead === 0 && load.freeSlots >= count) return null;
    const leaf = leafKey(team, kind);
    const waiting = queuedAhead + count - load.freeSlots;
    const waitMs = this.#expectedWaitMs(team, leaf, Math.max(0, waiting), load, nowMs);
    const budgetMs = deadlineMs * START_DEADLINE_FRACTION;
    if (waitMs <= budgetMs) return null;
    const reason = this.#shares.belowShare(team, load.capacitySlots)
      ? Reason.overloaded
      : Reason.teamOverLimit;
    const retryAfterMs = Math.min(
      MAX_RETRY_AFTER_MS,
      Math.max(MIN_RETRY_AFTER_MS, waitMs - budgetMs),
    );
    return { reason, retryAfterMs: Math.ceil(retryAfterMs) };
  }
}
