/** Which host schedules which domain, according to this host's view of the members. Immutable. */
import { MemberState, type Member } from './messages';

/** Selects the scheduler of a domain. Null if no host of the domain can be it. */
export type SchedulerSelector = (domain: string, members: readonly Member[]) => Member | null;

/** Scheduler of each domain, derived from one view of the members. */
export class Roles {
  readonly #schedulers: ReadonlyMap<string, Member>;

  readonly #aliveHosts: readonly string[];

  private constructor(schedulers: ReadonlyMap<string, Member>, aliveHosts: readonly string[]) {
    this.#schedulers = schedulers;
    this.#aliveHosts = aliveHosts;
  }

  static empty(): Roles {
    return new Roles(new Map(), []);
  }

  static from(members: readonly Member[], choose: SchedulerSelector): Roles {
    const alive = members.filter((member) => member.state !== MemberState.dead);
    const domains = [...new Set(alive.map((member) => member.domain))].sort();
    const schedulers = new Map<string, Member>();
    domains.forEach((domain) => {
      const scheduler = choose(domain, members);
      if (scheduler) schedulers.set(domain, scheduler);
    });
    return new Roles(
      schedulers,
      alive.map((member) => member.hostId),
    );
  }

  /** Domains with a scheduler. */
  domains(): readonly string[] {
    return [...this.#schedulers.keys()];
  }

  schedulerOf(domain: string): string | null {
    return this.#schedulers.get(domain)?.hostId ?? null;
  }

  /** Hosts that are not known to be dead, suspect and leaving ones included. */
  aliveHosts(): readonly string[] {
    return this.#aliveHosts;
  }

  /** Domains whose scheduler differs from that of `before`, by host or by incarnation. */
  changedSince(before: Roles): ReadonlySet<string> {
    const domains = new Set([...this.domains(), ...before.domains()]);
    return new Set(
      [...domains].filter((domain) => {
        const now = this.#schedulers.get(domain);
        const then = before.#schedulers.get(domain);
        return now?.hostId !== then?.hostId || now?.incarnation !== then?.incarnation;
      }),
    );
  }
}
