/**
 * The stream of messages to one peer. Messages are sent in order and in batches. When the stream
 * breaks, queued and pending messages are dropped and counted. The next send opens a new stream;
 * during the backoff, its messages are dropped and counted instead. Nothing is sent twice.
 */
import type { PeerMessage } from '../core/messages';
import { wasabiyoke } from './generated/peers';
import { encodeMessage } from './messageCodec';
import { OutgoingCall } from './outgoingCall';
import { PeerClient } from './peerClient';
import { DropReason, type Traffic } from './traffic';
import {
  FIRST_BACKOFF_MS,
  MAX_BACKOFF_MS,
  MAX_BATCH_BYTES,
  type ResolvedOptions,
} from './transportOptions';

const { Batch } = wasabiyoke.peers;

interface EncodedMessage {
  readonly type: PeerMessage['type'];
  readonly bytes: Uint8Array;
}

/** Sends messages to one peer. */
export class PeerStream {
  readonly #address: string;

  readonly #options: ResolvedOptions;

  readonly #client: PeerClient;

  readonly #traffic: Traffic;

  #queue: PeerMessage[] = [];

  #call: OutgoingCall | null = null;

  #flushTimer: NodeJS.Immediate | null = null;

  #backoffMs = FIRST_BACKOFF_MS;

  #retryAtMs = -Infinity;

  #usedAtMs = performance.now();

  #closed = false;

  constructor(address: string, options: ResolvedOptions, traffic: Traffic) {
    this.#address = address;
    this.#options = options;
    this.#traffic = traffic;
    this.#client = new PeerClient(address, options);
  }

  /** Time of the last send, on the monotonic clock. */
  get usedAtMs(): number {
    return this.#usedAtMs;
  }

  /** Queues messages for the next flush. */
  send(messages: readonly PeerMessage[]): void {
    if (this.#closed) {
      this.#traffic.dropped(DropReason.closed, messages.length);
      return;
    }
    this.#usedAtMs = performance.now();
    messages.forEach((message) => this.#queue.push(message));
    this.#flushTimer ??= setImmediate(() => this.#flush());
  }

  /** Sends queued messages and ends the stream; waits for the peer up to `timeoutMs`. */
  async close(timeoutMs: number): Promise<void> {
    if (this.#flushTimer !== null) {
      clearImmediate(this.#flushTimer);
      this.#flush();
    }
    this.#closed = true;
    await this.#call?.close(timeoutMs);
    this.#client.close();
  }

  #flush(): void {
    this.#flushTimer = null;
    const messages = this.#queue;
    this.#queue = [];
    const call = this.#call ?? this.#connect();
    if (call === null) {
      this.#traffic.dropped(DropReason.disconnected, messages.length);
      return;
    }
    let batch: EncodedMessage[] = [];
    let batchBytes = 0;
    messages.forEach((message) => {
      const bytes = encodeMessage(message);
      // Leaves room for the encoding overhead of the batch.
      if (bytes.length > this.#options.maxMessageBytes - 1024) {
        this.#traffic.dropped(DropReason.tooLarge, 1);
        return;
      }
      if (batchBytes + bytes.length > MAX_BATCH_BYTES) {
        this.#write(call, batch);
        batch = [];
        batchBytes = 0;
      }
      batch.push({ type: message.type, bytes });
      batchBytes += bytes.length;
    });
    this.#write(call, batch);
  }

  #write(call: OutgoingCall, batch: readonly EncodedMessage[]): void {
    if (batch.length === 0) return;
    const { hostId, incarnation, maxPendingBytes } = this.#options;
    const envelopes = batch.map(({ bytes }) => bytes);
    const data = Buffer.from(Batch.encode({ hostId, incarnation, envelopes }).finish());
    // With nothing pending, a batch above the limit is sent anyway.
    if (call.pendingBytes > 0 && call.pendingBytes + data.length > maxPendingBytes) {
      this.#traffic.dropped(DropReason.peerSlow, batch.length);
      return;
    }
    batch.forEach(({ type, bytes }) => this.#traffic.sent(type, bytes.length));
    call.write(data, batch.length);
  }

  #connect(): OutgoingCall | null {
    if (performance.now() < this.#retryAtMs) return null;
    this.#call = new OutgoingCall(this.#client.get(), this.#options.connectTimeoutMs, {
      onAccepted: () => {
        this.#backoffMs = FIRST_BACKOFF_MS;
      },
      onTimeout: () => this.#client.connectTimedOut(),
      onEnd: (lostMessages) => this.#onCallEnd(lostMessages),
    });
    return this.#call;
  }

  #onCallEnd(lostMessages: number): void {
    this.#call = null;
    this.#traffic.dropped(DropReason.disconnected, lostMessages + this.#queue.length);
    this.#queue = [];
    if (this.#closed) return;
    this.#retryAtMs = performance.now() + this.#backoffMs;
    this.#backoffMs = Math.min(2 * this.#backoffMs, MAX_BACKOFF_MS);
    this.#options.onDisconnect?.(this.#address);
  }
}
