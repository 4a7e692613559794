/**
 * Which of the served cells take tasks: those whose failure domain is not drained. A drain sends the
 * tasks of its domain to owners elsewhere at once, also to those that this host has used little and
 * polls seldom, of which it may not know yet that they are cut off. So during a drain the owners
 * that have answered since it began are preferred.
 */
import type { CellSummary } from '../cells/messages';
import type { Clock } from '../core/clock';
import type { DrainedDomains } from './drainedDomains';

/** Dependencies of `OpenCells`. */
export interface OpenCellsParts {
  readonly domains: readonly string[];
  readonly drains: DrainedDomains;
  readonly domainOf: (cell: string) => string;
  /** True if the owner of a cell is this host or has answered since then. */
  readonly hasAnsweredSince: (cell: string, sinceMs: number) => boolean;
  readonly clock: Clock;
}

/** A cell without an owner is usually taken over within this time. */
const TYPICAL_TAKEOVER_MS = 1500;

/** The cells that take tasks, as one host sees them. */
export class OpenCells {
  readonly #parts: OpenCellsParts;

  /** Last time at which some cell of a domain was served, by domain; initially the start. */
  readonly #servedAtMs = new Map<string, number>();

  /** When this process learned of the latest drain; null while no domain is drained. */
  #drainLearnedAtMs: number | null = null;

  constructor(parts: OpenCellsParts) {
    this.#parts = parts;
    const nowMs = parts.clock.nowMs();
    parts.domains.forEach((domain) => this.#servedAtMs.set(domain, nowMs));
  }

  isDrained(cell: string): boolean {
    return this.#parts.drains.isDrained(this.#parts.domainOf(cell));
  }

  /** Handles the beginning or end of the drain of a domain. */
  drainChanged(domain: string): void {
    const { domains, drains, clock } = this.#parts;
    if (drains.isDrained(domain)) this.#drainLearnedAtMs = clock.nowMs();
    else if (!domains.some((other) => drains.isDrained(other))) this.#drainLearnedAtMs = null;
  }

  /** Notes the cells that are served now. */
  recordServed(served: readonly CellSummary[]): void {
    const nowMs = this.#parts.clock.nowMs();
    served.forEach(({ cell }) => this.#servedAtMs.set(this.#parts.domainOf(cell), nowMs));
  }

  /** The served cells that take tasks. */
  among(served: readonly CellSummary[]): readonly CellSummary[] {
    const sinceMs = this.#drainLearnedAtMs;
    if (sinceMs === null) return served;
    const open = served.filter(({ cell }) => !this.isDrained(cell));
    const heard = open.filter(({ cell }) => this.#parts.hasAnsweredSince(cell, sinceMs));
    return heard.length > 0 ? heard : open;
  }

  /**
   * True if cells of a domain that is not drained were served until recently, so that a new owner
   * can be expected soon.
   */
  get expectsOwner(): boolean {
    const sinceMs = this.#parts.clock.nowMs() - TYPICAL_TAKEOVER_MS;
    return [...this.#servedAtMs].some(
      ([domain, atMs]) => atMs > sinceMs && !this.#parts.drains.isDrained(domain),
    );
  }
}
