/**
 * The workers of each domain. Owners read them from the platform; the other hosts of a domain get its
 * list from the owner, so that they can take over while the platform's list can't be read.
 */
import type { WorkerEntry } from '../cells/worker';
import type { WorkerDirectory } from './platform';

/** The workers of one domain; the version grows with each change. */
export interface WorkerList {
  readonly version: number;
  readonly entries: readonly WorkerEntry[];
}

/** What the lists are built from. */
export interface WorkerListsParts {
  readonly directory: WorkerDirectory;
  readonly periodMs: number;
  /** Called each time that the lists were read. */
  readonly onList: () => void;
  /** Called with whether the directory answered. */
  readonly onAnswer: (up: boolean, detail: string) => void;
}

function byDomain(entries: readonly WorkerEntry[]): ReadonlyMap<string, readonly WorkerEntry[]> {
  const domains = new Map<string, WorkerEntry[]>();
  entries.forEach((entry) => {
    domains.set(entry.domain, [...(domains.get(entry.domain) ?? []), entry]);
  });
  return domains;
}

/** Lists of all domains that this host knows of. */
export class WorkerLists {
  readonly #parts: WorkerListsParts;

  readonly #lists = new Map<string, WorkerList>();

  #readAtMs = -Infinity;

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

  /** The list of a domain, if it is newer than the version that the asker has. */
  newerThan(domain: string, version: number): WorkerList | null {
    const list = this.#lists.get(domain);
    return list && list.version > version ? list : null;
  }

  /** Takes a list from another host. */
  merge(domain: string, list: WorkerList): void {
    if (list.version > this.versionOf(domain)) this.#lists.set(domain, list);
  }

  /** Reads the lists if that is due. */
  refresh(nowMs: number): void {
    if (nowMs - this.#readAtMs >= this.#parts.periodMs) this.refreshNow(nowMs);
  }

  refreshNow(nowMs: number): void {
    this.#readAtMs = nowMs;
    if (!this.#reading) this.#read();
  }

  async #read(): Promise<void> {
    this.#reading = true;
    const listed = await this.#parts.directory.list();
    this.#reading = false;
    if (listed.err) {
      this.#parts.onAnswer(false, listed.val.message);
      return;
    }
    this.#parts.onAnswer(true, 'the workers were listed');
    byDomain(listed.val).forEach((entries, domain) => this.#store(domain, entries));
    this.#parts.onList();
  }

  #store(domain: string, entries: readonly WorkerEntry[]): void {
    const known = this.#lists.get(domain);
    const isSame = known && JSON.stringify(known.entries) === JSON.stringify(entries);
    // Versions are compared between hosts, so that a new owner's list counts as newer.
    if (!isSame)
      this.#lists.set(domain, {
        version: Math.max(Date.now(), (known?.version ?? 0) + 1),
        entries,
      });
  }
}
