/** Network cuts between entry hosts: peers at isolated addresses reach only each other. */

/** The cuts in force between peer addresses. */
export class Partition {
  #isolated: ReadonlySet<string> = new Set();

  /** Cuts the peers at these addresses off from all others; replaces the cut in force. */
  isolate(peerAddresses: Iterable<string>): void {
    this.#isolated = new Set(peerAddresses);
  }

  heal(): void {
    this.#isolated = new Set();
  }

  separates(from: string, to: string): boolean {
    return this.#isolated.has(from) !== this.#isolated.has(to);
  }
}
