/**
 * The load of each domain as last reported by its scheduler, and the slots that this host has
 * requested since. The tasks of a job are spread so that the load of the domains stays equal for
 * its team. The host's own domain is preferred while its load is about that of the others.
 */
import type { Resources } from './job';
import type { LoadSummary } from './messages';
import { fitsTotal } from './workerTable';

/** Summaries older than this are ignored. */
const SUMMARY_VALID_MS = 2000;
/**
 * Fraction of another domain's free slots that one host may request between two summaries. All
 * hosts get the same summary, and together they must not request much more than is free.
 */
const REMOTE_FRACTION = 0.34;
/**
 * Weight of a slot that is guaranteed to the team but lent to another one, relative to a free slot.
 * It is returned soon, when the task on it ends.
 */
const HEADROOM_WEIGHT = 0.5;
/** Deducted from the load level of the own domain, as a fraction of its slots. */
const LOCAL_PREFERENCE = 0.05;
/** Difference of load levels, as a fraction of slots, above which a waiting request may move. */
const MOVE_ADVANTAGE = 0.1;

/** Number of tasks of a job that are placed in one domain. */
export interface Portion {
  readonly domain: string;
  readonly count: number;
}

/** Tasks of one job that need slots. */
export interface SlotDemand {
  readonly team: string;
  readonly count: number;
  readonly resources: Resources;
}

interface Load {
  readonly summary: LoadSummary;
  readonly atMs: number;
  requestedSlots: number;
}

/** Loads of all domains. */
export class DomainLoads {
  readonly #ownDomain: string;

  readonly #loads = new Map<string, Load>();

  constructor(ownDomain: string) {
    this.#ownDomain = ownDomain;
  }

  update(summary: LoadSummary, nowMs: number): void {
    this.#loads.set(summary.domain, { summary, atMs: nowMs, requestedSlots: 0 });
  }

  remove(domain: string): void {
    this.#loads.delete(domain);
  }

  /** Records slots that this host has requested since the last summary. */
  recordRequest(domain: string, count: number): void {
    const load = this.#loads.get(domain);
    if (load) load.requestedSlots += count;
  }

  capacitySlots(domain: string, nowMs: number): number {
    return this.#currentLoad(domain, nowMs)?.summary.capacitySlots ?? 0;
  }

  /** Free slots of a domain that this host may request. */
  freeSlots(domain: string, nowMs: number): number {
    const load = this.#currentLoad(domain, nowMs);
    if (!load) return 0;
    const { freeSlots } = load.summary;
    const usable = domain === this.#ownDomain ? freeSlots : Math.ceil(freeSlots * REMOTE_FRACTION);
    return Math.max(0, usable - load.requestedSlots);
  }

  /** True if the load of every domain is known and none has a worker of this size. */
  isImpossible(resources: Resources, domains: readonly string[], nowMs: number): boolean {
    if (domains.length === 0) return false;
    return domains.every((domain) => {
      const load = this.#currentLoad(domain, nowMs);
      return (
        load !== null &&
        load.summary.capacitySlots > 0 &&
        !fitsTotal(load.summary.largest, resources)
      );
    });
  }

  canRun(domain: string, resources: Resources, nowMs: number): boolean {
    const load = this.#currentLoad(domain, nowMs);
    return load !== null && fitsTotal(load.summary.largest, resources);
  }

  /**
   * Splits the tasks of a job over the domains that can run them, each to the one with least load.
   */
  split(
    demand: SlotDemand,
    domains: readonly string[],
    spill: boolean,
    nowMs: number,
  ): readonly Portion[] {
    const candidates = spill ? this.#candidates(demand, domains, nowMs) : [];
    const [first, ...others] = candidates.map((domain) => ({
      domain,
      level: this.#loadLevel(domain, demand.team, nowMs),
      step: 1 / Math.max(1, this.#currentLoad(domain, nowMs)?.summary.capacitySlots ?? 1),
      count: 0,
    }));
    if (!first || others.length === 0) {
      return [{ domain: first?.domain ?? this.#ownDomain, count: demand.count }];
    }
    for (let task = 0; task < demand.count; task += 1) {
      const lowest = others.reduce((low, next) => (next.level < low.level ? next : low), first);
      lowest.count += 1;
      lowest.level += lowest.step;
    }
    return [first, ...others]
      .filter(({ count }) => count > 0)
      .map(({ domain, count }) => ({ domain, count }));
  }

  /** True if a domain can start all tasks at once, as far as its load is known. */
  hasRoomFor({ team, count, resources }: SlotDemand, domain: string, nowMs: number): boolean {
    const load = this.#currentLoad(domain, nowMs);
    if (!load || !this.canRun(domain, resources, nowMs)) return false;
    return this.#loadLevel(domain, team, nowMs) * load.summary.capacitySlots + count <= 0;
  }

  /** Number of a team's waiting tasks that may move from one domain to another. */
  movableTasks(team: string, from: string, to: string, nowMs: number): number {
    const target = this.#currentLoad(to, nowMs);
    if (!target) return 0;
    const gain = this.#loadLevel(from, team, nowMs) - this.#loadLevel(to, team, nowMs);
    return gain > MOVE_ADVANTAGE ? this.freeSlots(to, nowMs) : 0;
  }

  /** Domains that can run the tasks, the own domain first. */
  #candidates(demand: SlotDemand, domains: readonly string[], nowMs: number): readonly string[] {
    const capable = domains.filter((domain) => this.canRun(domain, demand.resources, nowMs));
    const own = capable.filter((domain) => domain === this.#ownDomain);
    return [...own, ...capable.filter((domain) => domain !== this.#ownDomain)];
  }

  /** Load of a domain for a team: its waiting tasks less the free slots, per slot of the domain. */
  #loadLevel(domain: string, team: string, nowMs: number): number {
    const load = this.#currentLoad(domain, nowMs);
    if (!load) return Infinity;
    const { summary, requestedSlots } = load;
    const teamLoad = summary.teams.find((entry) => entry.team === team);
    const queued = teamLoad?.queuedTasks ?? 0;
    const isOwn = domain === this.#ownDomain;
    const free = isOwn ? summary.freeSlots : summary.freeSlots * REMOTE_FRACTION;
    const usable = Math.max(free, (teamLoad?.headroomSlots ?? 0) * HEADROOM_WEIGHT);
    const level = (queued + requestedSlots - usable) / Math.max(1, summary.capacitySlots);
    return isOwn ? level - LOCAL_PREFERENCE : level;
  }

  #currentLoad(domain: string, nowMs: number): Load | null {
    const load = this.#loads.get(domain);
    return load && nowMs - load.atMs < SUMMARY_VALID_MS ? load : null;
  }
}
