/**
 * Chooses the member records of each message: the own one; what this host believes about the
 * receiver, if the receiver has to refute it; fresh updates; and one in rotation. Fresh updates are
 * sent a bounded number of times and could all be lost; the rotation makes all hosts agree in the end.
 */
import { MemberState, type Member } from '../core/messages';
import type { MemberTable } from './memberTable';
import { UpdateQueue } from './updateQueue';

/** To whom a message goes; null fields if only the address is known. */
export interface Receiver {
  readonly hostId: string;
  readonly incarnation: string;
}

/** Composes the records of messages. */
export class Composer {
  readonly #table: MemberTable;

  readonly #maxUpdates: number;

  readonly #fresh = new UpdateQueue();

  #rotation = 0;

  constructor(table: MemberTable, maxUpdates: number) {
    this.#table = table;
    this.#maxUpdates = maxUpdates;
    this.#fresh.add(table.self);
  }

  /** Passes a record on with the next messages. */
  spread(member: Member): void {
    this.#fresh.add(member);
  }

  /** Records for one message; `extra` is one that the receiver asked about. */
  updatesFor(receiver: Receiver | null, extra: Member | null = null): readonly Member[] {
    const chosen = new Map<string, Member>();
    const add = (member: Member): unknown => chosen.set(member.hostId, member);
    add(this.#table.self);
    const belief = receiver === null ? null : this.#table.get(receiver.hostId);
    if (belief !== null && receiver !== null) {
      const wrong = belief.state === MemberState.suspect || belief.state === MemberState.dead;
      if (wrong || belief.incarnation !== receiver.incarnation) add(belief);
    }
    if (extra !== null) add(extra);
    const members = this.#table.members();
    const room = this.#maxUpdates - chosen.size - 1;
    this.#fresh.take(room, members.length, new Set(chosen.keys())).forEach(add);
    this.#rotation = (this.#rotation + 1) % members.length;
    const rotated = members[this.#rotation];
    if (rotated !== undefined) add(rotated);
    return [...chosen.values()];
  }
}
