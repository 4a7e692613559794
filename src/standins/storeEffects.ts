/** Effects of the published calls on the state of the stand-in store. */
import { status } from '@grpc/grpc-js';
import {
  CompareResult,
  CompareTarget,
  toBytes,
  toText,
  type Compare,
  type KeyValue,
  type LeaseGrantRequest,
  type LeaseGrantResponse,
  type LeaseRevokeRequest,
  type LeaseRevokeResponse,
  type PutRequest,
  type PutResponse,
  type RangeRequest,
  type RangeResponse,
  type TxnRequest,
  type TxnResponse,
} from '../store/etcdApi';
import type { Entry } from '../store/store';
import { Refusal } from './storeRefusal';
import type { StoreState } from './storeState';

/** The entry as the service sends it. */
export function toKeyValue({ key, value, modRevision }: Entry): KeyValue {
  return { key: toBytes(key), value: toBytes(value), modRevision };
}

/** True if the key is in the range of a request; without an end the range is one key. */
export function inRange(key: string, { key: start, rangeEnd }: RangeRequest): boolean {
  const bytes = toBytes(key);
  const order = bytes.compare(start ?? Buffer.alloc(0));
  if (!rangeEnd || rangeEnd.length === 0) return order === 0;
  const unlimited = rangeEnd.length === 1 && rangeEnd[0] === 0;
  return order >= 0 && (unlimited || bytes.compare(rangeEnd) < 0);
}

function compareHolds(state: StoreState, compare: Compare): boolean {
  const { result, target, key, modRevision, value } = compare;
  if (result !== CompareResult.EQUAL) {
    throw new Refusal(status.UNIMPLEMENTED, 'the stand-in compares for equality only');
  }
  const found = state.current(toText(key));
  if (target === CompareTarget.MOD) return (found?.modRevision ?? 0) === (modRevision ?? 0);
  if (target === CompareTarget.VALUE) return found !== null && found.value === toText(value);
  throw new Refusal(status.UNIMPLEMENTED, 'the stand-in compares revisions and values only');
}

/** Applies calls; a `Refusal` is thrown before any effect. */
export class StoreEffects {
  readonly #state: StoreState;

  constructor(state: StoreState) {
    this.#state = state;
  }

  range(request: RangeRequest): RangeResponse {
    const found = this.#state.list('').filter(({ key }) => inRange(key, request));
    return { header: this.#header(), kvs: found.map(toKeyValue), count: found.length };
  }

  put({ key, value, lease }: PutRequest): PutResponse {
    if (!this.#state.put(toText(key), toText(value), lease ?? 0)) {
      throw new Refusal(status.NOT_FOUND, 'etcdserver: requested lease not found');
    }
    return { header: this.#header() };
  }

  txn({ compare, success, failure }: TxnRequest): TxnResponse {
    this.#state.expire();
    const succeeded = (compare ?? []).every((one) => compareHolds(this.#state, one));
    const responses = ((succeeded ? success : failure) ?? []).map((operation) => {
      if (operation.requestPut) return { responsePut: this.put(operation.requestPut) };
      return { responseRange: this.#current(operation.requestRange ?? {}) };
    });
    return { header: this.#header(), succeeded, responses };
  }

  grant({ ID, TTL }: LeaseGrantRequest): LeaseGrantResponse {
    if (!this.#state.grant(ID ?? 0, (TTL ?? 0) * 1000)) {
      throw new Refusal(status.FAILED_PRECONDITION, 'etcdserver: lease already exists');
    }
    return { header: this.#header(), ID, TTL };
  }

  revoke({ ID }: LeaseRevokeRequest): LeaseRevokeResponse {
    if (!this.#state.revoke(ID ?? 0)) {
      throw new Refusal(status.NOT_FOUND, 'etcdserver: requested lease not found');
    }
    return { header: this.#header() };
  }

  /** Reads within a transaction do not lag. */
  #current({ key }: RangeRequest): RangeResponse {
    const found = this.#state.current(toText(key));
    return { header: this.#header(), kvs: found ? [toKeyValue(found)] : [] };
  }

  #header() {
    return { revision: this.#state.revision };
  }
}
