/**
 * Unary calls to one peer, on a separate connection from its message stream, so that a large job
 * does not delay slot messages. A call resolves with null if it gets no reply.
 */
import type { Client } from '@grpc/grpc-js';
import { PeerClient } from './peerClient';
import type { ResolvedOptions } from './transportOptions';

const identity = (value: Buffer): Buffer => value;

/** Makes unary calls to one peer. */
export class UnaryCalls {
  readonly #options: ResolvedOptions;

  readonly #client: PeerClient;

  #running = 0;

  #usedAtMs = performance.now();

  constructor(address: string, options: ResolvedOptions) {
    this.#options = options;
    this.#client = new PeerClient(address, options);
  }

  /** Number of calls in progress. */
  get running(): number {
    return this.#running;
  }

  /** Time of the last use, on the monotonic clock. */
  get usedAtMs(): number {
    return this.#usedAtMs;
  }

  /** Calls a method; null if the peer cannot be reached, refuses the call, or answers too late. */
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

  /** Closes the connection; calls in progress end at their timeout at the latest. */
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
        identity,
        identity,
        request,
        { deadline },
        (error, reply) => {
          if (timer !== null) clearTimeout(timer);
          resolve(error === null ? (reply ?? null) : null);
        },
      );
      // Fails early if the connection hangs, instead of waiting for the job's whole deadline.
      timer = setTimeout(() => {
        if (this.#client.ready()) return;
        call.cancel();
        this.#client.connectTimedOut();
      }, this.#options.connectTimeoutMs);
    });
  }
}
