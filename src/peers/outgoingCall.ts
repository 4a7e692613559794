/**
 * A client-streaming call. Batches are buffered until the peer has accepted the call, because gRPC
 * reports them as written even before that. The end of the call is reported exactly once, with the
 * number of messages that the connection had not taken.
 */
import type { Client, ClientWritableStream } from '@grpc/grpc-js';

/** gRPC path of the message stream. */
export const STREAM_PATH = '/wasabiyoke.peers.Peers/Stream';

const identity = (value: Buffer): Buffer => value;

/** Callbacks of a call. */
export interface CallEvents {
  /** The peer has accepted the call. */
  onAccepted(): void;
  /** The call was not accepted in time; `onEnd` follows. */
  onTimeout(): void;
  /** The call has ended; the connection had not taken `lostMessages` messages. */
  onEnd(lostMessages: number): void;
}

interface BufferedBatch {
  readonly data: Buffer;
  readonly messages: number;
}

/** A call that is connecting or open. */
export class OutgoingCall {
  readonly #call: ClientWritableStream<Buffer>;

  readonly #events: CallEvents;

  readonly #connectTimer: NodeJS.Timeout;

  #bufferedBatches: BufferedBatch[] = [];

  #pendingMessages = 0;

  #pendingBytes = 0;

  #accepted = false;

  #closing = false;

  #ended = false;

  constructor(client: Client, connectTimeoutMs: number, events: CallEvents) {
    this.#events = events;
    this.#call = client.makeClientStreamRequest(STREAM_PATH, identity, identity, () => this.#end());
    this.#call.on('error', () => this.#end());
    this.#call.once('metadata', () => this.#accept());
    // Otherwise a peer that accepts connections but never answers would hold messages forever.
    this.#connectTimer = setTimeout(() => {
      events.onTimeout();
      this.#end();
    }, connectTimeoutMs);
  }

  /** Number of bytes that the connection has not taken yet. */
  get pendingBytes(): number {
    return this.#pendingBytes;
  }

  write(data: Buffer, messages: number): void {
    this.#pendingBytes += data.length;
    this.#pendingMessages += messages;
    if (this.#accepted) this.#writeToCall({ data, messages });
    else this.#bufferedBatches.push({ data, messages });
  }

  /** Ends the call after all written batches; cancels it at the timeout. */
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
    this.#bufferedBatches.forEach((batch) => this.#writeToCall(batch));
    this.#bufferedBatches = [];
    this.#events.onAccepted();
    if (this.#closing) this.#call.end();
  }

  #writeToCall({ data, messages }: BufferedBatch): void {
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
