/**
 * The gRPC client of one peer. It is replaced when its connection attempt hangs: an attempt made
 * during a network partition would otherwise wait for the kernel's retries, for a minute or more
 * after the partition has healed.
 */
import { Client, connectivityState, credentials } from '@grpc/grpc-js';
import { channelOptions, type ResolvedOptions } from './transportOptions';

/** Holds a client with its own connection, created on first use. */
export class PeerClient {
  readonly #address: string;

  readonly #options: ResolvedOptions;

  #client: Client | null = null;

  #createdAtMs = 0;

  constructor(address: string, options: ResolvedOptions) {
    this.#address = address;
    this.#options = options;
  }

  /** Returns the client to use for the next call. */
  get(): Client {
    if (this.#client === null) {
      this.#client = new Client(
        this.#address,
        credentials.createInsecure(),
        channelOptions(this.#options),
      );
      this.#createdAtMs = performance.now();
    }
    return this.#client;
  }

  /** True if the connection is established; false also while a connection attempt hangs. */
  ready(): boolean {
    return (
      this.#client !== null &&
      this.#client.getChannel().getConnectivityState(false) === connectivityState.READY
    );
  }

  /** Reports that a call timed out while connecting; replaces the client if it is old enough. */
  connectTimedOut(): void {
    if (performance.now() - this.#createdAtMs >= this.#options.replaceClientMs) this.close();
  }

  /** Discards the client; its connection closes once its calls have ended. */
  close(): void {
    this.#client?.close();
    this.#client = null;
  }
}
