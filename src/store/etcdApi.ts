/** Method definitions for @grpc/grpc-js of the etcd v3 calls that the dispatcher uses. */
import type { MethodDefinition } from '@grpc/grpc-js';
import { etcdserverpb as pb } from './generated/etcd';

/** The static methods of a generated message class that are used here. */
interface MessageType<T> {
  encode(message: T): { finish(): Uint8Array };
  decode(bytes: Uint8Array): T;
  toObject(message: T, options: object): object;
}

/** A gRPC method with its path and serializers. */
export type Method<Q, S> = MethodDefinition<Q, S>;

/** Decodes 64-bit integers as numbers and fills in defaults for absent fields. */
const DECODE_OPTIONS = { longs: Number, defaults: true, arrays: true };

function method<Q extends object, S extends object>(
  path: string,
  request: MessageType<Q>,
  response: MessageType<S>,
  streaming: boolean,
): Method<Q, S> {
  return {
    path: `/etcdserverpb.${path}`,
    requestStream: streaming,
    responseStream: streaming,
    requestSerialize: (message) => Buffer.from(request.encode(message).finish()),
    requestDeserialize: (bytes) => request.toObject(request.decode(bytes), DECODE_OPTIONS) as Q,
    responseSerialize: (message) => Buffer.from(response.encode(message).finish()),
    responseDeserialize: (bytes) => response.toObject(response.decode(bytes), DECODE_OPTIONS) as S,
  };
}

/** Plain object types that the serializers accept and return. */
export type RangeRequest = pb.IRangeRequest;
export type RangeResponse = pb.IRangeResponse;
export type PutRequest = pb.IPutRequest;
export type PutResponse = pb.IPutResponse;
export type TxnRequest = pb.ITxnRequest;
export type TxnResponse = pb.ITxnResponse;
export type WatchRequest = pb.IWatchRequest;
export type WatchResponse = pb.IWatchResponse;
export type LeaseGrantRequest = pb.ILeaseGrantRequest;
export type LeaseGrantResponse = pb.ILeaseGrantResponse;
export type LeaseRevokeRequest = pb.ILeaseRevokeRequest;
export type LeaseRevokeResponse = pb.ILeaseRevokeResponse;
export type KeepAliveRequest = pb.ILeaseKeepAliveRequest;
export type KeepAliveResponse = pb.ILeaseKeepAliveResponse;
export type KeyValue = pb.IKeyValue;
export type Compare = pb.ICompare;

/** The type of a watch event. */
export const { EventType } = pb.Event;
/** Operator and operand of a comparison in a transaction. */
export const { CompareResult, CompareTarget } = pb.Compare;

/** Reads a key or a range of keys. */
export const RANGE: Method<RangeRequest, RangeResponse> = method(
  'KV/Range',
  pb.RangeRequest as MessageType<RangeRequest>,
  pb.RangeResponse as MessageType<RangeResponse>,
  false,
);
/** Writes a key, attached to a lease if one is given. */
export const PUT: Method<PutRequest, PutResponse> = method(
  'KV/Put',
  pb.PutRequest as MessageType<PutRequest>,
  pb.PutResponse as MessageType<PutResponse>,
  false,
);
/** Atomically evaluates comparisons and runs one of two lists of operations. */
export const TXN: Method<TxnRequest, TxnResponse> = method(
  'KV/Txn',
  pb.TxnRequest as MessageType<TxnRequest>,
  pb.TxnResponse as MessageType<TxnResponse>,
  false,
);
/** Grants a lease with an id chosen by the client. */
export const LEASE_GRANT: Method<LeaseGrantRequest, LeaseGrantResponse> = method(
  'Lease/LeaseGrant',
  pb.LeaseGrantRequest as MessageType<LeaseGrantRequest>,
  pb.LeaseGrantResponse as MessageType<LeaseGrantResponse>,
  false,
);
/** Revokes a lease and deletes the keys attached to it. */
export const LEASE_REVOKE: Method<LeaseRevokeRequest, LeaseRevokeResponse> = method(
  'Lease/LeaseRevoke',
  pb.LeaseRevokeRequest as MessageType<LeaseRevokeRequest>,
  pb.LeaseRevokeResponse as MessageType<LeaseRevokeResponse>,
  false,
);
/** Renews leases; a TTL of 0 in the response means that the lease has expired. */
export const KEEP_ALIVE: Method<KeepAliveRequest, KeepAliveResponse> = method(
  'Lease/LeaseKeepAlive',
  pb.LeaseKeepAliveRequest as MessageType<KeepAliveRequest>,
  pb.LeaseKeepAliveResponse as MessageType<KeepAliveResponse>,
  true,
);
/** Streams the changes to a range of keys. */
export const WATCH: Method<WatchRequest, WatchResponse> = method(
  'Watch/Watch',
  pb.WatchRequest as MessageType<WatchRequest>,
  pb.WatchResponse as MessageType<WatchResponse>,
  true,
);

/** Encodes a key or value for etcd. */
export function toBytes(text: string): Buffer {
  return Buffer.from(text, 'utf8');
}

/** Decodes a key or value from etcd. */
export function toText(bytes: Uint8Array | null | undefined): string {
  return Buffer.from(bytes ?? []).toString('utf8');
}

/**
 * The exclusive end of the range of keys that start with `prefix`: the prefix with its last byte
 * below 0xff incremented and the bytes after it removed.
 */
export function rangeEnd(prefix: string): Buffer {
  const bytes = toBytes(prefix);
  const last = bytes.findLastIndex((byte) => byte < 0xff);
  if (last < 0) return Buffer.from([0]);
  const end = Buffer.from(bytes.subarray(0, last + 1));
  end[last] = (end[last] ?? 0) + 1;
  return end;
}
