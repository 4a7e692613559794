/**
 * Publishes a configuration: validate, read, compare-and-swap. A change only replaces the record
 * that it was checked against, so a retry never overwrites a newer one. If the store's response is
 * lost, the outcome is determined by looking for the publication id in the history of the record.
 */
import type { Result } from 'ts-results';
import type { Entry, Store, StoreError, SwapOutcome } from '../store/store';
import { parseConfiguration } from './parse';
import {
  RECORD_BYTES_LIMIT,
  decodeRecord,
  encodeRecord,
  generationOf,
  isNewer,
  nextRecord,
  type ConfigurationRecord,
} from './record';
import { published, unavailable, unknown, lostRace, type PublishOutcome } from './outcome';

/** Maximum read and write rounds of a publication. */
const ATTEMPTS = 4;

/** A configuration that an operator wants to publish. */
export interface Candidate {
  readonly text: string;
  /** File name used in findings. */
  readonly file: string;
  /** Unique; a repeated call with the same id does not publish twice. */
  readonly publicationId: string;
  readonly publishedBy: string;
  readonly publishedAtMs: number;
  /** Generation that the text was edited from; a newer one in the store is a lost race. */
  readonly basedOnGeneration?: number;
}

/** The store to publish to, and the state known to the publishing host. */
export interface PublishContext {
  readonly store: Store;
  readonly key: string;
  /** Record in force on this host; it repairs a store that lost its most recent writes. */
  readonly inForce: ConfigurationRecord | null;
  /** Highest generation that peers have reported; 0 if unknown. */
  readonly newestHeard: number;
}

/** The record that a candidate replaces, and its store entry. */
interface Base {
  readonly record: ConfigurationRecord | null;
  readonly entry: Entry | null;
}

class Publication {
  readonly #context: PublishContext;

  readonly #candidate: Candidate;

  /** Highest generation seen by this publication; the store may lose a record after a read. */
  #newestSeen: number;

  /** True once a write of the candidate may have reached the store. */
  #maybeWritten = false;

  constructor(context: PublishContext, candidate: Candidate) {
    this.#context = context;
    this.#candidate = candidate;
    this.#newestSeen = Math.max(context.newestHeard, candidate.basedOnGeneration ?? 0);
  }

  async run(): Promise<PublishOutcome> {
    const { file, text } = this.#candidate;
    const parsed = parseConfiguration(file, text);
    if (parsed.err) return { outcome: 'invalid', findings: parsed.val };
    const read = await this.#context.store.get(this.#context.key);
    if (read.err) return unavailable(`the store can't be read: ${read.val.message}`);
    return this.#proceed(read.val, ATTEMPTS);
  }

