/**
 * Unary calls to one peer, on a connection apart from its message stream, so that a large job does
 * not delay slot messages. A call yields null when it has no valid answer.
 */
import { Client, connectivityState, credentials } from '@grpc/grpc-js';
import { channelOptions, type ResolvedOptions } from './transportOptions';

const sameBytes = (value: Buffer): Buffer => value;

/** Client of one peer. */
export class UnaryCalls {
  readonly #address: string;

  readonly #options: ResolvedOptions;

  #client: Client | null = null;

  #running = 0;

  #usedAtMs = performance.now();

  constructor(address: string, options: ResolvedOptions) {
    this.#address = address;
    this.#options = options;
  }

  /** Calls without an answer so far. */
  get running(): number {
    return this.#running;
  }

  /** Time of the last call on the monotonic clock. */
  get usedAtMs(): number {
    return this.#usedAtMs;
  }

  /** Calls a method; null if the peer can't be reached, refuses the call, or is late. */
  async call(path: string, request: Buffer, timeoutMs: number): Promise<Buffer | null> {
    this.#running += 1;
    this.#usedAtMs = performance.now();
    this.#client ??= new Client(
      this.#address,
      credentials.createInsecure(),
      channelOptions(this.#options),
    );
    try {
      return await this.#request(this.#client, path, request, timeoutMs);
    } finally {
      this.#running -= 1;
      this.#usedAtMs = performance.now();
    }
  }

  /** Closes the connection; calls in progress are cancelled by the caller's time-out at the latest. */
  close(): void {
    this.#client?.close();
    this.#client = null;
  }

  #request(
    client: Client,
    path: string,
    request: Buffer,
    timeoutMs: number,
  ): Promise<Buffer | null> {
    return new Promise((resolve) => {
      const deadline = Date.now() + timeoutMs;
      let timer: NodeJS.Timeout | null = null;
      const call = client.makeUnaryRequest(
        path,
        sameBytes,
        sameBytes,
        request,
        { deadline },
        (error, reply) => {
          if (timer !== null) clearTimeout(timer);
          resolve(error === null ? (reply ?? null) : null);
        },
      );
      // A peer that accepts connections and never answers must not use up the job's deadline.
      timer = setTimeout(() => {
        if (client.getChannel().getConnectivityState(false) === connectivityState.READY) return;
        call.cancel();
        if (this.#client === client) this.close();
      }, this.#options.connectTimeoutMs);
    });
  }
}
