/**
 * Transport between entry hosts over gRPC. Each direction between two hosts has one
 * client-streaming call that carries messages in batches; forwarded submissions, cancellations,
 * inquiries and status are unary calls. Message delivery is not guaranteed; an answer of `forward`
 * is the issuer's own.
 */
import { Server, ServerCredentials } from '@grpc/grpc-js';
import type { JobAnswer, JobSpec } from '../core/job';
import type { PeerMessage } from '../core/messages';
import {
  FORWARD_AWAIT_PATH,
  FORWARD_CANCEL_PATH,
  FORWARD_PATH,
  IncomingCalls,
  PEERS_SERVICE,
  STATUS_PATH,
} from './incomingCalls';
import { decodeAnswer, decodeStatus, encodeForward, encodeForwardKey } from './jobCodec';
import { PeerStream } from './peerStream';
import { DropReason, Traffic, type TypeTraffic } from './traffic';
import type { PeerHandler, PeerTransport } from './transport';
import {
  AWAIT_TIMEOUT_MS,
  FORWARD_MARGIN_MS,
  IDLE_PEER_MS,
  channelOptions,
  resolveOptions,
  type ResolvedOptions,
  type TransportOptions,
} from './transportOptions';
import { UnaryCalls } from './unaryCalls';

/** Checked first, because gRPC throws uncaught errors later for addresses that it cannot parse. */
const ADDRESS_PATTERN = /^\S+:\d{1,5}$/;

interface Peer {
  readonly stream: PeerStream;
  readonly calls: UnaryCalls;
}

const DRAIN_POLL_MS = 5;
/** Time that closing streams get to send their last batches. */
const STREAM_CLOSE_MS = 100;

/** Implements `PeerTransport`. The constructor does no I/O. */
export class GrpcTransport implements PeerTransport {
  readonly #options: ResolvedOptions;

  readonly #traffic = new Traffic();

  readonly #peers = new Map<string, Peer>();

  readonly #server: Server;

  #incoming: IncomingCalls | null = null;

  #idleCheckTimer: NodeJS.Timeout | null = null;

  #closed = false;

  constructor(options: TransportOptions) {
    this.#options = resolveOptions(options);
    this.#server = new Server(channelOptions(this.#options));
  }

