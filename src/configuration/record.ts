/**
 * The configuration record, as serialized in the store and in messages to peers. Records are
 * ordered by generation, then by publication id, so that all hosts agree on one of two records that
 * share a generation. That happens when the store loses a write that some hosts have already seen.
 */
import { Err, Ok, type Result } from 'ts-results';
import { z } from 'zod';
import type { ConfigurationPush } from '../core/messages';
import type { Finding } from '../settings/finding';
import { parseConfiguration } from './parse';
import type { Configuration } from './policy';

/** Number of publication ids in a record's history. */
export const HISTORY_LENGTH = 64;

/** The store accepts values of up to 1 MB. */
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

function validateRecord(value: unknown): Result<ConfigurationRecord, string> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return Ok(parsed.data);
  return Err(parsed.error.issues.map((i) => `${i.path.join('.')}: ${i.message}`).join('; '));
}

/** Serializes a record for the store. */
export function encodeRecord(record: ConfigurationRecord): string {
  return JSON.stringify(record);
}

/** Parses and validates a value from the store. */
export function decodeRecord(value: string): Result<ConfigurationRecord, string> {
  try {
    return validateRecord(JSON.parse(value));
  } catch (error) {
    return Err(error instanceof Error ? error.message : String(error));
  }
}

/** Converts a record to a message for peers. */
export function toPush(record: ConfigurationRecord): ConfigurationPush {
  return { type: 'configurationPush', ...record };
}

/** Validates a message from a peer. */
export function fromPush({
  type,
  ...record
}: ConfigurationPush): Result<ConfigurationRecord, string> {
  return validateRecord(record);
}

/** Fields that determine the order of records. */
export type RecordOrder = Pick<ConfigurationRecord, 'generation' | 'publicationId'>;

/** Returns true if `a` takes precedence over `b`; any record precedes null. */
export function isNewer(a: RecordOrder, b: RecordOrder | null): boolean {
  if (b === null || a.generation !== b.generation) return a.generation > (b?.generation ?? 0);
  return a.publicationId > b.publicationId;
}

/** Returns the generation of a publication, or null if it is not in the history. */
export function generationOf(
  record: ConfigurationRecord | null,
  publicationId: string,
): number | null {
  const index = record?.history.lastIndexOf(publicationId) ?? -1;
  if (record === null || index < 0) return null;
  return record.generation - (record.history.length - 1 - index);
}

/** Creates the successor of `base`. */
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

/** Parses the configuration in a record. */
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
