/**
 * Transport of an entry host under a partition. What crosses a cut is dropped: messages vanish, calls
 * have no answer. A call that was under way when the cut began has reached its peer, and only its
 * answer is lost.
 */
import type { JobAnswer, JobSpec } from '../core/job';
import type { PeerMessage } from '../core/messages';
import type { PeerHandler, PeerTransport } from '../peers/transport';
import type { Partition } from './partition';

/** Transport of one host whose traffic is subject to a partition. */
export class PartitionedTransport implements PeerTransport {
  readonly #inner: PeerTransport;

  readonly #partition: Partition;

  readonly #address: string;

  /** `address` is the peer address of the host that the transport belongs to. */
  constructor(inner: PeerTransport, partition: Partition, address: string) {
    this.#inner = inner;
    this.#partition = partition;
    this.#address = address;
  }

  listen(handler: PeerHandler): Promise<number> {
    return this.#inner.listen(handler);
  }

  send(peerAddress: string, messages: readonly PeerMessage[]): void {
    if (!this.#cutFrom(peerAddress)) this.#inner.send(peerAddress, messages);
  }

  forward(
    peerAddress: string,
    incarnation: string,
    key: string,
    job: JobSpec,
  ): Promise<JobAnswer | null> {
    return this.#call(peerAddress, () => this.#inner.forward(peerAddress, incarnation, key, job));
  }

  forwardCancel(peerAddress: string, incarnation: string, key: string): Promise<JobAnswer | null> {
    return this.#call(peerAddress, () => this.#inner.forwardCancel(peerAddress, incarnation, key));
  }

  forwardAwait(peerAddress: string, incarnation: string, key: string): Promise<JobAnswer | null> {
    return this.#call(peerAddress, () => this.#inner.forwardAwait(peerAddress, incarnation, key));
  }

  status(peerAddress: string): Promise<unknown> {
    return this.#call(peerAddress, () => this.#inner.status(peerAddress));
  }

  traffic(): ReturnType<PeerTransport['traffic']> {
    return this.#inner.traffic();
  }

  close(graceMs: number): Promise<void> {
    return this.#inner.close(graceMs);
  }

  async #call<T>(peerAddress: string, call: () => Promise<T>): Promise<T | null> {
    if (this.#cutFrom(peerAddress)) return null;
    const reply = await call();
    return this.#cutFrom(peerAddress) ? null : reply;
  }

  #cutFrom(peerAddress: string): boolean {
    return this.#partition.separates(this.#address, peerAddress);
  }
}
