/** Options, limits and timeouts of the peer transport. */
import type { ChannelOptions } from '@grpc/grpc-js';
import type { Log } from '../observe/observer';

/** Options of a transport; only the identity and the address are required. */
export interface TransportOptions {
  readonly hostId: string;
  readonly incarnation: string;
  /** `ip:port` to listen on; port 0 selects a free port. */
  readonly listenAddress: string;
  /** Size limit of one gRPC message in either direction; must accommodate the largest job. */
  readonly maxMessageBytes?: number;
  /** Limit of the bytes written to one peer's stream and not yet taken by the connection. */
  readonly maxPendingBytes?: number;
  /** Timeout for establishing a connection or stream. */
  readonly connectTimeoutMs?: number;
  /**
   * Minimum age of a client before it is replaced because its connection attempt hangs. grpc-js
   * does not close the socket of such an attempt, so replacing more often would pile up sockets.
   */
  readonly replaceClientMs?: number;
  /** Timeout of a status call and of a forwarded cancellation. */
  readonly callTimeoutMs?: number;
  /** Called when the stream to a peer breaks or cannot be opened. */
  readonly onDisconnect?: (peerAddress: string) => void;
  readonly log?: Log;
}

export type ResolvedOptions = Required<Omit<TransportOptions, 'log' | 'onDisconnect'>> &
  Pick<TransportOptions, 'log' | 'onDisconnect'>;

/** Calls with more metadata are refused; peers send only the headers of gRPC itself. */
export const MAX_METADATA_BYTES = 8 * 1024;
/** Larger batches are split, so that one flush does not block the event loop for long. */
export const MAX_BATCH_BYTES = 256 * 1024;
export const FIRST_BACKOFF_MS = 100;
export const MAX_BACKOFF_MS = 1000;
/** Connections to a peer unused for this time are closed; hosts come and go daily. */
export const IDLE_PEER_MS = 60_000;
/** Added to a job's deadline: the issuer, which fails the job at its deadline, answers after it. */
export const FORWARD_MARGIN_MS = 1000;
/** Longer than the longest deadline that the callers' interface accepts. */
export const AWAIT_TIMEOUT_MS = 610_000;

export const resolveOptions = (options: TransportOptions): ResolvedOptions => ({
  maxMessageBytes: 16 * 1024 * 1024,
  maxPendingBytes: 8 * 1024 * 1024,
  connectTimeoutMs: 1000,
  replaceClientMs: 10_000,
  callTimeoutMs: 2000,
  ...options,
});

/**
 * Options of gRPC channels. The keepalive timeout tolerates pauses of a few seconds, because a
 * broken connection makes the outcome of every forwarded submission on it unknown. Membership
 * detects a silent peer sooner.
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
  // With retries, streams would buffer copies of their messages; losing messages is tolerated.
  'grpc.enable_retries': 0,
});
