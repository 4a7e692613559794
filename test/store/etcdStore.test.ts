/**
 * Guards against misuse of the etcd API, and against error codes that claim more than is known.
 * Callers retry a call that was `unavailable`, so that code must mean that nothing was applied.
 */
import { afterEach, beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { EtcdStore } from '../../src/store';
import { rangeEnd } from '../../src/store/etcdApi';
import { StoreServer } from '../../src/standins/storeServer';

const TIMEOUT_MS = 300;

describe('EtcdStore', () => {
  let nowMs = 0;
  let server: StoreServer;
  let store: EtcdStore;

  beforeEach(async () => {
    nowMs = 0;
    server = new StoreServer({ nowMs: () => nowMs });
    await server.start();
    store = new EtcdStore({ endpoints: [server.address], callTimeoutMs: TIMEOUT_MS });
  });

  afterEach(async () => {
    await store.close();
    await server.close();
  });

  it('swaps only if the expected revision and value match', async () => {
    const created = (await store.swap('/a', '1', 0)).unwrap();
    expect(created).toEqual({
      applied: true,
      current: { key: '/a', value: '1', modRevision: 2 },
    });
    expect((await store.swap('/a', '2', 0)).unwrap()).toEqual({ ...created, applied: false });
    expect((await store.swap('/a', '2', 2, 'x')).unwrap().applied).toEqual(false);
    expect((await store.swap('/a', '2', 2, '1')).unwrap().applied).toEqual(true);
    expect((await store.get('/a')).unwrap()).toEqual({ key: '/a', value: '2', modRevision: 3 });
    expect((await store.get('/b')).unwrap()).toEqual(null);
  });

  it('lists the keys of a prefix and not the adjacent keys', async () => {
    await ['/a', '/a/1', '/a/ä', '/b'].reduce(
      (before, key) => before.then(() => store.swap(key, 'x', 0)).then(() => {}),
      Promise.resolve(),
    );
    const entries = (await store.list('/a/')).unwrap();
    expect(entries.map(({ key }) => key)).toEqual(['/a/1', '/a/ä']);
    expect(rangeEnd('a\u007f').toString('hex')).toEqual('6180');
  });

  it('keeps a key until its lease expires', async () => {
    const id = (await store.grantLease(1500)).unwrap();
    expect(Number.isSafeInteger(id)).toEqual(true);
    expect((await store.putWithLease('/h', 'x', id)).ok).toEqual(true);
    nowMs = 1900;
    expect((await store.renewLease(id)).unwrap()).toEqual(true);
    nowMs = 3800;
    expect((await store.get('/h')).unwrap()?.value).toEqual('x');
    nowMs = 4000;
    expect((await store.get('/h')).unwrap()).toEqual(null);
    expect((await store.renewLease(id)).unwrap()).toEqual(false);
    const late = await store.putWithLease('/h', 'x', id);
    expect(late.err && late.val.code).toEqual('refused');
  });

  it('reports changes, deletions and, once, the end of an open watch', async () => {
    const seen: unknown[] = [];
    const lease = (await store.grantLease(1000)).unwrap();
    await new Promise<void>((ended) => {
      const onOpen = async () => {
        await store.putWithLease('/w/1', 'x', lease);
        await store.putWithLease('/v', 'x', lease);
        nowMs = 5000;
        server.expireLeases();
      };
      const onChange = (change: unknown) => {
        seen.push(change);
        if (seen.length === 2) server.cut();
      };
      store.watch('/w/', onChange, ended, onOpen);
    });
    expect(seen).toEqual([
      { key: '/w/1', entry: { key: '/w/1', value: 'x', modRevision: 2 } },
      { key: '/w/1', entry: null },
    ]);
  });

  it('reports nothing to a closed watch', async () => {
    const seen: string[] = [];
    await new Promise<void>((opened) => {
      const watch = store.watch(
        '/w',
        () => seen.push('change'),
        () => seen.push('end'),
        () => {
          watch.close();
          opened();
        },
      );
    });
    await store.swap('/w', 'x', 0);
    server.cut();
    await store.get('/w');
    expect(seen).toEqual([]);
  });

  it('returns unclear, not unavailable, if the response to an applied change is lost', async () => {
    server.faults.loseAnswers(1);
    const lost = await store.swap('/a', '1', 0);
    expect(lost.err && lost.val.code).toEqual('unclear');
    expect((await store.get('/a')).unwrap()?.value).toEqual('1');
  });

  it('returns unclear if a frozen store does not answer and may apply the change later', async () => {
    server.faults.freeze();
    const lost = await store.swap('/a', '1', 0);
    expect(lost.err && lost.val.code).toEqual('unclear');
    expect(server.state.current('/a')).toEqual(null);
    server.faults.thaw();
    expect((await store.get('/a')).unwrap()?.value).toEqual('1');
  });

  it('waits for a slow store within the timeout', async () => {
    server.faults.delay(20);
    expect((await store.swap('/a', '1', 0)).unwrap().applied).toEqual(true);
  });

  it('returns refused if the store refuses a call', async () => {
    server.faults.refuse();
    const refused = await store.swap('/a', '1', 0);
    expect(refused.err && refused.val.code).toEqual('refused');
    expect(server.state.current('/a')).toEqual(null);
  });

  it('returns unavailable if no connection is accepted, and recovers', async () => {
    await store.get('/a');
    server.cut();
    // The connection may break during the first call, which is then unclear.
    await store.get('/a');
    const down = await store.swap('/a', '1', 0);
    expect(down.err && down.val.code).toEqual('unavailable');
    await server.mend();
    const read = () => store.get('/a');
    const retry = async (attemptsLeft: number): Promise<boolean> => {
      const result = await read();
      if (result.ok || attemptsLeft === 0) return result.ok;
      await new Promise((resolve) => {
        setTimeout(resolve, 50);
      });
      return retry(attemptsLeft - 1);
    };
    expect(await retry(100)).toEqual(true);
  });

  it('uses the next endpoint if one is down or frozen', async () => {
    const other = new StoreServer({ nowMs: () => nowMs });
    await other.start();
    const endpoints = [server.address, other.address];
    const storeWithTwoEndpoints = new EtcdStore({ endpoints, callTimeoutMs: TIMEOUT_MS });
    other.state.put('/a', 'other');
    server.faults.freeze();
    expect((await storeWithTwoEndpoints.get('/a')).ok).toEqual(false);
    expect((await storeWithTwoEndpoints.get('/a')).unwrap()?.value).toEqual('other');
    server.cut();
    expect((await storeWithTwoEndpoints.get('/a')).unwrap()?.value).toEqual('other');
    await storeWithTwoEndpoints.close();
    await other.close();
  });

  it('is counted by the simulated store once per call and per watch', async () => {
    await store.get('/a');
    await store.swap('/a', '1', 0);
    await new Promise<void>((opened) => {
      store.watch(
        '/a',
        () => {},
        () => {},
        opened,
      );
    });
    expect(server.faults.counts()).toEqual({ range: 1, txn: 1, watch: 1 });
    expect(server.state.watchers).toEqual(1);
  });
});
