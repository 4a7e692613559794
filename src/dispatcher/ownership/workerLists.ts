/**
 * Lists of the workers of each domain. Owners read them from the platform's directory. The other
 * hosts of a domain receive its list from an owner, so that they can take cells over while the
 * directory is unavailable. An owner that can't read the directory gets the lists of its cells from
 * hosts that can, with their ages; the list that was read last counts. Ages are durations, so that
 * they do not depend on the time of day of any host.
 */
import type { WorkerEntry } from '../../cells/worker';
import { checksumOf } from '../../core/checksum';
import type { Clock } from '../../core/clock';
import type { DispatchJournal } from '../journal';
import type { WorkerDirectory } from '../platform';

/** Workers of one domain. The version increases with each change. */
export interface WorkerList {
  readonly version: number;
  readonly entries: readonly WorkerEntry[];
  /** Time since the directory was read, in ms; absent from hosts of earlier versions. */
  readonly ageMs?: number;
}

/** A list that a host needs and can't read. */
export interface WantedList {
  readonly domain: string;
  /** Checksum of the entries that the host knows. */
  readonly digest: string;
  /** Time since they were read, in ms; absent if they never were. */
  readonly ageMs?: number | undefined;
}

/** A list that was read later than the one that a host knows. */
export interface ToldList {
  readonly domain: string;
  readonly digest: string;
  readonly ageMs: number;
  /** Absent if the checksum is the one that was sent. */
  readonly entries?: readonly WorkerEntry[] | undefined;
}

/** Dependencies of `WorkerLists`. */
export interface WorkerListsParts {
  readonly directory: WorkerDirectory;
  readonly periodMs: number;
  readonly clock: Clock;
  readonly journal: DispatchJournal;
  /** Domains of the cells that this host owns. */
  readonly ownedDomains: () => readonly string[];
  /** Called after each successful read of the directory, and with each list from another host. */
  readonly onList: () => void;
  /** Called after each read, with whether the directory answered. */
  readonly onDirectoryResult: (up: boolean, detail: string) => void;
}

/** What this host knows of the workers of one domain. */
interface KnownList {
  readonly version: number;
  readonly entries: readonly WorkerEntry[];
  /** The entries as JSON text. */
  readonly text: string;
  /** When the directory was read, on this host's clock; -Infinity if unknown. */
  readonly readAtMs: number;
  /** The host that told of the list; null if this one has read it. */
  readonly source: string | null;
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
/** A list that is older than this many periods has not been read in time. */
const OVERDUE_PERIODS = 2;

/** Lists of all known domains. */
export class WorkerLists {
  readonly #parts: WorkerListsParts;

  readonly #lists = new Map<string, KnownList>();

  /** Checksums of the lists that were told, or asked for. */
  readonly #digests = new WeakMap<readonly WorkerEntry[], string>();

  /** When the last read began or was due. */
  #dueAtMs = -Infinity;

  /** When the last read that was answered began. */
  #answeredReadAtMs = -Infinity;

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

  /** When the directory was last read for the list of a domain; -Infinity if that is unknown. */
  readAtMs(domain: string): number {
    return this.#lists.get(domain)?.readAtMs ?? -Infinity;
  }

  /** The list of a domain if it is newer than the given version; otherwise null. */
  newerThan(domain: string, version: number): WorkerList | null {
    const list = this.#lists.get(domain);
    if (!list || list.version <= version) return null;
    const ageMs = this.#ageMs(list);
    return { version: list.version, entries: list.entries, ...(ageMs === null ? {} : { ageMs }) };
  }

  /**
   * Stores a list that another host has sent with its status, if its version is newer. Versions stem
   * from the time of day of the hosts, so a list that was read before the known one is not used.
   */
  merge(domain: string, list: WorkerList, source: string, askedAtMs: number): void {
    const { version, entries, ageMs = Infinity } = list;
    const known = this.#lists.get(domain);
    if (known && version <= known.version) return;
    const readAtMs = askedAtMs - ageMs;
    const text = JSON.stringify(entries);
    if (!known || readAtMs >= known.readAtMs) {
      this.#lists.set(domain, { version, entries, text, readAtMs, source });
    } else {
      // A higher version than that of the older list lets the other hosts learn the newer one.
      const isSame = text === known.text;
      this.#lists.set(domain, { ...known, version: isSame ? version : version + 1 });
    }
  }

