/**
 * Unary calls to one peer, on a connection apart from its message stream, so that a large job does
 * not delay slot messages. A call yields null when it has no valid answer.
 */
import type { Client } from '@grpc/grpc-js';
import { PeerClient } from './peerClient';
import type { ResolvedOptions } from './transportOptions';

const sameBytes = (value: Buffer): Buffer => value;

/** Client of one peer. */
export class UnaryCalls {
  readonly #options: ResolvedOptions;

  readonly #client: PeerClient;

  #running = 0;

  #usedAtMs = performance.now();

  constructor(address: string, options: ResolvedOptions) {
    this.#options = options;
    this.#client = new PeerClient(address, options);
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
    try {
      return await this.#request(this.#client.get(), path, request, timeoutMs);
    } finally {
      this.#running -= 1;
      this.#usedAtMs = performance.now();
    }
  }

  /** Closes the connection; calls in progress are cancelled by the caller's time-out at the latest. */
  close(): void {
    this.#client.close();
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
        if (this.#client.ready()) return;
        call.cancel();
        this.#client.connectTimedOut();
      }, this.#options.connectTimeoutMs);
    });
  }
}
