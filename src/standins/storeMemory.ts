/**
 * Store in memory for tests with an injected clock: the same faults as the stand-in server, without
 * sockets. A call to a frozen store is answered `unclear` at once, and takes effect when it thaws.
 */
import { Err, Ok, type Result } from 'ts-results';
import type { Clock } from '../core/clock';
import {
  StoreErrorCode,
  type Change,
  type Entry,
  type Store,
  type StoreError,
  type SwapOutcome,
  type Watch,
} from '../store/store';
import { StoreFaults, type StoreCall } from './storeFaults';
import { StoreState } from './storeState';

/** What a memory store works with. */
export interface MemoryStoreOptions {
  readonly clock: Clock;
  /** Called before the effect of each call and, with 0, after it; tests order calls with it. */
  readonly wait?: (delayMs: number) => Promise<void>;
}

interface OpenWatch extends Watch {
  end(): void;
}

function fail(code: StoreErrorCode, message: string): Err<StoreError> {
  return Err({ code, message });
}

const UNCLEAR = fail(StoreErrorCode.unclear, 'no answer');

/** Store in memory with faults. */
export class MemoryStore implements Store {
  readonly faults = new StoreFaults();

  readonly state: StoreState;

  readonly #wait: (delayMs: number) => Promise<void>;

  readonly #watches = new Set<OpenWatch>();

  #nextLeaseId = 1;

  constructor({ clock, wait = () => Promise.resolve() }: MemoryStoreOptions) {
    this.state = new StoreState(clock);
    this.#wait = wait;
  }

  get(key: string): Promise<Result<Entry | null, StoreError>> {
    return this.#call('range', () => Ok(this.state.get(key)));
  }

  list(prefix: string): Promise<Result<readonly Entry[], StoreError>> {
    return this.#call('range', () => Ok(this.state.list(prefix)));
  }

  swap(
    key: string,
    value: string,
    expectedRevision: number,
    expectedValue?: string,
  ): Promise<Result<SwapOutcome, StoreError>> {
    return this.#call('txn', () =>
      Ok(this.state.swap(key, value, expectedRevision, expectedValue)),
    );
  }

  putWithLease(key: string, value: string, leaseId: number): Promise<Result<void, StoreError>> {
    return this.#call('put', () => {
      const written = this.state.put(key, value, leaseId);
      return written ? Ok(undefined) : fail(StoreErrorCode.refused, 'lease not found');
    });
  }

  grantLease(ttlMs: number): Promise<Result<number, StoreError>> {
    return this.#call('leaseGrant', () => {
      const id = this.#nextLeaseId;
      this.#nextLeaseId += 1;
      this.state.grant(id, Math.ceil(ttlMs / 1000) * 1000);
      return Ok(id);
    });
  }

  renewLease(leaseId: number): Promise<Result<boolean, StoreError>> {
    return this.#call('leaseKeepAlive', () => Ok(this.state.renew(leaseId) > 0));
  }

  revokeLease(leaseId: number): Promise<Result<void, StoreError>> {
    return this.#call('leaseRevoke', () => {
      const revoked = this.state.revoke(leaseId);
      return revoked ? Ok(undefined) : fail(StoreErrorCode.refused, 'lease not found');
    });
  }

  watch(
    prefix: string,
    onChange: (change: Change) => void,
    onEnd: () => void,
    onOpen: () => void = () => {},
  ): Watch {
    this.faults.count('watch');
    let unwatch = () => {};
    const watch = {
      end: () => {
        if (this.#watches.has(watch)) onEnd();
        watch.close();
      },
      close: () => {
        unwatch();
        this.#watches.delete(watch);
      },
    };
    this.#watches.add(watch);
    const report = (change: Change) => {
      if (this.#watches.has(watch)) onChange(change);
    };
    this.#start(() => {
      if (!this.#watches.has(watch)) return;
      if (this.faults.isCut || this.faults.refuses) {
        watch.end();
        return;
      }
      unwatch = this.state.watch(prefix, (change) => {
        if (this.faults.isFrozen) this.faults.thawed.then(() => report(change));
        else report(change);
      });
      onOpen();
    });
    return watch;
  }

  /** Breaks all watches, as a restart of the store does. */
  breakWatches(): void {
    [...this.#watches].forEach((watch) => watch.end());
  }

  /** Cuts the store off: watches break and calls do not reach it until `faults.mend`. */
  cut(): void {
    this.faults.cut();
    this.breakWatches();
  }

  async close(): Promise<void> {
    this.breakWatches();
  }

  async #start(begin: () => void): Promise<void> {
    await this.#wait(this.faults.delayMs);
    if (!this.faults.isCut) await this.faults.thawed;
    begin();
  }

  async #call<T>(
    name: StoreCall,
    effect: () => Result<T, StoreError>,
  ): Promise<Result<T, StoreError>> {
    this.faults.count(name);
    if (this.faults.isCut) return fail(StoreErrorCode.unavailable, 'not connected');
    if (this.faults.refuses) return fail(StoreErrorCode.refused, 'too many requests');
    const { restarts } = this.state;
    const apply = () => (this.state.restarts === restarts ? effect() : UNCLEAR);
    await this.#wait(this.faults.delayMs);
    if (this.faults.isFrozen) {
      this.faults.thawed.then(apply);
      return UNCLEAR;
    }
    const result = apply();
    await this.#wait(0);
    return this.faults.takeLostAnswer() ? UNCLEAR : result;
  }
}
