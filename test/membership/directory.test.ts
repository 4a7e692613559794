/**
 * Guards against hosts that stop while the store is down, or stay unregistered after a lease
 * expired.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Err, Ok, type Result } from 'ts-results';
import type { Member } from '../../src/core/messages';
import { Directory } from '../../src/membership';
import type { Entry, Store, StoreError, StoreErrorCode, SwapOutcome } from '../../src/store/store';

const PREFIX = '/wasabiyoke/kiosk/hosts/';

/** In-memory store that can fail all calls and expire its leases. */
class FakeStore implements Store {
  readonly entries = new Map<string, { value: string; leaseId: number }>();

  readonly calls: string[] = [];

  readonly #leases = new Set<number>();

  #failure: StoreErrorCode | null = null;

  fail(code: StoreErrorCode | null): void {
    this.#failure = code;
  }

  lapse(): void {
    this.#leases.clear();
    this.entries.clear();
  }

  get(): Promise<Result<Entry | null, StoreError>> {
    return this.#answer('get', () => null);
  }

  list(prefix: string): Promise<Result<readonly Entry[], StoreError>> {
    return this.#answer('list', () =>
      [...this.entries]
        .filter(([key]) => key.startsWith(prefix))
        .map(([key, { value }]) => ({ key, value, modRevision: 1 })),
    );
  }

  swap(): Promise<Result<SwapOutcome, StoreError>> {
    return this.#answer('swap', () => ({ applied: false, current: null }));
  }

  async putWithLease(
    key: string,
    value: string,
    leaseId: number,
  ): Promise<Result<void, StoreError>> {
    if (!this.#leases.has(leaseId)) return Err({ code: 'refused', message: 'no lease' });
    return this.#answer('put', () => {
      this.entries.set(key, { value, leaseId });
    });
  }

  grantLease(): Promise<Result<number, StoreError>> {
    return this.#answer('grant', () => {
      const leaseId = this.calls.length;
      this.#leases.add(leaseId);
      return leaseId;
    });
  }

  renewLease(leaseId: number): Promise<Result<boolean, StoreError>> {
    return this.#answer('renew', () => this.#leases.has(leaseId));
  }

  revokeLease(leaseId: number): Promise<Result<void, StoreError>> {
    return this.#answer('revoke', () => {
      this.#leases.delete(leaseId);
      this.entries.forEach((entry, key) => {
        if (entry.leaseId === leaseId) this.entries.delete(key);
      });
    });
  }

  watch(): { close: () => void } {
    return { close: () => this.calls.push('unwatch') };
  }

  async close(): Promise<void> {
    this.calls.push('close');
  }

  async #answer<T>(call: string, run: () => T): Promise<Result<T, StoreError>> {
    this.calls.push(call);
    if (this.#failure !== null) return Err({ code: this.#failure, message: 'injected' });
    return Ok(run());
  }
}

const member = (hostId: string): Member => ({
  hostId,
  incarnation: `${hostId}-1`,
  domain: 'd',
  peerAddress: `${hostId}:1`,
  state: 'alive',
  sequence: 0,
});

const create = (): { store: FakeStore; directory: Directory; seen: string[][] } => {
  const store = new FakeStore();
  const seen: string[][] = [];
  const directory = new Directory({
    store,
    service: 'kiosk',
    self: member('a'),
    onHosts: (hosts) => seen.push(hosts.map(({ hostId }) => hostId)),
  });
  return { store, directory, seen };
};

describe('directory', () => {
  it('registers under a lease, lists the other hosts, and skips malformed entries', async () => {
    const { store, directory, seen } = create();
    store.entries.set(`${PREFIX}b`, { value: JSON.stringify(member('b')), leaseId: 0 });
    store.entries.set(`${PREFIX}c`, { value: '{"hostId":7}', leaseId: 0 });
    store.entries.set(`${PREFIX}d`, { value: 'no json', leaseId: 0 });
    expect(await directory.step()).toEqual(10_000);
    expect(seen).toEqual([['b']]);
    expect(JSON.parse(store.entries.get(`${PREFIX}a`)?.value ?? '')).toEqual(member('a'));
  });

  it('makes two store calls per refresh in steady state', async () => {
    const { store, directory } = create();
    await directory.step();
    store.calls.length = 0;
    await directory.step();
    expect(store.calls).toEqual(['renew', 'list']);
  });

  it('retries sooner while the store is down, and registers once it is available', async () => {
    const { store, directory, seen } = create();
    store.fail('unavailable');
    expect(await directory.step()).toEqual(2000);
    expect(store.calls).toEqual(['grant', 'list']);
    expect(seen).toEqual([]);
    store.fail(null);
    expect(await directory.step()).toEqual(10_000);
    expect(store.entries.has(`${PREFIX}a`)).toEqual(true);
  });

  it('keeps its lease during an outage and registers again after the lease expired', async () => {
    const { store, directory } = create();
    await directory.step();
    store.fail('unclear');
    await directory.step();
    store.fail(null);
    store.calls.length = 0;
    await directory.step();
    expect(store.calls).toEqual(['renew', 'list']);
    store.lapse();
    await directory.step();
    expect(store.entries.has(`${PREFIX}a`)).toEqual(true);
  });

  it('removes its entry when it closes', async () => {
    const { store, directory } = create();
    directory.open();
    await directory.close();
    expect(store.entries.size).toEqual(0);
    expect(store.calls.at(-1)).toEqual('revoke');
  });
});
