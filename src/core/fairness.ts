/**
 * Chooses which kind of work gets the next free slot, in this order: kinds below their part of
 * their team's share, then teams below their share, then the rest by urgency. A team's share is
 * guaranteed; urgency only orders what exceeds the shares. Unused capacity is lent to other teams
 * and returns to its owner as their tasks end; running tasks are not preempted.
 */
import type { Configuration, KindPolicy, TeamPolicy } from '../configuration/policy';

/** The rule by which a slot was granted. Its value is the reason in the decision log. */
export const GrantRule = {
  kindShare: 'kind-share',
  teamShare: 'team-share',
  urgency: 'urgency',
} as const;
export type GrantRule = (typeof GrantRule)[keyof typeof GrantRule];

/** A kind of work with waiting tasks. `leaf` is the key of the team and kind, see `leafKey`. */
export interface Candidate {
  readonly leaf: string;
  readonly team: string;
  readonly kind: string;
}

/** The chosen candidate and the rule that selected it. */
export interface Choice<T extends Candidate> {
  readonly candidate: T;
  readonly rule: GrantRule;
}

const RANK = { [GrantRule.kindShare]: 0, [GrantRule.teamShare]: 1, [GrantRule.urgency]: 2 };
const LEAST_URGENT = 9;
/**
 * Time constant of the moving averages of slots in use. Long enough that a large job of short tasks
 * runs at full speed, short enough that a flood soon counts against the share of its team.
 */
const AVERAGE_WINDOW_MS = 2000;
const AVERAGE_STEP_MS = 5;
/**
 * A moving average approaches its target without reaching it; within half a slot counts as equal.
 */
const AVERAGE_SLACK = 0.5;

function precedes(left: readonly number[], right: readonly number[]): boolean {
  const at = left.findIndex((value, index) => value !== right[index]);
  return at >= 0 && (left[at] ?? 0) < (right[at] ?? 0);
}

/** Slots in use by team and kind, compared with the shares of the configuration in force. */
export class FairShares {
  #teams: Configuration['teams'] = new Map();

  readonly #usedByTeam = new Map<string, number>();

  readonly #usedByLeaf = new Map<string, number>();

  /** Moving averages of the slots in use by team. */
  readonly #averages = new Map<string, number>();

  #averagedAtMs = 0;

  configure(configuration: Configuration): void {
    this.#teams = configuration.teams;
  }

  /** Names of all teams of the configuration. */
  teams(): readonly string[] {
    return [...this.#teams.keys()];
  }

  policy(team: string): TeamPolicy | undefined {
    return this.#teams.get(team);
  }

  kind(team: string, kind: string): KindPolicy | undefined {
    return this.#teams.get(team)?.kinds.get(kind);
  }

  addUsage(team: string, leaf: string, slots: number): void {
    this.#usedByTeam.set(team, this.usedByTeam(team) + slots);
    this.#usedByLeaf.set(leaf, this.usedByLeaf(leaf) + slots);
  }

  /** Updates the moving averages. To be called before `choose`. */
  updateAverages(nowMs: number): void {
    const elapsedMs = nowMs - this.#averagedAtMs;
    if (elapsedMs < AVERAGE_STEP_MS) return;
    this.#averagedAtMs = nowMs;
    const weight = 1 - Math.exp(-elapsedMs / AVERAGE_WINDOW_MS);
    this.#teams.forEach((_, team) => {
      const average = this.#averages.get(team) ?? 0;
      this.#averages.set(team, average + weight * (this.usedByTeam(team) - average));
    });
  }

  usedByTeam(team: string): number {
    return this.#usedByTeam.get(team) ?? 0;
  }

  usedByLeaf(leaf: string): number {
    return this.#usedByLeaf.get(leaf) ?? 0;
  }

  /** Slots that the team's share guarantees: at least one if the share is above 0. */
  guaranteedSlots(team: string, capacity: number): number {
    const share = this.#teams.get(team)?.share ?? 0;
    return share > 0 ? Math.max(1, share * capacity) : 0;
  }

  /** Whole slots that the share guarantees beyond those that count against it. */
  headroom(team: string, capacity: number): number {
    return Math.max(0, Math.floor(this.guaranteedSlots(team, capacity) - this.#chargedSlots(team)));
  }

  belowShare(team: string, capacity: number): boolean {
    return this.#chargedSlots(team) < this.guaranteedSlots(team, capacity);
  }

  withinQuota(team: string): boolean {
    const quota = this.#teams.get(team)?.quotaSlots ?? null;
    return quota === null || this.usedByTeam(team) < quota;
  }

  /** The candidate that gets the next slot. */
  choose<T extends Candidate>(candidates: readonly T[], capacity: number): Choice<T> | null {
    let best: Choice<T> | null = null;
    let bestSortKey: readonly number[] = [];
    candidates.forEach((candidate) => {
      const rule = this.#rule(candidate, capacity);
      const sortKey = this.#sortKey(candidate, rule, capacity);
      if (best === null || precedes(sortKey, bestSortKey)) {
        best = { candidate, rule };
        bestSortKey = sortKey;
      }
    });
    return best;
  }

  /**
   * Slots that count against a team's share: those in use or their moving average, whichever is
   * less. A team that has used less than its share lately may therefore exceed it for a while, so
   * that one large job is not delayed.
   */
  #chargedSlots(team: string): number {
    return Math.min(this.usedByTeam(team), (this.#averages.get(team) ?? 0) + AVERAGE_SLACK);
  }

  #rule(candidate: Candidate, capacity: number): GrantRule {
    if (!this.belowShare(candidate.team, capacity)) return GrantRule.urgency;
    return this.usedByLeaf(candidate.leaf) < this.#guaranteedSlotsOfKind(candidate.team, capacity)
      ? GrantRule.kindShare
      : GrantRule.teamShare;
  }

  #guaranteedSlotsOfKind(team: string, capacity: number): number {
    const kinds = this.#teams.get(team)?.kinds.size ?? 1;
    return Math.max(1, this.guaranteedSlots(team, capacity) / Math.max(1, kinds));
  }

  #sortKey(candidate: Candidate, rule: GrantRule, capacity: number): readonly number[] {
    const { team, leaf } = candidate;
    const urgency = this.kind(team, candidate.kind)?.urgency ?? LEAST_URGENT;
    const teamRatio = this.usedByTeam(team) / Math.max(1, this.guaranteedSlots(team, capacity));
    const kindRatio = this.usedByLeaf(leaf) / this.#guaranteedSlotsOfKind(team, capacity);
    if (rule === GrantRule.kindShare) return [RANK[rule], kindRatio, urgency];
    if (rule === GrantRule.teamShare) return [RANK[rule], teamRatio, urgency];
    return [RANK[rule], urgency, teamRatio, kindRatio];
  }
}
