/** Peer addresses from the settings and the store, used to find members that are not known yet. */
import type { Member } from '../core/messages';

/** Contact addresses, returned in rotation. */
export class Contacts {
  readonly #seeds: readonly string[];

  #discovered: readonly string[] = [];

  #index = 0;

  constructor(seeds: readonly string[]) {
    this.#seeds = seeds;
  }

  /** Replaces the addresses that were read from the store. */
  setDiscovered(addresses: readonly string[]): void {
    this.#discovered = addresses;
  }

  /** Addresses of no known member. Dead members count as known: they are probed separately. */
  withoutMember(members: readonly Member[]): readonly string[] {
    const known = new Set(members.map(({ peerAddress }) => peerAddress));
    const all = new Set([...this.#seeds, ...this.#discovered]);
    return [...all].filter((address) => !known.has(address));
  }

  /** The next address of no known member, or null if there is none. */
  nextWithoutMember(members: readonly Member[]): string | null {
    const addresses = this.withoutMember(members);
    if (addresses.length === 0) return null;
    this.#index += 1;
    return addresses[this.#index % addresses.length] ?? null;
  }
}
