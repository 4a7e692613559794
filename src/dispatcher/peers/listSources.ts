/**
 * Which host is asked for the lists of workers that this host can't read from the directory: the one
 * that told of a later read last, or the others in turn, one at a time. Hosts that call this one count
 * too, as a host that is turned away by the store may not have read which others there are.
 */

/** Callers that are remembered. */
const MAX_CALLERS = 8;

/** Chooses the host to ask. */
export class ListSources {
  /** Addresses of the hosts that have called last, the latest one at the end. */
  readonly #callers = new Set<string>();

  #lastAddress: string | null = null;

  #nextIndex = 0;

  /** Another host has sent a call. */
  recordCaller(address: string): void {
    this.#callers.delete(address);
    this.#callers.add(address);
    const [oldest] = this.#callers;
    if (oldest !== undefined && this.#callers.size > MAX_CALLERS) this.#callers.delete(oldest);
  }

  /** The host to ask now, out of the registered ones and the callers; null if there is none. */
  next(registered: readonly string[]): string | null {
    const addresses = [...new Set([...registered, ...this.#callers])];
    if (this.#lastAddress !== null && addresses.includes(this.#lastAddress)) {
      return this.#lastAddress;
    }
    const address = addresses[this.#nextIndex % addresses.length] ?? null;
    this.#nextIndex += 1;
    return address;
  }

  /** A host that was asked has answered, with later lists or without, or has not answered. */
  record(address: string, hasTold: boolean): void {
    if (hasTold) this.#lastAddress = address;
    else if (this.#lastAddress === address) this.#lastAddress = null;
  }
}
