/** Counters of bytes and messages per message type, and of dropped messages and calls. */

/** Why messages or calls were dropped. */
export const DropReason = {
  /** The address of the peer is unknown or not of the form `ip:port`. */
  noAddress: 'no-address',
  /** The stream broke, or could not be opened, while the messages were queued. */
  disconnected: 'disconnected',
  /** The peer reads more slowly than this host writes. */
  peerSlow: 'peer-slow',
  /** A message exceeds the size limit. */
  tooLarge: 'too-large',
  /** A message from a peer could not be decoded or has values out of range. */
  malformed: 'malformed',
  /** The transport has been closed. */
  closed: 'closed',
  /** The handler of this host threw an error. */
  handlerFailed: 'handler-failed',
} as const;
export type DropReason = (typeof DropReason)[keyof typeof DropReason];

/** Counters of one message type since the transport was created. */
export interface TypeTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
  /** Messages sent and received. */
  readonly messages: number;
}

/** Counters of one transport. */
export class Traffic {
  readonly #types = new Map<
    string,
    { sentBytes: number; receivedBytes: number; messages: number }
  >();

  readonly #drops = new Map<DropReason, number>();

  /** Counts a message passed to the connection. */
  sent(type: string, bytes: number): void {
    const entry = this.#countersOf(type);
    entry.sentBytes += bytes;
    entry.messages += 1;
  }

  /** Counts a message received. */
  received(type: string, bytes: number): void {
    const entry = this.#countersOf(type);
    entry.receivedBytes += bytes;
    entry.messages += 1;
  }

  /** Counts dropped messages or calls. */
  dropped(reason: DropReason, count: number): void {
    if (count > 0) this.#drops.set(reason, (this.#drops.get(reason) ?? 0) + count);
  }

  /** Returns the counters per message type. */
  types(): Readonly<Record<string, TypeTraffic>> {
    return Object.fromEntries([...this.#types].map(([type, entry]) => [type, { ...entry }]));
  }

  /** Returns the number of dropped messages and calls per reason. */
  drops(): Readonly<Partial<Record<DropReason, number>>> {
    return Object.fromEntries(this.#drops);
  }

  #countersOf(type: string): { sentBytes: number; receivedBytes: number; messages: number } {
    let entry = this.#types.get(type);
    if (entry === undefined) {
      entry = { sentBytes: 0, receivedBytes: 0, messages: 0 };
      this.#types.set(type, entry);
    }
    return entry;
  }
}
