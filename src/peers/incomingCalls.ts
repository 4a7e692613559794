/**
 * The server side of the transport: serves message streams and unary calls of peers. No input from
 * a peer makes it throw: malformed input is dropped and counted, and a failing handler affects only
 * the call or batch concerned.
 */
import {
  Metadata,
  status,
  type MethodDefinition,
  type sendUnaryData,
  type ServerReadableStream,
  type ServerUnaryCall,
  type ServiceDefinition,
  type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import type { JobAnswer } from '../core/job';
import type { PeerMessage } from '../core/messages';
import { wasabiyoke } from './generated/peers';
import {
  decodeForward,
  decodeForwardKey,
  encodeAnswer,
  encodeStatus,
  type ForwardedCall,
} from './jobCodec';
import { decodeMessage } from './messageCodec';
import { STREAM_PATH } from './outgoingCall';
import { DropReason, type Traffic } from './traffic';
import type { PeerHandler } from './transport';
import { MAX_METADATA_BYTES, type ResolvedOptions } from './transportOptions';

const { Batch } = wasabiyoke.peers;

export const FORWARD_PATH = '/wasabiyoke.peers.Peers/Forward';
export const FORWARD_CANCEL_PATH = '/wasabiyoke.peers.Peers/ForwardCancel';
export const FORWARD_AWAIT_PATH = '/wasabiyoke.peers.Peers/ForwardAwait';
export const STATUS_PATH = '/wasabiyoke.peers.Peers/Status';

type Unary = ServerUnaryCall<Buffer, Buffer>;
type Reply = sendUnaryData<Buffer>;
type Stream = ServerReadableStream<Buffer, Buffer>;

/** gRPC passes raw bytes, so that malformed requests are handled by the decoders in this folder. */
const method = (path: string, requestStream: boolean): MethodDefinition<Buffer, Buffer> => ({
  path,
  requestStream,
  responseStream: false,
  requestSerialize: (value) => value,
  requestDeserialize: (value) => value,
  responseSerialize: (value) => value,
  responseDeserialize: (value) => value,
});

/** Definition of the gRPC service between peers. */
export const PEERS_SERVICE: ServiceDefinition = {
  stream: method(STREAM_PATH, true),
  forward: method(FORWARD_PATH, false),
  forwardCancel: method(FORWARD_CANCEL_PATH, false),
  forwardAwait: method(FORWARD_AWAIT_PATH, false),
  status: method(STATUS_PATH, false),
};

const metadataBytes = (metadata: Metadata): number =>
  Object.entries(metadata.toHttp2Headers()).reduce(
    (sum, [key, value]) => sum + key.length + String(value).length,
    0,
  );

/** Serves the calls of peers. */
export class IncomingCalls {
  readonly #handler: PeerHandler;

  readonly #options: ResolvedOptions;

  readonly #traffic: Traffic;

  readonly #streams = new Map<Stream, Reply>();

  #running = 0;

  constructor(handler: PeerHandler, options: ResolvedOptions, traffic: Traffic) {
    this.#handler = handler;
    this.#options = options;
    this.#traffic = traffic;
  }

  /** Number of unary calls in progress. */
  get running(): number {
    return this.#running;
  }

  /** Returns the implementation to register with the gRPC server. */
  implementation(): UntypedServiceImplementation {
    return {
      stream: (call: Stream, reply: Reply) => this.#onStream(call, reply),
      forward: (call: Unary, reply: Reply) => {
        this.#unary(call, reply, 'forward', () => this.#forward(call.request));
      },
      forwardCancel: (call: Unary, reply: Reply) => {
        this.#unary(call, reply, 'forwardCancel', () =>
          this.#forwardKey(call.request, (key) => this.#handler.onForwardCancel(key)),
        );
      },
      forwardAwait: (call: Unary, reply: Reply) => {
        this.#unary(call, reply, 'forwardAwait', () =>
          this.#forwardKey(call.request, (key) => this.#handler.onForwardAwait(key)),
        );
      },
      status: (call: Unary, reply: Reply) => {
        this.#unary(call, reply, 'status', async () => encodeStatus(this.#handler.onStatus()));
      },
    };
  }

  /** Ends the message streams; peers then reconnect or back off. */
  endStreams(): void {
    this.#streams.forEach((reply) => reply(null, Buffer.alloc(0)));
    this.#streams.clear();
  }

  #onStream(call: Stream, reply: Reply): void {
    if (metadataBytes(call.metadata) > MAX_METADATA_BYTES) {
      this.#traffic.dropped(DropReason.tooLarge, 1);
      reply({ code: status.RESOURCE_EXHAUSTED, details: 'metadata too large' });
      return;
    }
    this.#streams.set(call, reply);
    // The sender waits for the headers before it writes batches.
    call.sendMetadata(new Metadata());
    call.on('data', (bytes: Buffer) => this.#onBatch(bytes));
    call.on('error', () => this.#streams.delete(call));
    call.on('cancelled', () => this.#streams.delete(call));
    call.on('end', () => {
      if (this.#streams.delete(call)) reply(null, Buffer.alloc(0));
    });
  }

  #onBatch(bytes: Buffer): void {
    const batch = this.#decodeBatch(bytes);
    if (batch === null || batch.hostId === '' || batch.incarnation === '') {
      this.#traffic.dropped(DropReason.malformed, 1);
      return;
    }
    const messages: PeerMessage[] = [];
    batch.envelopes.forEach((envelope) => {
      const message = decodeMessage(envelope);
      if (message === null) {
        this.#traffic.dropped(DropReason.malformed, 1);
        return;
      }
      this.#traffic.received(message.type, envelope.length);
      messages.push(message);
    });
    if (messages.length === 0) return;
    try {
      const { hostId, incarnation } = batch;
      this.#handler.onMessages({ hostId, incarnation }, messages);
    } catch (error) {
      this.#traffic.dropped(DropReason.handlerFailed, messages.length);
      this.#options.log?.error('peer message handler failed', { peer: batch.hostId, error });
    }
  }

  #decodeBatch(bytes: Buffer): wasabiyoke.peers.Batch | null {
    try {
      return Batch.decode(bytes);
    } catch {
      this.#options.log?.debug('peer batch malformed', { sizeBytes: bytes.length });
      return null;
    }
  }

  #unary(call: Unary, reply: Reply, type: string, serve: () => Promise<Buffer | status>): void {
    if (metadataBytes(call.metadata) > MAX_METADATA_BYTES) {
      this.#traffic.dropped(DropReason.tooLarge, 1);
      reply({ code: status.RESOURCE_EXHAUSTED, details: 'metadata too large' });
      return;
    }
    this.#traffic.received(type, call.request.length);
    this.#running += 1;
    serve()
      .then(
        (outcome) => {
          if (typeof outcome === 'number') {
            reply({ code: outcome, details: status[outcome] });
            return;
          }
          this.#traffic.sent(type, outcome.length);
          reply(null, outcome);
        },
        (error: unknown) => {
          this.#traffic.dropped(DropReason.handlerFailed, 1);
          this.#options.log?.error('peer call failed', { call: type, error });
          reply({ code: status.INTERNAL, details: 'the handler failed' });
        },
      )
      .finally(() => {
        this.#running -= 1;
      });
  }

  async #forward(request: Buffer): Promise<Buffer | status> {
    const call = decodeForward(request);
    const refusal = this.#checkCall(call);
    if (call === null || refusal !== null) return refusal ?? status.INVALID_ARGUMENT;
    return this.#encodeReply(await this.#handler.onForward(call.key, call.job));
  }

  async #forwardKey(
    request: Buffer,
    handle: (key: string) => Promise<JobAnswer>,
  ): Promise<Buffer | status> {
    const call = decodeForwardKey(request);
    const refusal = this.#checkCall(call);
    if (call === null || refusal !== null) return refusal ?? status.INVALID_ARGUMENT;
    return this.#encodeReply(await handle(call.key));
  }

  /** Refuses calls for another incarnation: this process cannot know what that one started. */
  #checkCall(call: ForwardedCall | null): status | null {
    if (call === null) {
      this.#traffic.dropped(DropReason.malformed, 1);
      return status.INVALID_ARGUMENT;
    }
    return call.incarnation === this.#options.incarnation ? null : status.FAILED_PRECONDITION;
  }

  #encodeReply(answer: JobAnswer): Buffer | status {
    const bytes = encodeAnswer(answer);
    if (bytes.length <= this.#options.maxMessageBytes) return bytes;
    this.#traffic.dropped(DropReason.tooLarge, 1);
    return status.RESOURCE_EXHAUSTED;
  }
}
