/**
 * Interface of the transport between entry hosts: one-way messages in batches, and forwarded
 * submissions. Messages to one peer keep their order; delivery is not guaranteed.
 */
import type { JobAnswer, JobSpec } from '../core/job';
import type { PeerMessage } from '../core/messages';

/** The sender of a batch. */
export interface PeerOrigin {
  readonly hostId: string;
  readonly incarnation: string;
}

/** Handles the messages and calls that the transport receives. */
export interface PeerHandler {
  onMessages(from: PeerOrigin, messages: readonly PeerMessage[]): void;
  /** Handles a submission that another host received for a key issued by this host. */
  onForward(key: string, job: JobSpec): Promise<JobAnswer>;
  /** Cancels a submission whose key this host issued. */
  onForwardCancel(key: string): Promise<JobAnswer>;
  /** Resolves with the answer of a submission whose key this host issued. */
  onForwardAwait(key: string): Promise<JobAnswer>;
  /** This host's state, serializable as JSON, for operators who ask through another host. */
  onStatus(): unknown;
}

/** Sends messages and calls to peers, and receives theirs. */
export interface PeerTransport {
  /** Starts listening; resolves with the bound port. */
  listen(handler: PeerHandler): Promise<number>;
  /** Queues messages; those queued in one turn of the event loop are sent together. */
  send(peerAddress: string, messages: readonly PeerMessage[]): void;
  /** Null if the issuer cannot be reached or the connection breaks before the answer. */
  forward(
    peerAddress: string,
    incarnation: string,
    key: string,
    job: JobSpec,
  ): Promise<JobAnswer | null>;
  forwardCancel(peerAddress: string, incarnation: string, key: string): Promise<JobAnswer | null>;
  forwardAwait(peerAddress: string, incarnation: string, key: string): Promise<JobAnswer | null>;
  status(peerAddress: string): Promise<unknown>;
  /** Bytes and messages per message type since the transport was created. */
  traffic(): Readonly<
    Record<string, { sentBytes: number; receivedBytes: number; messages: number }>
  >;
  /** Waits up to `graceMs` for calls in progress, then closes all connections. */
  close(graceMs: number): Promise<void>;
}
