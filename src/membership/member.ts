/**
 * Member records and their state transitions. Records of one host id are totally ordered regardless
 * of their order of arrival, so that all hosts that have received the same records agree. Only the
 * member itself increments its sequence number.
 */
import { MemberState, type Member } from '../core/messages';
import type { PeerOrigin } from '../peers/transport';

/** Precedence of states: at equal sequence numbers the higher rank wins. */
const RANK: Readonly<Record<MemberState, number>> = {
  alive: 0,
  leaving: 0,
  suspect: 1,
  dead: 2,
};

/**
 * Whether a record replaces the current one. The higher sequence number wins, also between two
 * incarnations: a process that receives a record of its predecessor raises its own sequence number
 * above it.
 */
export const supersedes = (candidate: Member, current: Member): boolean => {
  if (candidate.sequence !== current.sequence) return candidate.sequence > current.sequence;
  if (candidate.incarnation !== current.incarnation) {
    return candidate.incarnation > current.incarnation;
  }
  return RANK[candidate.state] > RANK[current.state];
};

/** Whether the member is not dead: it is alive, suspect or leaving. */
export const isPresent = (member: Member): boolean => member.state !== MemberState.dead;

/** Whether two records differ in any field other than the sequence number. */
export const differsBeyondSequence = (a: Member, b: Member): boolean =>
  a.state !== b.state ||
  a.incarnation !== b.incarnation ||
  a.peerAddress !== b.peerAddress ||
  a.domain !== b.domain;

/** Record of a member that did not answer a probe. */
export const asSuspect = (member: Member): Member => ({ ...member, state: MemberState.suspect });

/** Record of a member that did not refute a suspicion in time. */
export const asDead = (member: Member): Member => ({ ...member, state: MemberState.dead });

/** Record of this host that supersedes a wrong claim about it. */
export const asRefuted = (self: Member, claim: Member): Member => ({
  ...self,
  sequence: Math.max(self.sequence, claim.sequence) + 1,
});

/** Record with which this host announces that it will stop. */
export const asLeaving = (self: Member): Member => ({
  ...self,
  state: MemberState.leaving,
  sequence: self.sequence + 1,
});

/**
 * The record that the sender of a message gives of itself. It takes precedence over the known
 * record, because a restarted host may have another address.
 */
export const recordOfSender = (from: PeerOrigin, updates: readonly Member[]): Member | null =>
  updates.find(
    ({ hostId, incarnation }) => hostId === from.hostId && incarnation === from.incarnation,
  ) ?? null;
