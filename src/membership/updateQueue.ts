/**
 * Queue of member records to piggyback on outgoing messages. Each record is sent a bounded number
 * of times, proportional to the logarithm of the number of members, as in SWIM (Das, Gupta,
 * Motivala 2002). Records that were sent least often go first.
 */
import type { Member } from '../core/messages';

/** Number of sends of a record per doubling of the number of members. */
const SENDS_PER_DOUBLING = 3;

interface Update {
  readonly member: Member;
  readonly sends: number;
}

/** Queued updates; at most one per host id. */
export class UpdateQueue {
  readonly #updates = new Map<string, Update>();

  /** Number of queued records. */
  get size(): number {
    return this.#updates.size;
  }

  /** Queues a record; replaces an older one of the same host. */
  add(member: Member): void {
    this.#updates.set(member.hostId, { member, sends: 0 });
  }

  /**
   * Returns up to `limit` records for one message and counts them as sent. `memberCount` determines
   * how often each record is sent.
   */
  take(limit: number, memberCount: number, skip: ReadonlySet<string>): readonly Member[] {
    if (this.#updates.size === 0) return [];
    const maxSends = SENDS_PER_DOUBLING * Math.ceil(Math.log2(memberCount + 1));
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
