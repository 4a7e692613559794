/**
 * The load of each domain as its scheduler last reported it, and what this host has asked for since.
 * A job's tasks are spread so that the domains fill up evenly for its team; the host's own domain is
 * preferred while it is about as empty as the others.
 */
import type { Resources } from './job';
import type { LoadSummary } from './messages';
import { fitsTotal } from './workerTable';

/** Summaries older than this say nothing. */
const SUMMARY_VALID_MS = 2000;
/**
 * Part of another domain's free slots that one host may ask for between two summaries; all hosts see
 * the same summary, and together they must not ask for much more than there is.
 */
const FOREIGN_FRACTION = 0.34;
/** A slot that is guaranteed but lent out counts as this part of a free one: it comes back soon. */
const HEADROOM_WORTH = 0.5;
/** The own domain counts as this much emptier, as a fraction of its slots. */
const OWN_PREFERENCE = 0.05;
/** A waiting request moves only to a domain that is this much emptier, as a fraction of its slots. */
const MOVE_ADVANTAGE = 0.1;

/** A part of a job for one domain. */
export interface Portion {
  readonly domain: string;
  readonly count: number;
}

/** Tasks of one job that need slots. */
export interface Work {
  readonly team: string;
  readonly count: number;
  readonly resources: Resources;
}

interface Load {
  readonly summary: LoadSummary;
  readonly atMs: number;
  askedSlots: number;
}

/** Loads of all domains. */
export class DomainLoads {
  readonly #ownDomain: string;

  readonly #loads = new Map<string, Load>();

  constructor(ownDomain: string) {
    this.#ownDomain = ownDomain;
  }

  update(summary: LoadSummary, nowMs: number): void {
    this.#loads.set(summary.domain, { summary, atMs: nowMs, askedSlots: 0 });
  }

  forget(domain: string): void {
    this.#loads.delete(domain);
  }

  /** Accounts for slots that this host has asked for. */
  ask(domain: string, count: number): void {
    const load = this.#loads.get(domain);
    if (load) load.askedSlots += count;
  }

  capacitySlots(domain: string, nowMs: number): number {
    return this.#fresh(domain, nowMs)?.summary.capacitySlots ?? 0;
  }

  /** Slots that this host may count on in a domain. */
  freeSlots(domain: string, nowMs: number): number {
    const load = this.#fresh(domain, nowMs);
    if (!load) return 0;
    const { freeSlots } = load.summary;
    const usable = domain === this.#ownDomain ? freeSlots : Math.ceil(freeSlots * FOREIGN_FRACTION);
    return Math.max(0, usable - load.askedSlots);
  }

  /** True if every domain has been heard of and none has a worker of this size. */
  isImpossible(resources: Resources, domains: readonly string[], nowMs: number): boolean {
    if (domains.length === 0) return false;
    return domains.every((domain) => {
      const load = this.#fresh(domain, nowMs);
      return (
        load !== null &&
        load.summary.capacitySlots > 0 &&
        !fitsTotal(load.summary.largest, resources)
      );
    });
  }

  couldRun(domain: string, resources: Resources, nowMs: number): boolean {
    const load = this.#fresh(domain, nowMs);
    return load !== null && fitsTotal(load.summary.largest, resources);
  }

  /** Splits the tasks of a job over the domains that could run them, the emptiest first. */
  split(work: Work, domains: readonly string[], spill: boolean, nowMs: number): readonly Portion[] {
    const candidates = spill ? this.#candidates(work, domains, nowMs) : [];
    const [first, ...others] = candidates.map((domain) => ({
      domain,
      level: this.#level(domain, work.team, nowMs),
      step: 1 / Math.max(1, this.#fresh(domain, nowMs)?.summary.capacitySlots ?? 1),
      count: 0,
    }));
    if (!first || others.length === 0) {
      return [{ domain: first?.domain ?? this.#ownDomain, count: work.count }];
    }
    for (let task = 0; task < work.count; task += 1) {
      const lowest = others.reduce((low, next) => (next.level < low.level ? next : low), first);
      lowest.count += 1;
      lowest.level += lowest.step;
    }
    return [first, ...others]
      .filter(({ count }) => count > 0)
      .map(({ domain, count }) => ({ domain, count }));
  }

  /** True if a domain could take the work about at once. */
  hasRoomFor({ team, count, resources }: Work, domain: string, nowMs: number): boolean {
    const load = this.#fresh(domain, nowMs);
    if (!load || !this.couldRun(domain, resources, nowMs)) return false;
    return this.#level(domain, team, nowMs) * load.summary.capacitySlots + count <= 0;
  }

  /** How many of a team's waiting tasks should move from one domain to another. */
  movable(team: string, from: string, to: string, nowMs: number): number {
    const target = this.#fresh(to, nowMs);
    if (!target) return 0;
    const gain = this.#level(from, team, nowMs) - this.#level(to, team, nowMs);
    return gain > MOVE_ADVANTAGE ? this.freeSlots(to, nowMs) : 0;
  }

  /** Domains that could run the work, the own one first; it stands in while nothing is known. */
  #candidates(work: Work, domains: readonly string[], nowMs: number): readonly string[] {
    const able = domains.filter((domain) => this.couldRun(domain, work.resources, nowMs));
    const own = able.filter((domain) => domain === this.#ownDomain);
    return [...own, ...able.filter((domain) => domain !== this.#ownDomain)];
  }

  /** Tasks of the team that wait, less free slots, per slot of the domain. */
  #level(domain: string, team: string, nowMs: number): number {
    const load = this.#fresh(domain, nowMs);
    if (!load) return Infinity;
    const { summary, askedSlots } = load;
    const teamLoad = summary.teams.find((entry) => entry.team === team);
    const queued = teamLoad?.queuedTasks ?? 0;
    const isOwn = domain === this.#ownDomain;
    const free = isOwn ? summary.freeSlots : summary.freeSlots * FOREIGN_FRACTION;
    const usable = Math.max(free, (teamLoad?.headroomSlots ?? 0) * HEADROOM_WORTH);
    const level = (queued + askedSlots - usable) / Math.max(1, summary.capacitySlots);
    return isOwn ? level - OWN_PREFERENCE : level;
  }

  #fresh(domain: string, nowMs: number): Load | null {
    const load = this.#loads.get(domain);
    return load && nowMs - load.atMs < SUMMARY_VALID_MS ? load : null;
  }
}
