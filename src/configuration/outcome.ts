/** Outcomes of a publication. Each one is true: `unknown` is told when no other can be proven. */
import type { Finding } from '../settings/finding';
import type { ConfigurationRecord } from './record';

/** Accepted; `record` is the one read or written last and may hold a later publication. */
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
  /** Record that won, to be put in force on this host. */
  readonly record: ConfigurationRecord;
}

/** Not applied, because the candidate has faults. */
export interface Invalid {
  readonly outcome: 'invalid';
  readonly findings: readonly Finding[];
}

/** May or may not be applied, now or a little later; look the publication id up to find out. */
export interface Unknown {
  readonly outcome: 'unknown';
  readonly publicationId: string;
  readonly message: string;
}

/** Not applied, because the store or the newest record can't be reached. */
export interface Unavailable {
  readonly outcome: 'unavailable';
  readonly message: string;
}

/** What a publication came to. */
export type PublishOutcome = Published | LostRace | Invalid | Unknown | Unavailable;

/** Outcome of an accepted publication. */
export function published(
  publicationId: string,
  generation: number,
  record: ConfigurationRecord | null,
): Published {
  return { outcome: 'published', publicationId, generation, record };
}

/** Outcome of a publication that `record` came before. */
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
