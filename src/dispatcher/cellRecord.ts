/**
 * What the hosts keep in the store: who owns a cell, where each host is reached, and how many cells a
 * failure domain has.
 */
import { createHash } from 'node:crypto';
import type { Entry } from '../store/store';

/** Prefix of all keys of the dispatcher. */
export const RECORD_PREFIX = 'wasabiyoke/';
const CELL_PREFIX = `${RECORD_PREFIX}cells/`;
const HOST_PREFIX = `${RECORD_PREFIX}hosts/`;
/** Key of the number of cells in each failure domain. */
export const LAYOUT_KEY = `${RECORD_PREFIX}layout`;

/**
 * Claims made in the store get tokens that are multiples of this; those between are for claims that
 * hosts of a domain make while they can't reach the store.
 */
export const TOKEN_STEP = 1000;

const DIGEST_LENGTH = 16;

/** One process of the dispatcher. */
export interface HostIdentity {
  readonly hostId: string;
  /** Differs for each start of the process. */
  readonly incarnation: string;
  readonly domain: string;
  /** Where other hosts reach it. */
  readonly address: string;
  /** Processor that it may use, in cores. */
  readonly cores: number;
}

/** True if both are the same process, not only the same host. */
export function isSameProcess(one: HostIdentity, other: HostIdentity): boolean {
  return one.hostId === other.hostId && one.incarnation === other.incarnation;
}

/** The owner of a cell. The fencing token grows with each change of owner. */
export interface CellRecord {
  readonly cell: string;
  readonly owner: HostIdentity;
  readonly token: number;
}

function precedes(one: HostIdentity, other: HostIdentity): boolean {
  if (one.hostId !== other.hostId) return one.hostId < other.hostId;
  return one.incarnation < other.incarnation;
}

/**
 * True if `record` takes the place of `other`. Two claims may have equal tokens, from hosts that rank
 * their domain differently and can't reach the store, or where the store has lost a write. Then the host
 * whose name sorts first keeps the cell, whichever claim is heard first.
 */
export function supersedes(record: CellRecord, other: CellRecord): boolean {
  if (record.token !== other.token) return record.token > other.token;
  return precedes(record.owner, other.owner);
}

/**
 * Token of a claim without the store, by the host with this rank among `places` hosts; null if none is
 * left below the next claim in the store. The tokens after one of the store go round the hosts in the
 * order of their ranks, so that hosts that agree on the ranks never claim the same token, whichever they
 * know. The first round is that of the version before, which adds the rank and 1 to the known token.
 */
export function tokenWithoutStore(knownToken: number, rank: number, places: number): number | null {
  const used = knownToken % TOKEN_STEP;
  const turnsToWait = (rank - (used % places) + places) % places;
  const next = used + turnsToWait + 1;
  return next < TOKEN_STEP ? knownToken - used + next : null;
}

/** Key of a cell's record. */
export function cellKey(cell: string): string {
  return CELL_PREFIX + cell;
}

/** Key of a host's identity. */
export function hostKey(hostId: string): string {
  return HOST_PREFIX + hostId;
}

/** Text of a host's identity. */
export function encodeHost({ hostId, incarnation, domain, address, cores }: HostIdentity): string {
  return JSON.stringify({ hostId, incarnation, domain, address, cores });
}

/** Text of the number of cells in each failure domain. */
export function encodeLayout(cellsPerDomain: number): string {
  return JSON.stringify({ cellsPerDomain });
}

/** Text of a cell's record. */
export function encodeRecord({ owner, token }: CellRecord): string {
  const { hostId, incarnation, domain, address, cores } = owner;
  return JSON.stringify({ hostId, incarnation, domain, address, cores, token });
}

/** Short text that differs where any owner differs. */
export function digestOf(records: readonly CellRecord[]): string {
  const owners = records.map(
    ({ cell, owner, token }) => `${cell}=${token}/${owner.hostId}/${owner.incarnation}`,
  );
  owners.sort();
  return createHash('sha256').update(owners.join()).digest('base64').slice(0, DIGEST_LENGTH);
}

function parse(text: string): Partial<Record<string, unknown>> | null {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? value : null;
  } catch {
    return null;
  }
}

function identityOf(fields: Partial<Record<string, unknown>>): HostIdentity | null {
  const { hostId, incarnation, domain, address, cores } = fields;
  if (typeof hostId !== 'string' || typeof incarnation !== 'string') return null;
  if (typeof domain !== 'string' || typeof address !== 'string') return null;
  return { hostId, incarnation, domain, address, cores: typeof cores === 'number' ? cores : 1 };
}

/** What an entry of the store says; null if it can't be read. */
export type StoredRecord =
  | { readonly type: 'cell'; readonly record: CellRecord }
  | { readonly type: 'host'; readonly host: HostIdentity }
  | { readonly type: 'layout'; readonly cellsPerDomain: number };

function layoutOf(fields: Partial<Record<string, unknown>> | null): StoredRecord | null {
  const count = fields?.cellsPerDomain;
  const isCount = typeof count === 'number' && Number.isInteger(count) && count >= 1;
  return isCount ? { type: 'layout', cellsPerDomain: count } : null;
}

/** Reads an entry. */
export function decodeEntry({ key, value }: Entry): StoredRecord | null {
  const fields = parse(value);
  if (key === LAYOUT_KEY) return layoutOf(fields);
  const identity = fields && identityOf(fields);
  if (!identity) return null;
  if (key.startsWith(HOST_PREFIX)) return { type: 'host', host: identity };
  if (!key.startsWith(CELL_PREFIX) || typeof fields.token !== 'number') return null;
  const cell = key.slice(CELL_PREFIX.length);
  return { type: 'cell', record: { cell, owner: identity, token: fields.token } };
}
