/** Guards against changes missed after a broken watch and against overload of a failing store. */
import { afterEach, beforeEach, describe, it } from 'node:test';
import { createClock, type Clock as FakeClock } from '@sinonjs/fake-timers';
import { expect } from 'earl';
import {
  ConfigurationRelay,
  ConfigurationReplica,
  SYSTEM_TIMERS,
  encodeRecord,
} from '../../src/configuration';
import { backoffMs } from '../../src/configuration/relay';
import { MemoryStore } from '../../src/standins/storeMemory';
import { StoreServer } from '../../src/standins/storeServer';
import { EtcdStore } from '../../src/store';
import { sampleRecord } from './samples';

const KEY = '/c';
const FIRST = sampleRecord(null, 'a');
const SECOND = sampleRecord(FIRST, 'b');

describe('ConfigurationRelay', () => {
  let clock: FakeClock;
  let store: MemoryStore;
  let replica: ConfigurationReplica;
  let relay: ConfigurationRelay;

  beforeEach(() => {
    clock = createClock();
    const random = { next: () => 0.5 };
    store = new MemoryStore({ clock: { nowMs: () => clock.now } });
    replica = new ConfigurationReplica(random);
    replica.setRelay(true);
    const timers = {
      set(callback: () => void, delayMs: number) {
        const timer = clock.setTimeout(callback, delayMs);
        return () => clock.clearTimeout(timer);
      },
    };
    relay = new ConfigurationRelay({
      store,
      key: KEY,
      random,
      timers,
      onEntry(entry, mayWriteBack) {
        replica.onStoreEntry(entry, mayWriteBack).forEach((action) => {
          if (action.type === 'writeBack') relay.writeBack(action);
        });
      },
    });
    relay.start();
  });

  afterEach(() => relay.stop());

  function write(record: typeof FIRST): void {
    store.state.put(KEY, encodeRecord(record));
  }

  it('applies a change from the watch immediately', async () => {
    await clock.tickAsync(1);
    write(FIRST);
    expect(replica.generation).toEqual(1);
    store.state.put(`${KEY}2`, encodeRecord(SECOND));
    expect(replica.generation).toEqual(1);
  });

  it('reads changes made while the watch was broken', async () => {
    await clock.tickAsync(1);
    store.cut();
    write(FIRST);
    await clock.tickAsync(1000);
    expect(replica.generation).toEqual(0);
    store.faults.mend();
    await clock.tickAsync(2000);
    expect(replica.generation).toEqual(1);
    write(SECOND);
    expect(replica.generation).toEqual(2);
  });

  it('restores the latest writes that the store lost within one read period', async () => {
    write(FIRST);
    const { revision } = store.state;
    write(SECOND);
    await clock.tickAsync(1);
    expect(replica.generation).toEqual(2);
    store.state.rollBack(revision);
    await clock.tickAsync(2100);
    expect(store.state.current(KEY)?.value).toEqual(encodeRecord(SECOND));
    expect(replica.generation).toEqual(2);
    expect(store.faults.counts().txn).toEqual(1);
  });

  it('neither reverts nor overwrites a newer record after a stale read', async () => {
    write(FIRST);
    const { revision } = store.state;
    write(SECOND);
    await clock.tickAsync(1);
    store.state.readAt(revision);
    await clock.tickAsync(2100);
    expect(replica.generation).toEqual(2);
    expect(store.state.current(KEY)?.modRevision).toEqual(revision + 1);
  });

  it('bounds the request rate during a store outage', async () => {
    await clock.tickAsync(1);
    store.cut();
    const before = store.faults.total();
    await clock.tickAsync(60_000);
    const counts = store.faults.counts();
    // 30 reads; watch attempts after 0.15 s, 0.3 s, ... and then every 7.5 s.
    expect(store.faults.total() - before).toEqual(30 + 12);
    expect(counts.watch).toEqual(1 + 12);
  });

  it('keeps backing off when watches break as soon as they open', async () => {
    await clock.tickAsync(1);
    const { setInterval } = clock;
    setInterval(() => store.breakWatches(), 10);
    await clock.tickAsync(20_000);
    expect((store.faults.counts().watch ?? 0) < 15).toEqual(true);
  });

  it('reads the current record on start and makes no store calls after stop', async () => {
    write(SECOND);
    await clock.tickAsync(1);
    expect(replica.generation).toEqual(2);
    relay.stop();
    const before = store.faults.total();
    await clock.tickAsync(60_000);
    expect(store.faults.total()).toEqual(before);
    expect(store.state.watchers).toEqual(0);
  });

  it('receives a change over gRPC after the store was down and lost writes', async () => {
    const server = new StoreServer({ nowMs: () => 0 });
    await server.start();
    const client = new EtcdStore({ endpoints: [server.address], callTimeoutMs: 500 });
    server.state.put(KEY, encodeRecord(SECOND));
    server.cut();
    server.state.rollBack(1);
    const seen = new Promise<unknown>((resolve) => {
      const options = { store: client, key: KEY, random: { next: () => 0 } };
      const onEntry = (entry: unknown) => {
        if (entry !== null) resolve(entry);
        else server.state.put(KEY, encodeRecord(FIRST));
      };
      relay.stop();
      relay = new ConfigurationRelay({ ...options, timers: SYSTEM_TIMERS, onEntry });
      relay.start();
    });
    await server.mend();
    expect(await seen).toEqual({ key: KEY, value: encodeRecord(FIRST), modRevision: 2 });
    relay.stop();
    await client.close();
    await server.close();
  });

  it('adds jitter to the backoff and caps it', () => {
    expect([0, 1, 9].map((failures) => backoffMs(failures, { next: () => 0 }))).toEqual([
      100, 200, 5000,
    ]);
    expect(backoffMs(50, { next: () => 1 })).toEqual(10_000);
  });
});
