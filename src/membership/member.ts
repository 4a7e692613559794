/**
 * Member records and their steps. Records of one host id are totally ordered, whatever the order of
 * arrival, so that all hosts which have seen the same records agree. Only the member itself raises
 * its sequence number.
 */
import { MemberState, type Member } from '../core/messages';
import type { PeerOrigin } from '../peers/transport';

/** Within one sequence number, a worse state wins. */
const RANK: Readonly<Record<MemberState, number>> = {
  alive: 0,
  leaving: 0,
  suspect: 1,
  dead: 2,
};

/**
 * Whether a record replaces the current one. Between two incarnations the higher sequence number
 * wins, because a process that hears of a predecessor raises its own above it.
 */
export const supersedes = (candidate: Member, current: Member): boolean => {
  if (candidate.sequence !== current.sequence) return candidate.sequence > current.sequence;
  if (candidate.incarnation !== current.incarnation) {
    return candidate.incarnation > current.incarnation;
  }
  return RANK[candidate.state] > RANK[current.state];
};

/** Whether the member takes part: it is alive, suspect or leaving. */
export const isPresent = (member: Member): boolean => member.state !== MemberState.dead;

/** Whether two records differ in more than the sequence number. */
export const differs = (a: Member, b: Member): boolean =>
  a.state !== b.state ||
  a.incarnation !== b.incarnation ||
  a.peerAddress !== b.peerAddress ||
  a.domain !== b.domain;

/** The member did not answer a probe. */
export const suspected = (member: Member): Member => ({ ...member, state: MemberState.suspect });

/** The member has not refuted a suspicion in time. */
export const declaredDead = (member: Member): Member => ({ ...member, state: MemberState.dead });

/** This host's answer to a record about itself that is not true. */
export const refuted = (self: Member, claim: Member): Member => ({
  ...self,
  sequence: Math.max(self.sequence, claim.sequence) + 1,
});

/** This host announces that it will stop. */
export const announcedLeaving = (self: Member): Member => ({
  ...self,
  state: MemberState.leaving,
  sequence: self.sequence + 1,
});

/** The sender's record of itself: a restarted host may have another address than the one known. */
export const ownRecord = (from: PeerOrigin, updates: readonly Member[]): Member | null =>
  updates.find(
    ({ hostId, incarnation }) => hostId === from.hostId && incarnation === from.incarnation,
  ) ?? null;
