/**
 * Interface to the platform's key-value store: compare-and-swap, leases and watches. The store may
 * be unavailable, and a response may be lost after the change was applied.
 */
import type { Result } from 'ts-results';

/** A key with its value and the revision of its last change; revisions grow with each change. */
export interface Entry {
  readonly key: string;
  readonly value: string;
  readonly modRevision: number;
}

/** Why a store call failed. */
export const StoreErrorCode = {
  /** The call did not reach the store. */
  unavailable: 'unavailable',
  /** It is unknown whether the call took effect. */
  unclear: 'unclear',
  /** The store refused the call without applying it; `message` gives the reason. */
  refused: 'refused',
} as const;
export type StoreErrorCode = (typeof StoreErrorCode)[keyof typeof StoreErrorCode];

/** Error of a store call. */
export interface StoreError {
  readonly code: StoreErrorCode;
  readonly message: string;
}

/** Outcome of a compare-and-swap: whether it was applied, and the current entry of the key. */
export interface SwapOutcome {
  readonly applied: boolean;
  readonly current: Entry | null;
}

/** A change reported by a watch; `entry` is null for a deletion. */
export interface Change {
  readonly key: string;
  readonly entry: Entry | null;
}

export interface Watch {
  close(): void;
}

/** Client of the key-value store. The call timeout is set at construction. */
export interface Store {
  get(key: string): Promise<Result<Entry | null, StoreError>>;
  /** Returns the entries whose key starts with `prefix`. */
  list(prefix: string): Promise<Result<readonly Entry[], StoreError>>;
  /**
   * Writes the key if its revision is `expectedRevision`; 0 means that the key must not exist. If
   * `expectedValue` is given, the key must also hold that value: a store that lost its most recent
   * writes reuses their revisions, so an equal revision alone does not prove an equal value.
   */
  swap(
    key: string,
    value: string,
    expectedRevision: number,
    expectedValue?: string,
  ): Promise<Result<SwapOutcome, StoreError>>;
  /** Writes a key that is deleted when the lease expires. */
  putWithLease(key: string, value: string, leaseId: number): Promise<Result<void, StoreError>>;
  /** Grants a lease of `ttlMs`, rounded up to whole seconds. */
  grantLease(ttlMs: number): Promise<Result<number, StoreError>>;
  /** Renews a lease once; the result is false if the lease has expired. */
  renewLease(leaseId: number): Promise<Result<boolean, StoreError>>;
  revokeLease(leaseId: number): Promise<Result<void, StoreError>>;
  /**
   * Watches a key prefix and reports each change; `onEnd` is called once when the watch breaks.
   * `onOpen` is called once when the store confirms the watch. Earlier changes are not reported, so
   * read the current state in `onOpen`: a read sent earlier and the watch may both miss a change.
   */
  watch(
    prefix: string,
    onChange: (change: Change) => void,
    onEnd: () => void,
    onOpen?: () => void,
  ): Watch;
  close(): Promise<void>;
}
