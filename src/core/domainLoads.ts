/**
 * The load of each domain as its scheduler last reported it, less what this host has asked for since.
 * Work goes to the host's own domain first and to others when they have room and can be reached.
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
/** Another domain's queue must be this much shorter before work that has to wait goes there. */
const WAIT_ADVANTAGE_MS = 20;

/** A part of a job for one domain. */
export interface Portion {
  readonly domain: string;
  readonly count: number;
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

  /** Slots that this host may count on in a domain. */
  freeSlots(domain: string, nowMs: number): number {
    const load = this.#fresh(domain, nowMs);
    if (!load) return 0;
    const { freeSlots } = load.summary;
    const usable = domain === this.#ownDomain ? freeSlots : Math.ceil(freeSlots * FOREIGN_FRACTION);
    return Math.max(0, usable - load.askedSlots);
  }

  waitMs(domain: string, nowMs: number): number {
    return this.#fresh(domain, nowMs)?.summary.waitMs ?? Infinity;
  }

  /** True if every domain has been heard of and none has a worker of this size. */
  isImpossible(resources: Resources, domains: readonly string[], nowMs: number): boolean {
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

  /**
   * Splits `count` tasks over the domains: free slots of the own domain first, then of others; what
   * is left waits in the domain with the shortest queue.
   */
  split(
    count: number,
    resources: Resources,
    domains: readonly string[],
    spill: boolean,
    nowMs: number,
  ): readonly Portion[] {
    const others = domains.filter(
      (domain) => domain !== this.#ownDomain && this.couldRun(domain, resources, nowMs),
    );
    if (!spill || others.length === 0) return [{ domain: this.#ownDomain, count }];
    const portions = new Map<string, number>();
    const ownFits =
      !this.#fresh(this.#ownDomain, nowMs) || this.couldRun(this.#ownDomain, resources, nowMs);
    let left = count;
    const take = (domain: string, wanted: number) => {
      const taken = Math.min(left, wanted);
      if (taken > 0) portions.set(domain, (portions.get(domain) ?? 0) + taken);
      left -= taken;
    };
    if (ownFits) take(this.#ownDomain, this.freeSlots(this.#ownDomain, nowMs));
    this.#byFreeSlots(others, nowMs).forEach((domain) => {
      take(domain, this.freeSlots(domain, nowMs));
    });
    take(this.#shortestQueue(ownFits, others, nowMs), left);
    return [...portions].map(([domain, portion]) => ({ domain, count: portion }));
  }

  #byFreeSlots(domains: readonly string[], nowMs: number): readonly string[] {
    return [...domains].sort((a, b) => this.freeSlots(b, nowMs) - this.freeSlots(a, nowMs));
  }

  #shortestQueue(ownFits: boolean, others: readonly string[], nowMs: number): string {
    const [shortest = this.#ownDomain] = [...others].sort(
      (a, b) => this.waitMs(a, nowMs) - this.waitMs(b, nowMs),
    );
    if (!ownFits) return shortest;
    const ownWaitMs = this.waitMs(this.#ownDomain, nowMs);
    const isShorter = this.waitMs(shortest, nowMs) + WAIT_ADVANTAGE_MS < ownWaitMs;
    return isShorter && Number.isFinite(ownWaitMs) ? shortest : this.#ownDomain;
  }

  #fresh(domain: string, nowMs: number): Load | null {
    const load = this.#loads.get(domain);
    return load && nowMs - load.atMs < SUMMARY_VALID_MS ? load : null;
  }
}
