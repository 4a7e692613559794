/** Addresses from settings and the store at which a member may run that is not known yet. */
import type { Member } from '../core/messages';

/** Addresses to try, in rotation. */
export class Contacts {
  readonly #seeds: readonly string[];

  #learned: readonly string[] = [];

  #position = 0;

  constructor(seeds: readonly string[]) {
    this.#seeds = seeds;
  }

  /** Replaces the addresses from the store. */
  learn(addresses: readonly string[]): void {
    this.#learned = addresses;
  }

  /** Addresses at which no member is known; dead members are probed anyway. */
  unknown(members: readonly Member[]): readonly string[] {
    const known = new Set(members.map(({ peerAddress }) => peerAddress));
    const all = new Set([...this.#seeds, ...this.#learned]);
    return [...all].filter((address) => !known.has(address));
  }

  /** The next unknown address. */
  next(members: readonly Member[]): string | null {
    const addresses = this.unknown(members);
    if (addresses.length === 0) return null;
    this.#position += 1;
    return addresses[this.#position % addresses.length] ?? null;
  }
}
