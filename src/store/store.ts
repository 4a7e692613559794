/**
 * The platform's key-value service as the dispatcher uses it: compare-and-swap, leases and watches.
 * It has outages, and an answer may be lost after its change took effect.
 */
import type { Result } from 'ts-results';

/** A key with its value and the revision of its last change; revisions grow with each change. */
export interface Entry {
  readonly key: string;
  readonly value: string;
  readonly modRevision: number;
}

/** Why a store call has no result. */
export const StoreErrorCode = {
  /** The call did not reach the store. */
  unavailable: 'unavailable',
  /** The call may or may not have taken effect. */
  unclear: 'unclear',
  /** The store refused the call; `message` says why. */
  refused: 'refused',
} as const;
export type StoreErrorCode = (typeof StoreErrorCode)[keyof typeof StoreErrorCode];

/** Error of a store call. */
export interface StoreError {
  readonly code: StoreErrorCode;
  readonly message: string;
}

/** Outcome of a compare-and-swap: whether it was applied, and what the key holds now. */
export interface SwapOutcome {
  readonly applied: boolean;
  readonly current: Entry | null;
}

/** A change seen by a watch; `entry` is null for a deletion. */
export interface Change {
  readonly key: string;
  readonly entry: Entry | null;
}

/** A running watch. */
export interface Watch {
  close(): void;
}

/** Client of the key-value service. Time-outs are in milliseconds and set at construction. */
export interface Store {
  get(key: string): Promise<Result<Entry | null, StoreError>>;
  /** Entries whose key starts with `prefix`. */
  list(prefix: string): Promise<Result<readonly Entry[], StoreError>>;
  /**
   * Writes if the key's revision is `expectedRevision`; 0 means that the key must not exist. With
   * `expectedValue` the key must also hold that value: a store that lost its most recent writes
   * gives their revisions out again, so an equal revision alone does not prove an equal value.
   */
  swap(
    key: string,
    value: string,
    expectedRevision: number,
    expectedValue?: string,
  ): Promise<Result<SwapOutcome, StoreError>>;
  /** Writes a key that disappears when the lease lapses. */
  putWithLease(key: string, value: string, leaseId: number): Promise<Result<void, StoreError>>;
  /** Grants a lease of `ttlMs`, rounded up to whole seconds by the service. */
  grantLease(ttlMs: number): Promise<Result<number, StoreError>>;
  /** Renews a lease once; false in the result means that it has lapsed. */
  renewLease(leaseId: number): Promise<Result<boolean, StoreError>>;
  revokeLease(leaseId: number): Promise<Result<void, StoreError>>;
  /**
   * Watches a key prefix and reports each change; `onEnd` is called once when the watch breaks.
   * A watch starts at the present state; read the key in `onOpen`, which is called once when the
   * service confirms the watch. A read sent earlier may miss a change that the watch misses too.
   */
  watch(
    prefix: string,
    onChange: (change: Change) => void,
    onEnd: () => void,
    onOpen?: () => void,
  ): Watch;
  close(): Promise<void>;
}
