/**
 * Connections to the endpoints of the service. A call is sent to one endpoint only, once that has
 * accepted a connection; so a call for which no endpoint did is known not to have reached the store.
 */
import { Client, connectivityState, credentials } from '@grpc/grpc-js';

const CHANNEL_OPTIONS = {
  // The dispatcher decides itself what to repeat.
  'grpc.enable_retries': 0,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000,
  // Ends a watch whose connection broke without a sign.
  'grpc.keepalive_time_ms': 10_000,
  'grpc.keepalive_timeout_ms': 3000,
  // A client-side limit would turn an applied change into a failed call.
  'grpc.max_receive_message_length': -1,
  // Endpoints of one process must not share connections, or closing one store affects another.
  'grpc.use_local_subchannel_pool': 1,
} as const;

function connected(client: Client, deadlineMs: number): Promise<boolean> {
  const channel = client.getChannel();
  return new Promise((resolve) => {
    function look(): void {
      const state = channel.getConnectivityState(true);
      if (state === connectivityState.READY) resolve(true);
      else if (state === connectivityState.TRANSIENT_FAILURE) resolve(false);
      else if (state === connectivityState.SHUTDOWN) resolve(false);
      else channel.watchConnectivityState(state, deadlineMs, (e) => (e ? resolve(false) : look()));
    }
    look();
  });
}

/** The clients of all endpoints and which of them is in use. */
export class Endpoints {
  readonly #clients: readonly Client[];

  #current = 0;

  /** `addresses` are `host:port`. */
  constructor(addresses: readonly string[]) {
    if (addresses.length === 0) throw new Error('a store needs at least one endpoint');
    const secure = credentials.createInsecure();
    this.#clients = addresses.map((address) => new Client(address, secure, CHANNEL_OPTIONS));
  }

  /** A connected client; null if none of the endpoints accepts a connection within the time. */
  connect(timeoutMs: number): Promise<Client | null> {
    const eachMs = timeoutMs / this.#clients.length;
    return this.#try(this.#current, this.#clients.length, eachMs);
  }

  /** Makes later calls use the next endpoint, unless they already do. */
  leave(client: Client): void {
    if (this.#clients[this.#current] !== client) return;
    this.#current = (this.#current + 1) % this.#clients.length;
  }

  close(): void {
    this.#clients.forEach((client) => client.close());
  }

  async #try(index: number, left: number, eachMs: number): Promise<Client | null> {
    const client = this.#clients[index];
    if (left === 0 || !client) return null;
    if (await connected(client, Date.now() + eachMs)) {
      this.#current = index;
      return client;
    }
    return this.#try((index + 1) % this.#clients.length, left - 1, eachMs);
  }
}
