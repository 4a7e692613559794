/** Outcomes of a publication. `unknown` is returned when no other outcome can be proven. */
import type { Finding } from '../settings/finding';
import type { ConfigurationRecord } from './record';

/** Accepted. `record` is the last one read or written and may be a later publication. */
export interface Published {
  readonly outcome: 'published';
  readonly publicationId: string;
  readonly generation: number;
  readonly record: ConfigurationRecord | null;
}

/** Not applied, because another publication came first. */
export interface LostRace {
  readonly outcome: 'lostRace';
  readonly winner: Omit<ConfigurationRecord, 'text' | 'history'>;
  /** The winning record, to be put in force on this host. */
  readonly record: ConfigurationRecord;
}

/** Not applied, because the candidate is invalid. */
export interface Invalid {
  readonly outcome: 'invalid';
  readonly findings: readonly Finding[];
}

/** May or may not be applied, now or later. Look up the publication id to find out. */
export interface Unknown {
  readonly outcome: 'unknown';
  readonly publicationId: string;
  readonly message: string;
}

/** Not applied, because the store or the newest record is not available. */
export interface Unavailable {
  readonly outcome: 'unavailable';
  readonly message: string;
}

export type PublishOutcome = Published | LostRace | Invalid | Unknown | Unavailable;

/** Outcome of an accepted publication. */
export function published(
  publicationId: string,
  generation: number,
  record: ConfigurationRecord | null,
): Published {
  return { outcome: 'published', publicationId, generation, record };
}

/** Outcome of a publication that lost to `record`. */
export function lostRace(record: ConfigurationRecord): LostRace {
  const { text, history, ...winner } = record;
  return { outcome: 'lostRace', winner, record };
}

/** Outcome of a publication whose effect can't be proven. */
export function unknown(publicationId: string, message: string): Unknown {
  return { outcome: 'unknown', publicationId, message };
}

/** Outcome of a publication that was not written. */
export function unavailable(message: string): Unavailable {
  return { outcome: 'unavailable', message };
}
