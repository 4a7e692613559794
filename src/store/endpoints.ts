/**
 * Connections to the endpoints of the key-value store. A call is sent to a single endpoint, after
 * that endpoint has accepted a connection. If no endpoint accepts one, the call is known not to
 * have reached the store.
 */
import { Client, connectivityState, credentials } from '@grpc/grpc-js';

const CHANNEL_OPTIONS = {
  // The dispatcher decides which calls to retry.
  'grpc.enable_retries': 0,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000,
  // Detects a dead connection under an idle watch.
  'grpc.keepalive_time_ms': 10_000,
  'grpc.keepalive_timeout_ms': 3000,
  // With a client-side limit, a change that was applied could be reported as a failed call.
  'grpc.max_receive_message_length': -1,
  // Stores in one process must not share connections, or closing one would affect another.
  'grpc.use_local_subchannel_pool': 1,
} as const;

/**
 * `isClosed` is checked before each attempt, because a closed channel that is asked to connect
 * opens a connection that nothing closes.
 */
function waitUntilConnected(
  client: Client,
  deadlineMs: number,
  isClosed: () => boolean,
): Promise<boolean> {
  const channel = client.getChannel();
  return new Promise((resolve) => {
    function checkState(): void {
      if (isClosed()) {
        resolve(false);
        return;
      }
      const state = channel.getConnectivityState(true);
      if (state === connectivityState.READY) resolve(true);
      else if (state === connectivityState.TRANSIENT_FAILURE) resolve(false);
      else if (state === connectivityState.SHUTDOWN) resolve(false);
      else
        channel.watchConnectivityState(state, deadlineMs, (error) =>
          error ? resolve(false) : checkState(),
        );
    }
    checkState();
  });
}

/** One gRPC client per endpoint; calls use the current one. */
export class Endpoints {
  readonly #clients: readonly Client[];

  #current = 0;

  #closed = false;

  /** `addresses` have the form `host:port`. */
  constructor(addresses: readonly string[]) {
    if (addresses.length === 0) throw new Error('a store needs at least one endpoint');
    const secure = credentials.createInsecure();
    this.#clients = addresses.map((address) => new Client(address, secure, CHANNEL_OPTIONS));
  }

  /** Returns a connected client; null if no endpoint accepts a connection within the timeout. */
  connect(timeoutMs: number): Promise<Client | null> {
    const perEndpointMs = timeoutMs / this.#clients.length;
    return this.#tryEndpoints(this.#current, this.#clients.length, perEndpointMs);
  }

  /** Switches later calls to the next endpoint if `client` is the current one. */
  switchFrom(client: Client): void {
    if (this.#clients[this.#current] !== client) return;
    this.#current = (this.#current + 1) % this.#clients.length;
  }

  close(): void {
    this.#closed = true;
    this.#clients.forEach((client) => client.close());
  }

  async #tryEndpoints(
    index: number,
    remaining: number,
    perEndpointMs: number,
  ): Promise<Client | null> {
    const client = this.#clients[index];
    if (remaining === 0 || !client) return null;
    const deadlineMs = Date.now() + perEndpointMs;
    if (await waitUntilConnected(client, deadlineMs, () => this.#closed)) {
      this.#current = index;
      return client;
    }
    return this.#tryEndpoints((index + 1) % this.#clients.length, remaining - 1, perEndpointMs);
  }
}
