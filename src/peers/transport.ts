/**
 * Transport between entry hosts: one-way messages in batches, and forwarded submissions. Messages to
 * one peer keep their order; delivery is not guaranteed.
 */
import type { JobAnswer, JobSpec } from '../core/job';
import type { PeerMessage } from '../core/messages';

/** The sender of a batch. */
export interface PeerOrigin {
  readonly hostId: string;
  readonly incarnation: string;
}

/** What the transport calls on this host. */
export interface PeerHandler {
  onMessages(from: PeerOrigin, messages: readonly PeerMessage[]): void;
  /** A submission whose key this host issued, received by another host. */
  onForward(key: string, job: JobSpec): Promise<JobAnswer>;
  /** A cancellation of a submission whose key this host issued. */
  onForwardCancel(key: string): Promise<JobAnswer>;
  /** An inquiry about a submission whose key this host issued; resolves with its answer. */
  onForwardAwait(key: string): Promise<JobAnswer>;
  /** State of this host as JSON, for operators who ask through another host. */
  onStatus(): unknown;
}

/** Transport of this host. */
export interface PeerTransport {
  /** Starts to listen; resolves to the bound port. */
  listen(handler: PeerHandler): Promise<number>;
  /** Queues messages; those of one turn of the event loop leave in one batch. */
  send(peerAddress: string, messages: readonly PeerMessage[]): void;
  /** Null if the issuer can't be reached or the connection broke before the answer. */
  forward(
    peerAddress: string,
    incarnation: string,
    key: string,
    job: JobSpec,
  ): Promise<JobAnswer | null>;
  forwardCancel(peerAddress: string, incarnation: string, key: string): Promise<JobAnswer | null>;
  forwardAwait(peerAddress: string, incarnation: string, key: string): Promise<JobAnswer | null>;
  status(peerAddress: string): Promise<unknown>;
  /** Bytes sent and received per message type since the start. */
  traffic(): Readonly<
    Record<string, { sentBytes: number; receivedBytes: number; messages: number }>
  >;
  /** Lets calls in progress end for up to `graceMs`, then closes all connections. */
  close(graceMs: number): Promise<void>;
}
