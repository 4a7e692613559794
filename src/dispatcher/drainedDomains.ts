/**
 * Which failure domains the operators have drained, as this host knows it. In a drained domain no
 * task is started until the request is taken back. Hosts learn of it from the store and from each
 * other. For each domain the fact with the highest store revision counts, so that all hosts end up
 * with the same state in whatever order they learn of it, and an older message undoes nothing.
 */
import type { HostClock } from './peers/peerClocks';
import type { DispatchJournal } from './journal';

/** Whether a domain was drained at a revision of the store. */
export interface DomainDrain {
  readonly domain: string;
  readonly drained: boolean;
  readonly revision: number;
}

/** What this host knows of one domain. */
interface KnownDrain extends DomainDrain {
  /** When this host learned of it, in Unix milliseconds. */
  readonly sinceMs: number;
}

/** Dependencies of `DrainedDomains`. */
export interface DrainedDomainsParts {
  /** Names of all failure domains; others are ignored. */
  readonly domains: readonly string[];
  readonly clock: Pick<HostClock, 'timeOfDayMs'>;
  readonly journal: DispatchJournal;
  /** Called when a drain of the domain begins or ends. */
  readonly onChange: (domain: string) => void;
}

const STORE = 'store';
/** Unknown names of domains that are remembered, so that each is logged once. */
const MAX_UNKNOWN_NAMES = 100;
/** Length to which an unknown name is cut in the log. */
const MAX_LOGGED_CHARACTERS = 80;

function isFact({ domain, drained, revision }: DomainDrain): boolean {
  return typeof domain === 'string' && typeof drained === 'boolean' && Number.isInteger(revision);
}

/** State of all failure domains at one host; holds at most one fact for each. */
export class DrainedDomains {
  readonly #parts: DrainedDomainsParts;

  readonly #known = new Map<string, KnownDrain>();

  readonly #unknownNames = new Set<string>();

  /** Revision of the latest complete read of the store; what it did not list had ended by then. */
  #readRevision = 0;

  #isKnown = false;

  constructor(parts: DrainedDomainsParts) {
    this.#parts = parts;
  }

  /** True once the store, or a host that knew, has told the state of all domains. */
  get isKnown(): boolean {
    return this.#isKnown;
  }

  isDrained(domain: string): boolean {
    return this.#known.get(domain)?.drained ?? false;
  }

  /** When this host learned of the drain of a domain, in Unix milliseconds; null if there is none. */
  drainedSinceMs(domain: string): number | null {
    const known = this.#known.get(domain);
    return known?.drained ? known.sinceMs : null;
  }

  /** All that other hosts need to know; empty if no domain has been drained. */
  all(): readonly DomainDrain[] {
    return [...this.#known.values()].map(({ domain, drained, revision }) => ({
      domain,
      drained,
      revision,
    }));
  }

  /** What a host that has sent these facts does not know yet. */
  newerThan(sent: readonly DomainDrain[]): readonly DomainDrain[] {
    return this.all().filter(({ domain, revision }) => {
      const other = sent.find((fact) => fact.domain === domain);
      return other === undefined || other.revision < revision;
    });
  }

  /** Handles a complete read of the store: a domain that it does not list is not drained. */
  applyRead(listed: readonly DomainDrain[], revision: number): void {
    this.#isKnown = true;
    this.#readRevision = Math.max(this.#readRevision, revision);
    listed.forEach((fact) => this.#learn(fact, STORE));
    const listedDomains = new Set(listed.map(({ domain }) => domain));
    this.all()
      .filter(({ domain, drained }) => drained && !listedDomains.has(domain))
      .forEach(({ domain }) => this.#learn({ domain, drained: false, revision }, STORE));
  }

  /** Handles a change that the store has reported. */
  applyChange(fact: DomainDrain): void {
    this.#learn(fact, STORE);
  }

  /** Handles facts that another host has sent. */
  merge(facts: readonly DomainDrain[], source: string): void {
    facts.filter(isFact).forEach((fact) => this.#learn(fact, source));
  }

  /** The same from a host that knows the state of all domains and sent what this one lacked. */
  mergeAll(facts: readonly DomainDrain[], source: string): void {
    this.#isKnown = true;
    this.merge(facts, source);
  }

  #learn(fact: DomainDrain, source: string): void {
    const { domain, drained, revision } = fact;
    if (!this.#parts.domains.includes(domain)) {
      this.#reportUnknown(domain, source);
      return;
    }
    const known = this.#known.get(domain);
    if (known && known.revision >= revision) return;
    // The latest read would have listed a drain that is older than it and still goes on. Its end is
    // kept, for hosts that know only the drain.
    const hasEnded = source !== STORE && drained && revision <= this.#readRevision;
    const latest = hasEnded ? { domain, drained: false, revision: this.#readRevision } : fact;
    const wasDrained = known?.drained ?? false;
    const sinceMs = this.#parts.clock.timeOfDayMs();
    this.#known.set(domain, {
      domain,
      drained: latest.drained,
      revision: latest.revision,
      sinceMs: known && wasDrained === latest.drained ? known.sinceMs : sinceMs,
    });
    if (wasDrained !== latest.drained) this.#report(latest, source, known ?? null, sinceMs);
  }

  #report(
    { domain, drained, revision }: DomainDrain,
    source: string,
    before: KnownDrain | null,
    nowMs: number,
  ): void {
    this.#parts.journal.logDecision(drained ? 'domain-drained' : 'domain-restored', {
      domain,
      revision,
      source,
      previousRevision: before?.revision ?? null,
      previousForMs: before ? Math.round(nowMs - before.sinceMs) : null,
    });
    this.#parts.onChange(domain);
  }

  #reportUnknown(domain: string, source: string): void {
    if (this.#unknownNames.has(domain) || this.#unknownNames.size >= MAX_UNKNOWN_NAMES) return;
    this.#unknownNames.add(domain);
    this.#parts.journal.logDecision('drain-ignored', {
      domain: domain.slice(0, MAX_LOGGED_CHARACTERS),
      reason: 'unknown domain',
      source,
    });
  }
}
