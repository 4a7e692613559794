/**
 * Validates decoded fields. A violation throws `MalformedError`, which the decoders in this folder
 * catch, so that invalid input from a peer never throws into the rest of the host.
 */
import { MemberState, type Member, type WorkerRef } from '../core/messages';
import type { Resources } from '../core/job';
import { wasabiyoke } from './generated/peers';

const { MemberState: WireState } = wasabiyoke.peers;

/** Thrown if a field of a peer's message is missing or out of range. */
export class MalformedError extends Error {}

/** Length limit of identifiers, names and addresses. */
const MAX_NAME_LENGTH = 512;

/** Requires a finite, non-negative number. */
export const quantity = (value: number | null | undefined, field: string): number => {
  if (typeof value !== 'number' || !Number.isFinite(value) || value < 0) {
    throw new MalformedError(`${field}: expected a number of at least 0`);
  }
  return value;
};

/** Requires a non-negative safe integer. */
export const integer = (value: number | null | undefined, field: string): number => {
  if (!Number.isSafeInteger(value) || (value as number) < 0) {
    throw new MalformedError(`${field}: expected an integer of at least 0`);
  }
  return value as number;
};

/** Requires a non-empty string of limited length. */
export const name = (value: string | null | undefined, field: string): string => {
  if (typeof value !== 'string' || value.length === 0 || value.length > MAX_NAME_LENGTH) {
    throw new MalformedError(`${field}: expected 1 to ${MAX_NAME_LENGTH} characters`);
  }
  return value;
};

/** Requires one of the values of a constant object. */
export const oneOf = <T extends string>(
  values: Readonly<Record<string, T>>,
  value: string | null | undefined,
  field: string,
): T => {
  const found = Object.values(values).find((candidate) => candidate === value);
  if (found === undefined) throw new MalformedError(`${field}: unexpected value`);
  return found;
};

/** Requires a value that is neither null nor undefined. */
export const present = <T>(value: T | null | undefined, field: string): T => {
  if (value === null || value === undefined) throw new MalformedError(`${field}: missing`);
  return value;
};

export const resourcesOf = (
  wire: wasabiyoke.peers.Resources.$Properties | null | undefined,
): Resources => {
  const value = present(wire, 'resources');
  return {
    cores: quantity(value.cores ?? 0, 'cores'),
    memoryMb: quantity(value.memoryMb ?? 0, 'memoryMb'),
    accelerators: quantity(value.accelerators ?? 0, 'accelerators'),
  };
};

export const workerOf = (
  wire: wasabiyoke.peers.WorkerRef.$Properties | null | undefined,
): WorkerRef => {
  const value = present(wire, 'worker');
  return {
    id: name(value.id, 'worker.id'),
    address: name(value.address, 'worker.address'),
    incarnation: name(value.incarnation, 'worker.incarnation'),
  };
};

const STATE_TO_WIRE: Readonly<Record<MemberState, wasabiyoke.peers.MemberState>> = {
  alive: WireState.MEMBER_STATE_ALIVE,
  suspect: WireState.MEMBER_STATE_SUSPECT,
  dead: WireState.MEMBER_STATE_DEAD,
  leaving: WireState.MEMBER_STATE_LEAVING,
};

const STATE_FROM_WIRE = new Map<number, MemberState>(
  Object.values(MemberState).map((state) => [STATE_TO_WIRE[state], state]),
);

export const memberToWire = (member: Member): wasabiyoke.peers.Member.$Properties => ({
  ...member,
  state: STATE_TO_WIRE[member.state],
});

export const memberOf = (wire: wasabiyoke.peers.Member.$Properties | null | undefined): Member => {
  const value = present(wire, 'member');
  return {
    hostId: name(value.hostId, 'hostId'),
    incarnation: name(value.incarnation, 'incarnation'),
    domain: name(value.domain, 'domain'),
    peerAddress: name(value.peerAddress, 'peerAddress'),
    state: present(STATE_FROM_WIRE.get(value.state ?? 0), 'state'),
    sequence: integer(value.sequence ?? 0, 'sequence'),
  };
};