  /** Continues from the current entry; the candidate has not been written yet. */
  async #proceed(entry: Entry | null, attempts: number): Promise<PublishOutcome> {
    if (attempts === 0) return unavailable('the record in the store keeps changing');
    const stored = entry === null ? null : decodeRecord(entry.value);
    if (stored?.err) return unavailable(`the record in the store is not valid: ${stored.val}`);
    const record = stored?.val ?? null;
    const { inForce } = this.#context;
    if (inForce !== null && isNewer(inForce, record)) return this.#repair(entry, attempts);
    return this.#check({ record, entry }, attempts);
  }

  /** Writes the record in force back into a store that lost it. */
  async #repair(entry: Entry | null, attempts: number): Promise<PublishOutcome> {
    const { inForce } = this.#context;
    const value = inForce === null ? '' : encodeRecord(inForce);
    const repaired = await this.#swap(entry, value);
    if (repaired.err) {
      return unavailable(`the store can't be repaired: ${repaired.val.message}`);
    }
    const { applied, current } = repaired.val;
    if (!applied) return this.#proceed(current, attempts - 1);
    return this.#check({ record: inForce, entry: current }, attempts);
  }

  async #check(base: Base, attempts: number): Promise<PublishOutcome> {
    const { publicationId, basedOnGeneration } = this.#candidate;
    const accepted = generationOf(base.record, publicationId);
    if (accepted !== null) return published(publicationId, accepted, base.record);
    const generation = base.record?.generation ?? 0;
    const newest = this.#newestSeen;
    if (generation < newest) {
      return unavailable(
        `generation ${newest} is known, but this host and the store do not have it`,
      );
    }
    this.#newestSeen = generation;
    if (base.record !== null && generation > (basedOnGeneration ?? generation)) {
      return lostRace(base.record);
    }
    const next = nextRecord(base.record, this.#candidate);
    const bytes = Buffer.byteLength(encodeRecord(next));
    return bytes > RECORD_BYTES_LIMIT ? this.#tooLarge(bytes) : this.#write(base, next, attempts);
  }

  #tooLarge(bytes: number): PublishOutcome {
    const expected = `a record of at most ${RECORD_BYTES_LIMIT} bytes`;
    const { file } = this.#candidate;
    const place = { file, line: 0, section: '', key: '' };
    return { outcome: 'invalid', findings: [{ ...place, expected, found: `${bytes} bytes` }] };
  }

  async #write(base: Base, next: ConfigurationRecord, attempts: number): Promise<PublishOutcome> {
    const written = await this.#swap(base.entry, encodeRecord(next));
    if (written.err) {
      if (written.val.code === 'unclear') this.#maybeWritten = true;
      else if (!this.#maybeWritten) return unavailable(`not written: ${written.val.message}`);
      return this.#resolve(base, next, attempts - 1);
    }
    const { applied, current } = written.val;
    if (applied) return published(next.publicationId, next.generation, next);
    const decided = this.#judge(base, current);
    if (decided) return decided;
    // The key holds nothing newer than the base: the store lost writes, or a relay wrote back.
    if (!this.#maybeWritten) return this.#proceed(current, attempts - 1);
    return unknown(next.publicationId, 'the store lost writes while the change was published');
  }

  /** Determines the result of a write whose response was lost. */
  async #resolve(base: Base, next: ConfigurationRecord, attempts: number): Promise<PublishOutcome> {
    if (attempts <= 0) return unknown(next.publicationId, 'the store does not answer');
    const read = await this.#context.store.get(this.#context.key);
    if (read.err) return this.#resolve(base, next, attempts - 1);
    // The same write over the same revision can't take effect twice, and its response isn't stale.
    return this.#judge(base, read.val) ?? this.#write(base, next, attempts);
  }

  /** Returns an outcome if the entry contains the candidate or is newer without it. */
  #judge(base: Base, entry: Entry | null): PublishOutcome | null {
    const current = entry === null ? null : decodeRecord(entry.value);
    if (!current?.ok) return null;
    const { publicationId } = this.#candidate;
    const accepted = generationOf(current.val, publicationId);
    if (accepted !== null) return published(publicationId, accepted, current.val);
    return isNewer(current.val, base.record) ? lostRace(current.val) : null;
  }

  #swap(entry: Entry | null, value: string): Promise<Result<SwapOutcome, StoreError>> {
    const { store, key } = this.#context;
    return store.swap(key, value, entry?.modRevision ?? 0, entry?.value);
  }
}

/** Publishes a candidate with a small, bounded number of store calls. */
export function publish(context: PublishContext, candidate: Candidate): Promise<PublishOutcome> {
  return new Publication(context, candidate).run();
}

/** Looks up a publication after an unknown outcome. */
export async function findPublication(
  { store, key, inForce }: Pick<PublishContext, 'store' | 'key' | 'inForce'>,
  publicationId: string,
): Promise<PublishOutcome> {
  const local = generationOf(inForce, publicationId);
  if (local !== null) return published(publicationId, local, inForce);
  const read = await store.get(key);
  if (read.err) return unavailable(`the store can't be read: ${read.val.message}`);
  const record = read.val === null ? null : decodeRecord(read.val.value);
  if (record?.err) return unavailable(`the record in the store is not valid: ${record.val}`);
  const accepted = generationOf(record?.val ?? null, publicationId);
  if (accepted !== null) return published(publicationId, accepted, record?.val ?? null);
  return unknown(publicationId, 'the history of the record does not name it');
}
