/**
 * One client-streaming call with its own connection. It reports its end exactly once, and knows how
 * many messages the connection has not taken yet, so that they can be counted as dropped.
 */
import { Client, credentials, type ClientWritableStream } from '@grpc/grpc-js';
import { channelOptions, type ResolvedOptions } from './transportOptions';

/** Path of the streaming call. */
export const STREAM_PATH = '/wasabiyoke.peers.Peers/Stream';

const sameBytes = (value: Buffer): Buffer => value;

/** What the owner of the call is told. */
export interface CallEvents {
  /** The peer has accepted the call. */
  onAccepted(): void;
  /** The call has ended; `lostMessages` had not been taken by the connection. */
  onEnd(lostMessages: number): void;
}

/** An open call. */
export class OutgoingCall {
  readonly #client: Client;

  readonly #call: ClientWritableStream<Buffer>;

  readonly #events: CallEvents;

  readonly #connectTimer: NodeJS.Timeout;

  #pendingMessages = 0;

  #pendingBytes = 0;

  #ended = false;

  constructor(address: string, options: ResolvedOptions, events: CallEvents) {
    this.#events = events;
    this.#client = new Client(address, credentials.createInsecure(), channelOptions(options));
    this.#call = this.#client.makeClientStreamRequest(STREAM_PATH, sameBytes, sameBytes, () =>
      this.#end(),
    );
    this.#call.on('error', () => this.#end());
    // A peer that accepts connections and never answers would otherwise hold messages for ever.
    this.#connectTimer = setTimeout(() => this.#end(), options.connectTimeoutMs);
    this.#call.once('metadata', () => {
      clearTimeout(this.#connectTimer);
      if (!this.#ended) events.onAccepted();
    });
  }

  /** Bytes that the connection has not taken yet. */
  get pendingBytes(): number {
    return this.#pendingBytes;
  }

  /** Writes one batch. */
  write(data: Buffer, messages: number): void {
    this.#pendingBytes += data.length;
    this.#pendingMessages += messages;
    this.#call.write(data, () => {
      this.#pendingBytes -= data.length;
      this.#pendingMessages -= messages;
    });
  }

  /** Ends the call after what was written, and forcibly at the time-out. */
  async close(timeoutMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, timeoutMs);
      this.#call.once('status', () => {
        clearTimeout(timer);
        resolve();
      });
      this.#call.end();
    });
    this.#end();
  }

  #end(): void {
    if (this.#ended) return;
    this.#ended = true;
    clearTimeout(this.#connectTimer);
    this.#call.cancel();
    this.#client.close();
    this.#events.onEnd(this.#pendingMessages);
  }
}
