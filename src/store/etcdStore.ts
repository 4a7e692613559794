/** Client of the platform's key-value store over the etcd v3 API. */
import { randomInt } from 'node:crypto';
import { Metadata, type Client, type ServiceError } from '@grpc/grpc-js';
import { Err, Ok, type Result } from 'ts-results';
import { Endpoints } from './endpoints';
import { toEntry } from './entry';
import { NOT_CONNECTED, errorOfSentCall } from './errors';
import {
  CompareResult,
  CompareTarget,
  KEEP_ALIVE,
  LEASE_GRANT,
  LEASE_REVOKE,
  PUT,
  RANGE,
  TXN,
  rangeEnd,
  toBytes,
  type Compare,
  type KeepAliveRequest,
  type KeepAliveResponse,
  type Method,
  type TxnResponse,
} from './etcdApi';
import { EtcdWatch } from './etcdWatch';
import type { Change, Entry, Store, StoreError, SwapOutcome, Watch } from './store';

/** The store normally answers within milliseconds; a longer wait means that it is failing. */
const DEFAULT_CALL_TIMEOUT_MS = 1000;

/** `randomInt` accepts ranges below 2^48; ids below 2^53 are exact as JavaScript numbers. */
const LEASE_ID_LIMIT = 2 ** 48 - 1;

/** Connection options of the store. */
export interface EtcdStoreOptions {
  /** Endpoints as `host:port`; if one cannot be reached, the next is tried. */
  readonly endpoints: readonly string[];
  /** Timeout for connecting and, separately, for the response. */
  readonly callTimeoutMs?: number;
}

type Call<S> = (client: Client, deadlineMs: number) => Promise<Result<S, StoreError>>;

function unary<Q, S>(method: Method<Q, S>, request: Q): Call<S> {
  return (client, deadline) =>
    new Promise((resolve) => {
      client.makeUnaryRequest(
        method.path,
        method.requestSerialize,
        method.responseDeserialize,
        request,
        new Metadata(),
        { deadline },
        (error, response) => {
          if (error) resolve(Err(errorOfSentCall(error)));
          else resolve(Ok(response as S));
        },
      );
    });
}

/** Opens a stream for a single request and its response. */
function keepAlive(request: KeepAliveRequest): Call<KeepAliveResponse> {
  return (client, deadline) =>
    new Promise((resolve) => {
      const stream = client.makeBidiStreamRequest(
        KEEP_ALIVE.path,
        KEEP_ALIVE.requestSerialize,
        KEEP_ALIVE.responseDeserialize,
        new Metadata(),
        { deadline },
      );
      stream.on('data', (response: KeepAliveResponse) => {
        resolve(Ok(response));
        stream.end();
      });
      stream.on('error', (error: ServiceError) => resolve(Err(errorOfSentCall(error))));
      stream.on('end', () =>
        resolve(
          Err({
            code: 'unclear',
            message: 'the stream ended without a response to the lease renewal',
          }),
        ),
      );
      stream.write(request);
    });
}

function toSwapOutcome(key: string, value: string, response: TxnResponse): SwapOutcome {
  const { succeeded, header, responses } = response;
  if (succeeded) {
    return { applied: true, current: { key, value, modRevision: header?.revision ?? 0 } };
  }
  const [found] = responses?.[0]?.responseRange?.kvs ?? [];
  return { applied: false, current: found ? toEntry(found) : null };
}

/** `Store` over gRPC. A call is `unavailable` only if no endpoint accepted a connection for it. */
export class EtcdStore implements Store {
  readonly #endpoints: Endpoints;

  readonly #callTimeoutMs: number;

  constructor({ endpoints, callTimeoutMs = DEFAULT_CALL_TIMEOUT_MS }: EtcdStoreOptions) {
    this.#endpoints = new Endpoints(endpoints);
    this.#callTimeoutMs = callTimeoutMs;
  }

  async get(key: string): Promise<Result<Entry | null, StoreError>> {
    const read = await this.#call(unary(RANGE, { key: toBytes(key) }));
    return read.map(({ kvs }) => (kvs?.[0] ? toEntry(kvs[0]) : null));
  }

  async list(prefix: string): Promise<Result<readonly Entry[], StoreError>> {
    const range = { key: toBytes(prefix), rangeEnd: rangeEnd(prefix) };
    const read = await this.#call(unary(RANGE, range));
    return read.map(({ kvs }) => (kvs ?? []).map(toEntry));
  }

  async swap(
    key: string,
    value: string,
    expectedRevision: number,
    expectedValue?: string,
  ): Promise<Result<SwapOutcome, StoreError>> {
    const bytes = toBytes(key);
    const equal = { result: CompareResult.EQUAL, key: bytes };
    const compare: Compare[] = [
      { ...equal, target: CompareTarget.MOD, modRevision: expectedRevision },
    ];
    if (expectedValue !== undefined) {
      compare.push({ ...equal, target: CompareTarget.VALUE, value: toBytes(expectedValue) });
    }
    const success = [{ requestPut: { key: bytes, value: toBytes(value) } }];
    const failure = [{ requestRange: { key: bytes } }];
    const written = await this.#call(unary(TXN, { compare, success, failure }));
    return written.map((response) => toSwapOutcome(key, value, response));
  }

  async putWithLease(
    key: string,
    value: string,
    leaseId: number,
  ): Promise<Result<void, StoreError>> {
    const put = { key: toBytes(key), value: toBytes(value), lease: leaseId };
    return (await this.#call(unary(PUT, put))).map(() => undefined);
  }

  async grantLease(ttlMs: number): Promise<Result<number, StoreError>> {
    const ID = randomInt(1, LEASE_ID_LIMIT);
    const granted = await this.#call(unary(LEASE_GRANT, { ID, TTL: Math.ceil(ttlMs / 1000) }));
    return granted.map(() => ID);
  }

  async renewLease(leaseId: number): Promise<Result<boolean, StoreError>> {
    const renewed = await this.#call(keepAlive({ ID: leaseId }));
    return renewed.map(({ TTL }) => (TTL ?? 0) > 0);
  }

  async revokeLease(leaseId: number): Promise<Result<void, StoreError>> {
    return (await this.#call(unary(LEASE_REVOKE, { ID: leaseId }))).map(() => undefined);
  }

  watch(
    prefix: string,
    onChange: (change: Change) => void,
    onEnd: () => void,
    onOpen: () => void = () => {},
  ): Watch {
    const handlers = { onChange, onEnd, onOpen };
    return new EtcdWatch(this.#endpoints, prefix, this.#callTimeoutMs, handlers);
  }

  async close(): Promise<void> {
    this.#endpoints.close();
  }

  async #call<S>(call: Call<S>): Promise<Result<S, StoreError>> {
    const client = await this.#endpoints.connect(this.#callTimeoutMs);
    if (!client) return Err(NOT_CONNECTED);
    const result = await call(client, Date.now() + this.#callTimeoutMs);
    if (result.err && result.val.code === 'unclear') this.#endpoints.switchFrom(client);
    return result;
  }
}
