/** Encoding of member records in the store, as JSON. */
import { z } from 'zod';
import { MemberState, type Member } from '../core/messages';

const text = z.string().min(1).max(512);

const MEMBER = z.object({
  hostId: text,
  incarnation: text,
  domain: text,
  peerAddress: text,
  state: z.enum(MemberState),
  sequence: z.int().min(0),
});

export const memberToJson = (member: Member): string => JSON.stringify(member);

/** Parses a record; returns null if it is malformed. */
export const memberFromJson = (json: string): Member | null => {
  try {
    return MEMBER.safeParse(JSON.parse(json)).data ?? null;
  } catch {
    return null;
  }
};
