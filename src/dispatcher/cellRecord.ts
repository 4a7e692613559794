/** Who owns a cell: the record in the store, and its JSON form. */
import type { Entry } from '../store/store';

/** Prefix of the records' keys; the name of the cell follows. */
export const CELL_PREFIX = 'wasabiyoke/cells/';

/** One process of the dispatcher. */
export interface HostIdentity {
  readonly hostId: string;
  /** Differs for each start of the process. */
  readonly incarnation: string;
  readonly domain: string;
  /** Where other hosts reach it. */
  readonly address: string;
}

/** The owner of a cell. `revision` grows with each change of owner and is its fencing token. */
export interface CellRecord {
  readonly cell: string;
  readonly owner: HostIdentity;
  readonly revision: number;
}

/** Key of a cell's record. */
export function cellKey(cell: string): string {
  return CELL_PREFIX + cell;
}

/** Text of a record's value. */
export function encodeOwner({ hostId, incarnation, domain, address }: HostIdentity): string {
  return JSON.stringify({ hostId, incarnation, domain, address });
}

function isIdentity(value: unknown): value is HostIdentity {
  const fields = value as Partial<Record<keyof HostIdentity, unknown>> | null;
  const names: readonly (keyof HostIdentity)[] = ['hostId', 'incarnation', 'domain', 'address'];
  return typeof fields === 'object' && names.every((name) => typeof fields?.[name] === 'string');
}

/** Reads a record; null if the value is none. */
export function decodeRecord({ key, value, modRevision }: Entry): CellRecord | null {
  try {
    const owner: unknown = JSON.parse(value);
    if (!isIdentity(owner)) return null;
    return { cell: key.slice(CELL_PREFIX.length), owner, revision: modRevision };
  } catch {
    return null;
  }
}