  /** Starts listening; rejects if the address cannot be bound. */
  async listen(handler: PeerHandler): Promise<number> {
    this.#incoming = new IncomingCalls(handler, this.#options, this.#traffic);
    this.#server.addService(PEERS_SERVICE, this.#incoming.implementation());
    this.#idleCheckTimer = setInterval(() => this.#closeIdlePeers(), IDLE_PEER_MS / 2);
    this.#idleCheckTimer.unref();
    return new Promise((resolve, reject) => {
      this.#server.bindAsync(
        this.#options.listenAddress,
        ServerCredentials.createInsecure(),
        (error, port) => (error === null ? resolve(port) : reject(error)),
      );
    });
  }

  send(peerAddress: string, messages: readonly PeerMessage[]): void {
    if (messages.length === 0) return;
    if (this.#closed) {
      this.#traffic.dropped(DropReason.closed, messages.length);
      return;
    }
    if (!ADDRESS_PATTERN.test(peerAddress)) {
      this.#traffic.dropped(DropReason.noAddress, messages.length);
      return;
    }
    this.#getOrCreatePeer(peerAddress).stream.send(messages);
  }

  async forward(
    peerAddress: string,
    incarnation: string,
    key: string,
    job: JobSpec,
  ): Promise<JobAnswer | null> {
    const request = encodeForward({ incarnation, key, job });
    const timeoutMs = job.deadlineMs + FORWARD_MARGIN_MS;
    return this.#callIssuer(peerAddress, 'forward', FORWARD_PATH, request, timeoutMs);
  }

  forwardCancel(peerAddress: string, incarnation: string, key: string): Promise<JobAnswer | null> {
    const { callTimeoutMs } = this.#options;
    const call = encodeForwardKey({ incarnation, key });
    return this.#callIssuer(peerAddress, 'forwardCancel', FORWARD_CANCEL_PATH, call, callTimeoutMs);
  }

  forwardAwait(peerAddress: string, incarnation: string, key: string): Promise<JobAnswer | null> {
    const call = encodeForwardKey({ incarnation, key });
    return this.#callIssuer(
      peerAddress,
      'forwardAwait',
      FORWARD_AWAIT_PATH,
      call,
      AWAIT_TIMEOUT_MS,
    );
  }

  /** Null if the peer cannot be reached or does not answer within the timeout. */
  async status(peerAddress: string): Promise<unknown> {
    const { callTimeoutMs } = this.#options;
    const request = Buffer.alloc(0);
    const reply = await this.#call(peerAddress, 'status', STATUS_PATH, request, callTimeoutMs);
    return this.#decodeReply(reply, decodeStatus);
  }

  traffic(): Readonly<Record<string, TypeTraffic>> {
    return this.#traffic.types();
  }

  /** Returns the messages and calls dropped since the transport was created, per reason. */
  drops(): Readonly<Partial<Record<DropReason, number>>> {
    return this.#traffic.drops();
  }

  async close(graceMs: number): Promise<void> {
    if (this.#closed) return;
    await this.#drain(performance.now() + graceMs);
    this.#closed = true;
    if (this.#idleCheckTimer !== null) clearInterval(this.#idleCheckTimer);
    await Promise.all([...this.#peers.values()].map((peer) => peer.stream.close(STREAM_CLOSE_MS)));
    this.#incoming?.endStreams();
    this.#peers.forEach((peer) => peer.calls.close());
    this.#peers.clear();
    this.#server.forceShutdown();
  }

  /** Waits until no unary call is running in either direction, at most until `untilMs`. */
  async #drain(untilMs: number): Promise<void> {
    const running = [...this.#peers.values()].reduce(
      (sum, peer) => sum + peer.calls.running,
      this.#incoming?.running ?? 0,
    );
    if (running === 0 || performance.now() >= untilMs) return;
    await new Promise((resolve) => {
      setTimeout(resolve, DRAIN_POLL_MS);
    });
    await this.#drain(untilMs);
  }

  /** Calls the issuer of a key; null if it gives no valid answer. */
  async #callIssuer(
    peerAddress: string,
    type: string,
    path: string,
    request: Buffer,
    timeoutMs: number,
  ): Promise<JobAnswer | null> {
    const reply = await this.#call(peerAddress, type, path, request, timeoutMs);
    return this.#decodeReply(reply, decodeAnswer);
  }

  async #call(
    peerAddress: string,
    type: string,
    path: string,
    request: Buffer,
    timeoutMs: number,
  ): Promise<Buffer | null> {
    if (this.#closed) return null;
    if (!ADDRESS_PATTERN.test(peerAddress)) {
      this.#traffic.dropped(DropReason.noAddress, 1);
      return null;
    }
    if (request.length > this.#options.maxMessageBytes) {
      this.#traffic.dropped(DropReason.tooLarge, 1);
      return null;
    }
    this.#traffic.sent(type, request.length);
    const reply = await this.#getOrCreatePeer(peerAddress).calls.call(path, request, timeoutMs);
    if (reply !== null) this.#traffic.received(type, reply.length);
    return reply;
  }

  #decodeReply<T>(reply: Buffer | null, decode: (bytes: Buffer) => T | null): T | null {
    if (reply === null) return null;
    const decoded = decode(reply);
    if (decoded === null) this.#traffic.dropped(DropReason.malformed, 1);
    return decoded;
  }

  #getOrCreatePeer(address: string): Peer {
    let peer = this.#peers.get(address);
    if (peer === undefined) {
      peer = {
        stream: new PeerStream(address, this.#options, this.#traffic),
        calls: new UnaryCalls(address, this.#options),
      };
      this.#peers.set(address, peer);
    }
    return peer;
  }

  #closeIdlePeers(): void {
    const limitMs = performance.now() - IDLE_PEER_MS;
    this.#peers.forEach(({ stream, calls }, address) => {
      if (calls.running > 0 || Math.max(stream.usedAtMs, calls.usedAtMs) > limitMs) return;
      this.#peers.delete(address);
      calls.close();
      stream.close(STREAM_CLOSE_MS).catch(() => undefined);
    });
  }
}
