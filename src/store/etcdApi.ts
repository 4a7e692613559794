/** The etcd v3 calls that the dispatcher uses, with their serializers for @grpc/grpc-js. */
import type { MethodDefinition } from '@grpc/grpc-js';
import { etcdserverpb as pb } from './generated/etcd';

/** What the generated class of a message offers. */
interface MessageType<T> {
  encode(message: T): { finish(): Uint8Array };
  decode(bytes: Uint8Array): T;
  toObject(message: T, options: object): object;
}

/** A call with its path and serializers. */
export type Method<Q, S> = MethodDefinition<Q, S>;

/** Decoded messages hold numbers for 64-bit integers, and defaults for fields left out. */
const PLAIN = { longs: Number, defaults: true, arrays: true };

function method<Q extends object, S extends object>(
  path: string,
  request: MessageType<Q>,
  response: MessageType<S>,
  streams: boolean,
): Method<Q, S> {
  return {
    path: `/etcdserverpb.${path}`,
    requestStream: streams,
    responseStream: streams,
    requestSerialize: (message) => Buffer.from(request.encode(message).finish()),
    requestDeserialize: (bytes) => request.toObject(request.decode(bytes), PLAIN) as Q,
    responseSerialize: (message) => Buffer.from(response.encode(message).finish()),
    responseDeserialize: (bytes) => response.toObject(response.decode(bytes), PLAIN) as S,
  };
}

/** Plain shapes of the messages, as the serializers take and give them. */
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

/** Kind of a change in a watch. */
export const { EventType } = pb.Event;
/** Terms of a comparison in a transaction. */
export const { CompareResult, CompareTarget } = pb.Compare;

/** Reads a key or a range of keys. */
export const RANGE: Method<RangeRequest, RangeResponse> = method(
  'KV/Range',
  pb.RangeRequest as MessageType<RangeRequest>,
  pb.RangeResponse as MessageType<RangeResponse>,
  false,
);
/** Writes a key, with a lease if one is given. */
export const PUT: Method<PutRequest, PutResponse> = method(
  'KV/Put',
  pb.PutRequest as MessageType<PutRequest>,
  pb.PutResponse as MessageType<PutResponse>,
  false,
);
/** Compares keys, then runs one of two lists of operations, in one step. */
export const TXN: Method<TxnRequest, TxnResponse> = method(
  'KV/Txn',
  pb.TxnRequest as MessageType<TxnRequest>,
  pb.TxnResponse as MessageType<TxnResponse>,
  false,
);
/** Grants a lease under an id that the client chooses. */
export const LEASE_GRANT: Method<LeaseGrantRequest, LeaseGrantResponse> = method(
  'Lease/LeaseGrant',
  pb.LeaseGrantRequest as MessageType<LeaseGrantRequest>,
  pb.LeaseGrantResponse as MessageType<LeaseGrantResponse>,
  false,
);
/** Ends a lease and deletes its keys. */
export const LEASE_REVOKE: Method<LeaseRevokeRequest, LeaseRevokeResponse> = method(
  'Lease/LeaseRevoke',
  pb.LeaseRevokeRequest as MessageType<LeaseRevokeRequest>,
  pb.LeaseRevokeResponse as MessageType<LeaseRevokeResponse>,
  false,
);
/** Renews leases; a time to live of 0 in the answer means that the lease has lapsed. */
export const KEEP_ALIVE: Method<KeepAliveRequest, KeepAliveResponse> = method(
  'Lease/LeaseKeepAlive',
  pb.LeaseKeepAliveRequest as MessageType<KeepAliveRequest>,
  pb.LeaseKeepAliveResponse as MessageType<KeepAliveResponse>,
  true,
);
/** Reports the changes of a range of keys. */
export const WATCH: Method<WatchRequest, WatchResponse> = method(
  'Watch/Watch',
  pb.WatchRequest as MessageType<WatchRequest>,
  pb.WatchResponse as MessageType<WatchResponse>,
  true,
);

/** The key as the service takes it. */
export function toBytes(text: string): Buffer {
  return Buffer.from(text, 'utf8');
}

/** Text of a key or value of the service. */
export function toText(bytes: Uint8Array | null | undefined): string {
  return Buffer.from(bytes ?? []).toString('utf8');
}

/** End of the range of keys that start with `prefix`: the prefix with its last byte raised. */
export function rangeEnd(prefix: string): Buffer {
  const bytes = toBytes(prefix);
  const last = bytes.findLastIndex((byte) => byte < 0xff);
  if (last < 0) return Buffer.from([0]);
  const end = Buffer.from(bytes.subarray(0, last + 1));
  end[last] = (end[last] ?? 0) + 1;
  return end;
}
