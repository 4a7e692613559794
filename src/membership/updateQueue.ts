/**
 * Records waiting to be passed on with the next messages. Each is sent a bounded number of times,
 * which grows with the logarithm of the number of members, as in SWIM (Das, Gupta, Motivala 2002);
 * the least sent go first.
 */
import type { Member } from '../core/messages';

/** Sends of one record per doubling of the number of members. */
const SENDS_FACTOR = 3;

interface Update {
  readonly member: Member;
  readonly sends: number;
}

/** Queue of updates; one per host id. */
export class UpdateQueue {
  readonly #updates = new Map<string, Update>();

  /** Number of records waiting. */
  get size(): number {
    return this.#updates.size;
  }

  /** Queues a record in place of an older one of the same host. */
  add(member: Member): void {
    this.#updates.set(member.hostId, { member, sends: 0 });
  }

  /** Takes up to `limit` records for one message; `memberCount` bounds how often each is sent. */
  take(limit: number, memberCount: number, skip: ReadonlySet<string>): readonly Member[] {
    if (this.#updates.size === 0) return [];
    const maxSends = SENDS_FACTOR * Math.ceil(Math.log2(memberCount + 1));
    return [...this.#updates.values()]
      .filter(({ member }) => !skip.has(member.hostId))
      .sort((a, b) => a.sends - b.sends)
      .slice(0, limit)
      .map(({ member, sends }) => {
        if (sends + 1 >= maxSends) this.#updates.delete(member.hostId);
        else this.#updates.set(member.hostId, { member, sends: sends + 1 });
        return member;
      });
  }
}
