/**
 * The configuration record as the store and the peers' messages carry it. Records are ordered by
 * generation, then by publication id, so that all hosts agree on one of two records that share a
 * generation; that happens when the store loses a write that some hosts have already seen.
 */
import { Err, Ok, type Result } from 'ts-results';
import { z } from 'zod';
import type { ConfigurationPush } from '../core/messages';
import type { Finding } from '../settings/finding';
import { parseConfiguration } from './parse';
import type { Configuration } from './policy';

/** Number of publication ids that a record remembers. */
export const HISTORY_LENGTH = 64;

/** The store takes values of up to 1 MB. */
export const RECORD_BYTES_LIMIT = 1_000_000;

const schema = z
  .strictObject({
    generation: z.int().min(1),
    publicationId: z.string().min(1).max(128),
    publishedBy: z.string().max(256),
    publishedAtMs: z.number().min(0),
    text: z.string(),
    history: z.array(z.string()).min(1).max(HISTORY_LENGTH).readonly(),
  })
  .readonly()
  .refine(({ history, publicationId }) => history.at(-1) === publicationId, {
    path: ['history'],
    message: 'does not end with the publication id',
  });

/** One published configuration. `history` ends with the record's own publication id. */
export type ConfigurationRecord = z.output<typeof schema>;

function check(value: unknown): Result<ConfigurationRecord, string> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return Ok(parsed.data);
  return Err(parsed.error.issues.map((i) => `${i.path.join('.')}: ${i.message}`).join('; '));
}

/** The record as a value of the store. */
export function encodeRecord(record: ConfigurationRecord): string {
  return JSON.stringify(record);
}

/** Reads a value of the store; the error says what is wrong with it. */
export function decodeRecord(value: string): Result<ConfigurationRecord, string> {
  try {
    return check(JSON.parse(value));
  } catch (error) {
    return Err(error instanceof Error ? error.message : String(error));
  }
}

/** The record as a message to peers. */
export function toPush(record: ConfigurationRecord): ConfigurationPush {
  return { type: 'configurationPush', ...record };
}

/** Reads a message from a peer; the error says what is wrong with it. */
export function fromPush({
  type,
  ...record
}: ConfigurationPush): Result<ConfigurationRecord, string> {
  return check(record);
}

/** What the order of records depends on. */
export type RecordOrder = Pick<ConfigurationRecord, 'generation' | 'publicationId'>;

/** True if `a` takes precedence over `b`; any record does over none. */
export function isNewer(a: RecordOrder, b: RecordOrder | null): boolean {
  if (b === null || a.generation !== b.generation) return a.generation > (b?.generation ?? 0);
  return a.publicationId > b.publicationId;
}

/** The generation under which a publication was accepted; null if the history does not name it. */
export function generationOf(
  record: ConfigurationRecord | null,
  publicationId: string,
): number | null {
  const index = record?.history.lastIndexOf(publicationId) ?? -1;
  if (record === null || index < 0) return null;
  return record.generation - (record.history.length - 1 - index);
}

/** The record that follows `base`. */
export function nextRecord(
  base: ConfigurationRecord | null,
  published: Omit<ConfigurationRecord, 'generation' | 'history'>,
): ConfigurationRecord {
  const { publicationId, publishedBy, publishedAtMs, text } = published;
  return {
    generation: (base?.generation ?? 0) + 1,
    publicationId,
    publishedBy,
    publishedAtMs,
    text,
    history: [...(base?.history ?? []), publicationId].slice(-HISTORY_LENGTH),
  };
}

/** The policies of a record. */
export function toConfiguration(
  record: ConfigurationRecord,
): Result<Configuration, readonly Finding[]> {
  const { generation, publicationId, text } = record;
  return parseConfiguration(`generation ${generation}`, text).map((teams) => ({
    generation,
    publicationId,
    teams,
  }));
}
