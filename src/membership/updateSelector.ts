/**
 * Selects the member records that each message carries: this host's own record; the record of the
 * receiver, if the receiver has to refute it; queued updates; and one record in rotation. A queued
 * update is sent a bounded number of times, and all of these messages may be lost. The rotation
 * guarantees eventual convergence.
 */
import { MemberState, type Member } from '../core/messages';
import type { MemberTable } from './memberTable';
import { UpdateQueue } from './updateQueue';

/** Identity of the host that a message is sent to. */
export interface Receiver {
  readonly hostId: string;
  readonly incarnation: string;
}

/** Selects the records for outgoing messages. */
export class UpdateSelector {
  readonly #table: MemberTable;

  readonly #maxUpdates: number;

  readonly #queue = new UpdateQueue();

  #rotationIndex = 0;

  constructor(table: MemberTable, maxUpdates: number) {
    this.#table = table;
    this.#maxUpdates = maxUpdates;
    this.#queue.add(table.self);
  }

  /** Queues a record for the next messages. */
  disseminate(member: Member): void {
    this.#queue.add(member);
  }

  /**
   * Records for one message. `receiver` is null if only its address is known; `extra` is a record
   * that the receiver asked about.
   */
  updatesFor(receiver: Receiver | null, extra: Member | null = null): readonly Member[] {
    const selected = new Map<string, Member>();
    const add = (member: Member): unknown => selected.set(member.hostId, member);
    add(this.#table.self);
    const receiverRecord = receiver === null ? null : this.#table.get(receiver.hostId);
    if (receiverRecord !== null && receiver !== null) {
      const needsRefuting =
        receiverRecord.state === MemberState.suspect || receiverRecord.state === MemberState.dead;
      if (needsRefuting || receiverRecord.incarnation !== receiver.incarnation) add(receiverRecord);
    }
    if (extra !== null) add(extra);
    const members = this.#table.members();
    const remaining = this.#maxUpdates - selected.size - 1;
    this.#queue.take(remaining, members.length, new Set(selected.keys())).forEach(add);
    this.#rotationIndex = (this.#rotationIndex + 1) % members.length;
    const next = members[this.#rotationIndex];
    if (next !== undefined) add(next);
    return [...selected.values()];
  }
}
