/**
 * Memory of the stand-in store: keys with revisions, leases on an injected clock, and watchers. It
 * keeps every change, so that it can be rolled back, and read as it was.
 */
import type { Clock } from '../core/clock';
import type { Change, Entry, SwapOutcome } from '../store/store';

interface StoredEntry extends Entry {
  readonly leaseId: number;
}

interface LoggedChange {
  readonly revision: number;
  readonly key: string;
  readonly entry: StoredEntry | null;
}

interface Lease {
  readonly ttlMs: number;
  readonly endsAtMs: number;
}

interface Watcher {
  readonly prefix: string;
  readonly onChange: (change: Change, revision: number) => void;
}

function entriesOf(log: readonly LoggedChange[]): Map<string, StoredEntry> {
  const entries = new Map<string, StoredEntry>();
  log.forEach(({ key, entry }) => {
    if (entry === null) entries.delete(key);
    else entries.set(key, entry);
  });
  return entries;
}

function withoutLease({ key, value, modRevision }: StoredEntry): Entry {
  return { key, value, modRevision };
}

/** State behind the stand-in store; calls take effect at once. */
export class StoreState {
  readonly #clock: Clock;

  readonly #leases = new Map<number, Lease>();

  readonly #watchers = new Set<Watcher>();

  #log: readonly LoggedChange[] = [];

  #entries = new Map<string, StoredEntry>();

  #revision = 1;

  #readRevision: number | null = null;

  #restarts = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Revision of the last change; 1 before the first. */
  get revision(): number {
    return this.#revision;
  }

  /** Number of roll-backs; a call that was under way during one has no effect. */
  get restarts(): number {
    return this.#restarts;
  }

  /** Number of watches that wait for changes. */
  get watchers(): number {
    return this.#watchers.size;
  }

  get(key: string): Entry | null {
    return this.list(key).find((entry) => entry.key === key) ?? null;
  }

  /** Entries whose key starts with `prefix`, by key. */
  list(prefix: string): readonly Entry[] {
    this.expire();
    return [...this.#readable().values()]
      .filter(({ key }) => key.startsWith(prefix))
      .map(withoutLease)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /** What the key holds, even while reads lag. */
  current(key: string): Entry | null {
    this.expire();
    const found = this.#entries.get(key);
    return found ? withoutLease(found) : null;
  }

  /** Writes a key; false if the lease does not exist. */
  put(key: string, value: string, leaseId = 0): boolean {
    this.expire();
    if (leaseId !== 0 && !this.#leases.has(leaseId)) return false;
    this.#change(key, { key, value, leaseId, modRevision: this.#revision + 1 });
    return true;
  }

  swap(key: string, value: string, expectedRevision: number, expectedValue?: string): SwapOutcome {
    this.expire();
    const found = this.#entries.get(key);
    const equal =
      (found?.modRevision ?? 0) === expectedRevision &&
      (expectedValue === undefined || found?.value === expectedValue);
    if (equal) this.put(key, value);
    return { applied: equal, current: this.current(key) };
  }

  /** Grants a lease; false if the id is taken. */
  grant(id: number, ttlMs: number): boolean {
    this.expire();
    if (this.#leases.has(id)) return false;
    this.#leases.set(id, { ttlMs, endsAtMs: this.#clock.nowMs() + ttlMs });
    return true;
  }

  /** Renews a lease; its time to live, or 0 if it has lapsed. */
  renew(id: number): number {
    this.expire();
    const lease = this.#leases.get(id);
    if (!lease) return 0;
    this.#leases.set(id, { ...lease, endsAtMs: this.#clock.nowMs() + lease.ttlMs });
    return lease.ttlMs;
  }

  /** Ends a lease and deletes its keys; false if there is none. */
  revoke(id: number): boolean {
    if (!this.#leases.delete(id)) return false;
    [...this.#entries.values()]
      .filter(({ leaseId }) => leaseId === id)
      .forEach(({ key }) => this.#change(key, null));
    return true;
  }

  /** Reports the changes of keys with the prefix from now on; the result ends that. */
  watch(prefix: string, onChange: Watcher['onChange']): () => void {
    const watcher = { prefix, onChange };
    this.#watchers.add(watcher);
    return () => {
      this.#watchers.delete(watcher);
    };
  }

  /** Ends the leases that have lapsed; each call does it, and watchers need it as time passes. */
  expire(): void {
    const nowMs = this.#clock.nowMs();
    this.#leases.forEach(({ endsAtMs }, id) => {
      if (endsAtMs <= nowMs) this.revoke(id);
    });
  }

  /** Forgets the changes after `revision`, as a store does that lost its most recent writes. */
  rollBack(revision: number): void {
    this.#restarts += 1;
    this.#log = this.#log.filter((change) => change.revision <= revision);
    this.#entries = entriesOf(this.#log);
    this.#revision = Math.min(this.#revision, Math.max(1, revision));
  }

  /** Answers reads as of `revision`, as a member does that lags; null ends that. */
  readAt(revision: number | null): void {
    this.#readRevision = revision;
  }

  #readable(): ReadonlyMap<string, StoredEntry> {
    const revision = this.#readRevision;
    if (revision === null) return this.#entries;
    return entriesOf(this.#log.filter((change) => change.revision <= revision));
  }

  #change(key: string, entry: StoredEntry | null): void {
    this.#revision += 1;
    const revision = this.#revision;
    this.#log = [...this.#log, { revision, key, entry }];
    if (entry === null) this.#entries.delete(key);
    else this.#entries.set(key, entry);
    const change = { key, entry: entry === null ? null : withoutLease(entry) };
    [...this.#watchers]
      .filter(({ prefix }) => key.startsWith(prefix))
      .forEach(({ onChange }) => onChange(change, revision));
  }
}
