/**
 * Chooses which kind of work gets the next free slot. Shares are a guarantee, urgency orders what is
 * left: kinds below their part of their team's share come first, then teams below their share, then
 * the most urgent work. Idle capacity is lent and taken back as tasks end.
 */
import type { Configuration, KindPolicy, TeamPolicy } from '../configuration/policy';

/** Which rule granted a slot; also the reason in the decision log. */
export const GrantRule = {
  kindShare: 'kind-share',
  teamShare: 'team-share',
  urgency: 'urgency',
} as const;
export type GrantRule = (typeof GrantRule)[keyof typeof GrantRule];

/** What the choice needs to know of one kind with waiting tasks. */
export interface Contender {
  readonly leaf: string;
  readonly team: string;
  readonly kind: string;
}

/** The choice with the rule that made it. */
export interface Choice<T extends Contender> {
  readonly contender: T;
  readonly rule: GrantRule;
}

const RANK = { [GrantRule.kindShare]: 0, [GrantRule.teamShare]: 1, [GrantRule.urgency]: 2 };
const LEAST_URGENT = 9;
/** Long enough for a large job of short tasks, short enough that a flood is charged soon. */
const AVERAGE_WINDOW_MS = 2000;
const AVERAGE_STEP_MS = 5;
/** A moving average only comes near the value that it follows; half a slot counts as reached. */
const AVERAGE_SLACK = 0.5;

function precedes(left: readonly number[], right: readonly number[]): boolean {
  const at = left.findIndex((value, index) => value !== right[index]);
  return at >= 0 && (left[at] ?? 0) < (right[at] ?? 0);
}

/** Slots in use by team and kind, set against the shares of the configuration in force. */
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

  use(team: string, leaf: string, slots: number): void {
    this.#usedByTeam.set(team, this.usedByTeam(team) + slots);
    this.#usedByLeaf.set(leaf, this.usedByLeaf(leaf) + slots);
  }

  /** Brings the moving averages up to date; call it before choosing. */
  advance(nowMs: number): void {
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

  /** Slots that the team's share guarantees, at least one if it has a share at all. */
  guaranteedSlots(team: string, capacity: number): number {
    const share = this.#teams.get(team)?.share ?? 0;
    return share > 0 ? Math.max(1, share * capacity) : 0;
  }

  /** Whole slots that the share guarantees beyond those in use. */
  headroom(team: string, capacity: number): number {
    return Math.max(0, Math.floor(this.guaranteedSlots(team, capacity) - this.#charged(team)));
  }

  belowShare(team: string, capacity: number): boolean {
    return this.#charged(team) < this.guaranteedSlots(team, capacity);
  }

  withinQuota(team: string): boolean {
    const quota = this.#teams.get(team)?.quotaSlots ?? null;
    return quota === null || this.usedByTeam(team) < quota;
  }

  /** The contender that is served next. */
  choose<T extends Contender>(contenders: readonly T[], capacity: number): Choice<T> | null {
    let best: Choice<T> | null = null;
    let bestOrder: readonly number[] = [];
    contenders.forEach((contender) => {
      const rule = this.#rule(contender, capacity);
      const order = this.#order(contender, rule, capacity);
      if (best === null || precedes(order, bestOrder)) {
        best = { contender, rule };
        bestOrder = order;
      }
    });
    return best;
  }

  /**
   * Slots that count against a team's share: those in use, or its recent average if that is less, so
   * that a large job of a team that has used less than its share is not held up.
   */
  #charged(team: string): number {
    return Math.min(this.usedByTeam(team), (this.#averages.get(team) ?? 0) + AVERAGE_SLACK);
  }

  #rule(contender: Contender, capacity: number): GrantRule {
    if (!this.belowShare(contender.team, capacity)) return GrantRule.urgency;
    return this.usedByLeaf(contender.leaf) < this.#guaranteedOfKind(contender.team, capacity)
      ? GrantRule.kindShare
      : GrantRule.teamShare;
  }

  #guaranteedOfKind(team: string, capacity: number): number {
    const kinds = this.#teams.get(team)?.kinds.size ?? 1;
    return Math.max(1, this.guaranteedSlots(team, capacity) / Math.max(1, kinds));
  }

  #order(contender: Contender, rule: GrantRule, capacity: number): readonly number[] {
    const { team, leaf } = contender;
    const urgency = this.kind(team, contender.kind)?.urgency ?? LEAST_URGENT;
    const teamRatio = this.usedByTeam(team) / Math.max(1, this.guaranteedSlots(team, capacity));
    const kindRatio = this.usedByLeaf(leaf) / this.#guaranteedOfKind(team, capacity);
    if (rule === GrantRule.kindShare) return [RANK[rule], kindRatio, urgency];
    if (rule === GrantRule.teamShare) return [RANK[rule], teamRatio, urgency];
    return [RANK[rule], urgency, teamRatio, kindRatio];
  }
}
