/**
 * Lists of the workers of each domain. Owners read them from the platform's directory. The other
 * hosts of a domain receive its list from an owner, so that they can take cells over while the
 * directory is unavailable.
 */
import type { WorkerEntry } from '../../cells/worker';
import type { WorkerDirectory } from '../platform';

/** Workers of one domain. The version increases with each change. */
export interface WorkerList {
  readonly version: number;
  readonly entries: readonly WorkerEntry[];
}

/** Dependencies of `WorkerLists`. */
export interface WorkerListsParts {
  readonly directory: WorkerDirectory;
  readonly periodMs: number;
  /** Called after each successful read of the directory. */
  readonly onList: () => void;
  /** Called after each read, with whether the directory answered. */
  readonly onDirectoryResult: (up: boolean, detail: string) => void;
}

function groupByDomain(
  entries: readonly WorkerEntry[],
): ReadonlyMap<string, readonly WorkerEntry[]> {
  const domains = new Map<string, WorkerEntry[]>();
  entries.forEach((entry) => {
    domains.set(entry.domain, [...(domains.get(entry.domain) ?? []), entry]);
  });
  return domains;
}

/** Shortest time between the beginnings of two reads of the directory. */
const MIN_READ_PERIOD_MS = 100;

/** Lists of all known domains. */
export class WorkerLists {
  readonly #parts: WorkerListsParts;

  readonly #lists = new Map<string, WorkerList>();

  /** When the last read began or was due. */
  #readAtMs = -Infinity;

  /** True if the list is known to be out of date since the last read began. */
  #isOutdated = false;

  #reading = false;

  constructor(parts: WorkerListsParts) {
    this.#parts = parts;
  }

  of(domain: string): readonly WorkerEntry[] {
    return this.#lists.get(domain)?.entries ?? [];
  }

  /** Workers of all domains. */
  all(): readonly WorkerEntry[] {
    return [...this.#lists.values()].flatMap(({ entries }) => entries);
  }

  versionOf(domain: string): number {
    return this.#lists.get(domain)?.version ?? 0;
  }

  /** The list of a domain if it is newer than the given version; otherwise null. */
  newerThan(domain: string, version: number): WorkerList | null {
    const list = this.#lists.get(domain);
    return list && list.version > version ? list : null;
  }

  /** Stores a list received from another host if it is newer. */
  merge(domain: string, list: WorkerList): void {
    if (list.version > this.versionOf(domain)) this.#lists.set(domain, list);
  }

  /** Reads the directory if the period has passed, or sooner if the list is out of date. */
  refresh(nowMs: number): void {
    const periodMs = this.#isOutdated ? MIN_READ_PERIOD_MS : this.#parts.periodMs;
    if (nowMs - this.#readAtMs >= periodMs) this.refreshNow(nowMs);
  }

  refreshNow(nowMs: number): void {
    this.#readAtMs = nowMs;
    if (!this.#reading) this.#read();
  }

  /** The list is known to be out of date. A read that is in progress may not show the change. */
  markOutdated(): void {
    this.#isOutdated = true;
  }

  async #read(): Promise<void> {
    this.#reading = true;
    this.#isOutdated = false;
    const listed = await this.#parts.directory.list();
    this.#reading = false;
    if (listed.err) {
      this.#parts.onDirectoryResult(false, listed.val.message);
      return;
    }
    this.#parts.onDirectoryResult(true, 'the workers were listed');
    groupByDomain(listed.val).forEach((entries, domain) => this.#update(domain, entries));
    this.#parts.onList();
  }

  #update(domain: string, entries: readonly WorkerEntry[]): void {
    const known = this.#lists.get(domain);
    const isSame = known && JSON.stringify(known.entries) === JSON.stringify(entries);
    // Versions are compared across hosts. Based on the time of day, the list that a new owner reads
    // gets a higher version than that of the previous owner.
    if (!isSame)
      this.#lists.set(domain, {
        version: Math.max(Date.now(), (known?.version ?? 0) + 1),
        entries,
      });
  }
}
