/**
 * One client-streaming call. Batches wait here until the peer has accepted the call, because gRPC
 * reports them as written before that. It reports its end exactly once, with the number of messages
 * that the connection has not taken.
 */
import type { Client, ClientWritableStream } from '@grpc/grpc-js';

/** Path of the streaming call. */
export const STREAM_PATH = '/wasabiyoke.peers.Peers/Stream';

const sameBytes = (value: Buffer): Buffer => value;

/** What the owner of the call is told. */
export interface CallEvents {
  /** The peer has accepted the call. */
  onAccepted(): void;
  /** The call was not accepted in time; `onEnd` follows. */
  onTimeout(): void;
  /** The call has ended; `lostMessages` had not been taken by the connection. */
  onEnd(lostMessages: number): void;
}

interface Waiting {
  readonly data: Buffer;
  readonly messages: number;
}

/** An open call. */
export class OutgoingCall {
  readonly #call: ClientWritableStream<Buffer>;

  readonly #events: CallEvents;

  readonly #connectTimer: NodeJS.Timeout;

  #waiting: Waiting[] = [];

  #pendingMessages = 0;

  #pendingBytes = 0;

  #accepted = false;

  #closing = false;

  #ended = false;

  constructor(client: Client, connectTimeoutMs: number, events: CallEvents) {
    this.#events = events;
    this.#call = client.makeClientStreamRequest(STREAM_PATH, sameBytes, sameBytes, () =>
      this.#end(),
    );
    this.#call.on('error', () => this.#end());
    this.#call.once('metadata', () => this.#accept());
    // A peer that accepts connections and never answers would otherwise hold messages for ever.
    this.#connectTimer = setTimeout(() => {
      events.onTimeout();
      this.#end();
    }, connectTimeoutMs);
  }

  /** Bytes that the connection has not taken yet. */
  get pendingBytes(): number {
    return this.#pendingBytes;
  }

  /** Writes one batch. */
  write(data: Buffer, messages: number): void {
    this.#pendingBytes += data.length;
    this.#pendingMessages += messages;
    if (this.#accepted) this.#pass({ data, messages });
    else this.#waiting.push({ data, messages });
  }

  /** Ends the call after what was written, and forcibly at the time-out. */
  async close(timeoutMs: number): Promise<void> {
    this.#closing = true;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, timeoutMs);
      this.#call.once('status', () => {
        clearTimeout(timer);
        resolve();
      });
      if (this.#accepted) this.#call.end();
    });
    this.#end();
  }

  #accept(): void {
    clearTimeout(this.#connectTimer);
    if (this.#ended) return;
    this.#accepted = true;
    this.#waiting.forEach((batch) => this.#pass(batch));
    this.#waiting = [];
    this.#events.onAccepted();
    if (this.#closing) this.#call.end();
  }

  #pass({ data, messages }: Waiting): void {
    this.#call.write(data, () => {
      this.#pendingBytes -= data.length;
      this.#pendingMessages -= messages;
    });
  }

  #end(): void {
    if (this.#ended) return;
    this.#ended = true;
    clearTimeout(this.#connectTimer);
    this.#call.cancel();
    this.#events.onEnd(this.#pendingMessages);
  }
}
