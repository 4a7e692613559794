/** Limits and times of the peer transport. */
import type { ChannelOptions } from '@grpc/grpc-js';
import type { Log } from '../observe/observer';

/** Construction of a transport; only the identity and the address are required. */
export interface TransportOptions {
  readonly hostId: string;
  readonly incarnation: string;
  /** `ip:port` to listen on; port 0 takes a free one. */
  readonly listenAddress: string;
  /** Limit of one gRPC message in either direction; must hold the largest job. */
  readonly maxMessageBytes?: number;
  /** Bytes handed to one peer's stream and not yet taken by the connection. */
  readonly maxPendingBytes?: number;
  /** A connection or stream that is not established by then is given up. */
  readonly connectTimeoutMs?: number;
  /**
   * Least age of a client that is replaced because its connection attempt hangs. grpc-js does not
   * close the socket of such an attempt, so replacing more often would pile up sockets.
   */
  readonly replaceClientMs?: number;
  /** Limit of a status call and of a forwarded cancellation. */
  readonly callTimeoutMs?: number;
  /** Called when the stream to a peer breaks or can't be opened. */
  readonly onDisconnect?: (peerAddress: string) => void;
  readonly log?: Log;
}

export type ResolvedOptions = Required<Omit<TransportOptions, 'log' | 'onDisconnect'>> &
  Pick<TransportOptions, 'log' | 'onDisconnect'>;

/** Metadata beyond this is refused; peers send only the headers of gRPC itself. */
export const MAX_METADATA_BYTES = 8 * 1024;
/** A batch is split beyond this, so that one flush doesn't hold the event loop for long. */
export const MAX_BATCH_BYTES = 256 * 1024;
export const FIRST_BACKOFF_MS = 100;
export const MAX_BACKOFF_MS = 1000;
/** Connections to peers that were not used for this long are closed; hosts come and go daily. */
export const IDLE_PEER_MS = 60_000;
/** Added to a job's deadline for the answer of the issuer, which fails the job at its deadline. */
export const FORWARD_MARGIN_MS = 1000;
/** Above the longest deadline that the callers' interface accepts. */
export const AWAIT_TIMEOUT_MS = 610_000;

/** Fills in the defaults. */
export const resolveOptions = (options: TransportOptions): ResolvedOptions => ({
  maxMessageBytes: 16 * 1024 * 1024,
  maxPendingBytes: 8 * 1024 * 1024,
  connectTimeoutMs: 1000,
  replaceClientMs: 10_000,
  callTimeoutMs: 2000,
  ...options,
});

/**
 * Options of gRPC channels. The keep-alive time-out is above a pause of a few seconds, because a
 * broken connection makes the outcome of every forwarded submission on it unknown; membership
 * notices a silent peer sooner.
 */
export const channelOptions = (options: ResolvedOptions): ChannelOptions => ({
  'grpc.enable_http_proxy': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.keepalive_time_ms': 2000,
  'grpc.keepalive_timeout_ms': 3000,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.initial_reconnect_backoff_ms': FIRST_BACKOFF_MS,
  'grpc.max_reconnect_backoff_ms': MAX_BACKOFF_MS,
  'grpc.max_send_message_length': options.maxMessageBytes,
  'grpc.max_receive_message_length': options.maxMessageBytes,
  // A retried stream would keep a copy of its messages; lost messages are tolerated instead.
  'grpc.enable_retries': 0,
});
