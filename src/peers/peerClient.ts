/**
 * The gRPC client of one peer. It is replaced when its connection attempt hangs: an attempt into a
 * partition would otherwise wait for the kernel's retries, a minute and more after the partition has
 * healed.
 */
import { Client, connectivityState, credentials } from '@grpc/grpc-js';
import { channelOptions, type ResolvedOptions } from './transportOptions';

/** Client with its own connection, created at first use. */
export class PeerClient {
  readonly #address: string;

  readonly #options: ResolvedOptions;

  #client: Client | null = null;

  #createdAtMs = 0;

  constructor(address: string, options: ResolvedOptions) {
    this.#address = address;
    this.#options = options;
  }

  /** The client to use for the next call. */
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

  /** Whether the connection is established; false also while an attempt hangs. */
  ready(): boolean {
    return (
      this.#client !== null &&
      this.#client.getChannel().getConnectivityState(false) === connectivityState.READY
    );
  }

  /** Tells that a call was not connected in time. */
  connectTimedOut(): void {
    if (performance.now() - this.#createdAtMs >= this.#options.replaceClientMs) this.close();
  }

  /** Closes the connection once its calls have ended. */
  close(): void {
    this.#client?.close();
    this.#client = null;
  }
}