  /** The lists of owned cells that have not been read in time. */
  wanted(nowMs: number): readonly WantedList[] {
    const overdueMs = OVERDUE_PERIODS * this.#parts.periodMs;
    // A domain without entries is not in the directory's answer.
    if (nowMs - this.#answeredReadAtMs <= overdueMs) return [];
    return this.#parts.ownedDomains().flatMap((domain) => {
      const known = this.#lists.get(domain);
      if (known && nowMs - known.readAtMs <= overdueMs) return [];
      return [{ domain, digest: this.#digestOf(known), ageMs: this.#ageMs(known) ?? undefined }];
    });
  }

  /**
   * Those of the lists that a host wants which this one has read, or heard of, later. Reads the
   * directory for the next time.
   */
  laterThan(wanted: readonly WantedList[], nowMs: number): readonly ToldList[] {
    this.refresh(nowMs);
    return wanted.flatMap(({ domain, digest: sentDigest, ageMs: sentAgeMs = Infinity }) => {
      const known = this.#lists.get(domain);
      const ageMs = this.#ageMs(known);
      if (!known || ageMs === null || ageMs >= sentAgeMs) return [];
      const digest = this.#digestOf(known);
      const { entries } = known;
      return [{ domain, digest, ageMs, entries: digest === sentDigest ? undefined : entries }];
    });
  }

  /**
   * Stores lists that another host has read later. `askedAtMs` is when this host asked for them, so
   * that they count as no younger than they are.
   */
  learn(told: readonly ToldList[], source: string, askedAtMs: number): void {
    const learned = told.filter((list) => this.#learn(list, source, askedAtMs - list.ageMs));
    if (learned.length > 0) this.#parts.onList();
  }

  /** Reads the directory if the period has passed, or sooner if the list is out of date. */
  refresh(nowMs: number): void {
    const periodMs = this.#isOutdated ? MIN_READ_PERIOD_MS : this.#parts.periodMs;
    if (nowMs - this.#dueAtMs >= periodMs) this.refreshNow(nowMs);
  }

  refreshNow(nowMs: number): void {
    this.#dueAtMs = nowMs;
    if (!this.#reading) this.#read();
  }

  /** The list is known to be out of date. A read that is in progress may not show the change. */
  markOutdated(): void {
    this.#isOutdated = true;
  }

  async #read(): Promise<void> {
    this.#reading = true;
    this.#isOutdated = false;
    const readAtMs = this.#parts.clock.nowMs();
    const listed = await this.#parts.directory.list();
    this.#reading = false;
    if (listed.err) {
      this.#parts.onDirectoryResult(false, listed.val.message);
      return;
    }
    this.#parts.onDirectoryResult(true, 'the workers were listed');
    this.#answeredReadAtMs = readAtMs;
    groupByDomain(listed.val).forEach((entries, domain) => this.#update(domain, entries, readAtMs));
    this.#parts.onList();
  }

  #update(domain: string, entries: readonly WorkerEntry[], readAtMs: number): void {
    const known = this.#lists.get(domain);
    const text = JSON.stringify(entries);
    // Versions are compared across hosts. Based on the time of day, the list that a new owner reads
    // gets a higher version than that of the previous owner.
    const isSame = known?.text === text;
    const version = isSame ? known.version : Math.max(Date.now(), (known?.version ?? 0) + 1);
    this.#lists.set(domain, { version, entries, text, readAtMs, source: null });
  }

  /** Returns false if this host knows of a later read. */
  #learn({ domain, digest, entries, ageMs }: ToldList, source: string, readAtMs: number): boolean {
    const known = this.#lists.get(domain);
    if (known && known.readAtMs >= readAtMs) return false;
    const isChanged = this.#digestOf(known) !== digest;
    if (isChanged && !entries) return false;
    if (known && !isChanged) {
      this.#lists.set(domain, { ...known, readAtMs, source });
    } else if (entries) {
      const version = Math.max(Date.now(), (known?.version ?? 0) + 1);
      const text = JSON.stringify(entries);
      this.#lists.set(domain, { version, entries, text, readAtMs, source });
    }
    if (known?.source !== source || entries) {
      const workers = this.of(domain).length;
      const fields = { domain, source, ageMs: Math.round(ageMs), workers, isChanged };
      this.#parts.journal.logDecision('worker-list-told', fields);
    }
    return true;
  }

  /** Checksum of the entries; computed only for lists that hosts tell each other. */
  #digestOf(list: KnownList | undefined): string {
    if (!list) return '';
    const digest = this.#digests.get(list.entries) ?? checksumOf(list.text);
    this.#digests.set(list.entries, digest);
    return digest;
  }

  /** Time since the directory was read for the list; null if unknown. */
  #ageMs(list: KnownList | undefined): number | null {
    const readAtMs = list?.readAtMs ?? -Infinity;
    return readAtMs === -Infinity ? null : this.#parts.clock.nowMs() - readAtMs;
  }
}
