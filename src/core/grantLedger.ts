/**
 * The grants of a domain that are in use. A grant ends when its host releases it. Grants of a dead
 * host are reclaimed one task lease after its death, because by then its workers have stopped the
 * orphaned tasks. Grants that their host no longer claims are dropped, so that a lost release
 * message occupies a slot for a limited time only.
 */
import type { Resources } from './job';

/** One grant in use. */
export interface GrantRecord {
  readonly grantId: number;
  readonly host: string;
  readonly workerId: string;
  readonly team: string;
  readonly leaf: string;
  readonly resources: Resources;
  readonly grantedAtMs: number;
}

/** Grants by id and by the host that holds them. */
export class GrantLedger {
  readonly #grants = new Map<number, GrantRecord>();

  readonly #byHost = new Map<string, Set<number>>();

  readonly #deadSinceMs = new Map<string, number>();

  get size(): number {
    return this.#grants.size;
  }

  has(grantId: number): boolean {
    return this.#grants.has(grantId);
  }

  add(record: GrantRecord): void {
    this.#grants.set(record.grantId, record);
    const held = this.#byHost.get(record.host);
    if (held) held.add(record.grantId);
    else this.#byHost.set(record.host, new Set([record.grantId]));
  }

  /** Removes a grant if `host` holds it. */
  remove(grantId: number, host: string): GrantRecord | null {
    const record = this.#grants.get(grantId);
    if (!record || record.host !== host) return null;
    this.#grants.delete(grantId);
    this.#byHost.get(host)?.delete(grantId);
    return record;
  }

  hosts(): readonly string[] {
    return [...this.#byHost.keys()];
  }

  markDead(host: string, nowMs: number): void {
    if (this.#byHost.has(host) && !this.#deadSinceMs.has(host)) this.#deadSinceMs.set(host, nowMs);
  }

  markAlive(host: string): void {
    this.#deadSinceMs.delete(host);
  }

  /** Removes and returns the grants of hosts that have been dead for `leaseMs`. */
  reclaim(nowMs: number, leaseMs: number): readonly GrantRecord[] {
    const due = [...this.#deadSinceMs].filter(([, sinceMs]) => nowMs - sinceMs >= leaseMs);
    return due.flatMap(([host]) => {
      this.#deadSinceMs.delete(host);
      return this.removeHost(host);
    });
  }

  removeHost(host: string): readonly GrantRecord[] {
    const held = [...(this.#byHost.get(host) ?? [])];
    this.#byHost.delete(host);
    return this.#removeAll(held);
  }

  /** Removes and returns the grants older than `minAgeMs` that `host` holds but does not claim. */
  removeUnclaimed(
    host: string,
    claimed: ReadonlySet<number>,
    nowMs: number,
    minAgeMs: number,
  ): readonly GrantRecord[] {
    const held = [...(this.#byHost.get(host) ?? [])];
    const stale = held.filter((grantId) => {
      const record = this.#grants.get(grantId);
      return record && !claimed.has(grantId) && nowMs - record.grantedAtMs >= minAgeMs;
    });
    stale.forEach((grantId) => this.#byHost.get(host)?.delete(grantId));
    return this.#removeAll(stale);
  }

  clear(): readonly GrantRecord[] {
    const all = [...this.#grants.values()];
    this.#grants.clear();
    this.#byHost.clear();
    this.#deadSinceMs.clear();
    return all;
  }

  #removeAll(grantIds: readonly number[]): readonly GrantRecord[] {
    return grantIds.flatMap((grantId) => {
      const record = this.#grants.get(grantId);
      this.#grants.delete(grantId);
      return record ? [record] : [];
    });
  }
}
