/**
 * Records that the hosts keep in the store: the owner of each cell, the address of each host, and
 * the number of cells per failure domain.
 */
import type { CrashRecord } from '../../cells/crashRecord';
import { checksumOf } from '../../core/checksum';
import type { Entry } from '../../store/store';

/** Prefix of all keys of the dispatcher in the store. */
export const RECORD_PREFIX = 'wasabiyoke/';
const CELL_PREFIX = `${RECORD_PREFIX}cells/`;
const HOST_PREFIX = `${RECORD_PREFIX}hosts/`;
const CRASHES_PREFIX = `${RECORD_PREFIX}crashes/`;
/** Key of the number of cells per failure domain. */
export const LAYOUT_KEY = `${RECORD_PREFIX}layout`;

/**
 * Claims made in the store get tokens that are multiples of this number. The tokens in between are
 * used for claims that hosts of a domain make while the store is unavailable.
 */
export const TOKEN_STEP = 1000;

/** Identity of one dispatcher process. */
export interface HostIdentity {
  readonly hostId: string;
  /** Different for each start of the process. */
  readonly incarnation: string;
  readonly domain: string;
  /** Address for requests of other hosts. */
  readonly address: string;
  /** Number of cores that it may use; may be a fraction. */
  readonly cores: number;
}

/** True if both are the same process, not just the same host. */
export function isSameProcess(one: HostIdentity, other: HostIdentity): boolean {
  return one.hostId === other.hostId && one.incarnation === other.incarnation;
}

/** True if `earlier` is a process that ran before `current` on the same host, and so has ended. */
export function isEarlierProcess(earlier: HostIdentity, current: HostIdentity): boolean {
  const isSameHost = earlier.hostId === current.hostId && earlier.address === current.address;
  return isSameHost && earlier.incarnation !== current.incarnation;
}

/** Owner of a cell. The fencing token increases with each change of owner. */
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
 * True if `record` supersedes `other`. Two claims can have equal tokens if they were made without
 * the store by hosts that computed different ranks for their domain, or if the store lost a write.
 * The host whose id sorts first then keeps the cell, regardless of the order in which the claims
 * arrive.
 */
export function supersedes(record: CellRecord, other: CellRecord): boolean {
  if (record.token !== other.token) return record.token > other.token;
  return precedes(record.owner, other.owner);
}

/**
 * Token for a claim without the store, by the host with the given rank among `hostCount` hosts. Null
 * if no token is left below that of the next claim in the store. The tokens after a claim in the
 * store are assigned to the hosts in turn, in the order of their ranks, so that hosts that agree on
 * the ranks never claim the same token, whichever token they know. The first turn gives the same
 * tokens as the previous version, which adds the rank and 1 to the known token.
 */
export function tokenWithoutStore(
  knownToken: number,
  rank: number,
  hostCount: number,
): number | null {
  const used = knownToken % TOKEN_STEP;
  const turnsToSkip = (rank - (used % hostCount) + hostCount) % hostCount;
  const next = used + turnsToSkip + 1;
  return next < TOKEN_STEP ? knownToken - used + next : null;
}

/** Store key of a cell's record. */
export function cellKey(cell: string): string {
  return CELL_PREFIX + cell;
}

/** Store key of a host's identity. */
export function hostKey(hostId: string): string {
  return HOST_PREFIX + hostId;
}

/** Store key of the lost workers that a host has recorded. */
export function crashesKey(hostId: string): string {
  return CRASHES_PREFIX + hostId;
}

/** Encodes records of lost workers for the store. */
export function encodeCrashes(records: readonly CrashRecord[]): string {
  return JSON.stringify({ records });
}

/** Encodes a host's identity for the store. */
export function encodeHost({ hostId, incarnation, domain, address, cores }: HostIdentity): string {
  return JSON.stringify({ hostId, incarnation, domain, address, cores });
}

/** Encodes the number of cells per failure domain for the store. */
export function encodeLayout(cellsPerDomain: number): string {
  return JSON.stringify({ cellsPerDomain });
}

/** Encodes a cell's record for the store. */
export function encodeRecord({ owner, token }: CellRecord): string {
  const { hostId, incarnation, domain, address, cores } = owner;
  return JSON.stringify({ hostId, incarnation, domain, address, cores, token });
}

/** Digest of the records' cells, tokens and owner processes, independent of their order. */
export function digestOf(records: readonly CellRecord[]): string {
  const owners = records.map(
    ({ cell, owner, token }) => `${cell}=${token}/${owner.hostId}/${owner.incarnation}`,
  );
  owners.sort();
  return checksumOf(owners.join());
}

function parseObject(text: string): Partial<Record<string, unknown>> | null {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? value : null;
  } catch {
    return null;
  }
}

function decodeIdentity(fields: Partial<Record<string, unknown>>): HostIdentity | null {
  const { hostId, incarnation, domain, address, cores } = fields;
  if (typeof hostId !== 'string' || typeof incarnation !== 'string') return null;
  if (typeof domain !== 'string' || typeof address !== 'string') return null;
  return { hostId, incarnation, domain, address, cores: typeof cores === 'number' ? cores : 1 };
}

/** Decoded entry of the store. */
export type StoredRecord =
  | { readonly type: 'cell'; readonly record: CellRecord }
  | { readonly type: 'host'; readonly host: HostIdentity }
  | { readonly type: 'layout'; readonly cellsPerDomain: number }
  /** The records are not validated yet. */
  | { readonly type: 'crashes'; readonly hostId: string; readonly records: readonly unknown[] };

function decodeLayout(fields: Partial<Record<string, unknown>> | null): StoredRecord | null {
  const count = fields?.cellsPerDomain;
  const isCount = typeof count === 'number' && Number.isInteger(count) && count >= 1;
  return isCount ? { type: 'layout', cellsPerDomain: count } : null;
}

/** Decodes records of lost workers, which are not validated yet; null if the text is malformed. */
export function decodeCrashes(text: string): readonly unknown[] | null {
  const records = parseObject(text)?.records;
  return Array.isArray(records) ? records : null;
}

/** Decodes an entry of the store; null if it is malformed or of unknown type. */
export function decodeEntry({ key, value }: Entry): StoredRecord | null {
  const fields = parseObject(value);
  if (key === LAYOUT_KEY) return decodeLayout(fields);
  if (key.startsWith(CRASHES_PREFIX)) {
    const records = decodeCrashes(value);
    return records && { type: 'crashes', hostId: key.slice(CRASHES_PREFIX.length), records };
  }
  const identity = fields && decodeIdentity(fields);
  if (!identity) return null;
  if (key.startsWith(HOST_PREFIX)) return { type: 'host', host: identity };
  if (!key.startsWith(CELL_PREFIX) || typeof fields.token !== 'number') return null;
  const cell = key.slice(CELL_PREFIX.length);
  return { type: 'cell', record: { cell, owner: identity, token: fields.token } };
}
