/** `PlatformStore` against a simulated store with outages and lost replies. */
import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import { PlatformStore } from '../../platform/store';
import { StoreErrorCode, type Entry } from '../../src/store/store';
import { until } from './deployment';
import { KvStandin } from './kvStandin';

describe('the platform store', () => {
  const standin = new KvStandin();
  let store: PlatformStore;
  before(async () => {
    store = new PlatformStore(await standin.open());
  });
  after(async () => {
    await store.close();
    standin.close();
  });

  it('lists all items of a prefix over several pages', async () => {
    for (let index = 0; index < 25; index += 1) standin.put(`many/${index}`, `value ${index}`);
    standin.put('other/1', 'x');
    const { entries: listed } = (await store.snapshot('many/')).unwrap();
    expect(listed.length).toEqual(25);
    expect(listed.some(({ key, value }) => key === 'many/7' && value === 'value 7')).toEqual(true);
  });

  it('writes only over the expected revision, else returns the current entry', async () => {
    const first = (await store.swap('k/1', 'a', 0)).unwrap();
    expect(first.applied).toEqual(true);
    const second = (await store.swap('k/1', 'b', 0)).unwrap();
    expect(second.applied).toEqual(false);
    expect(second.current?.value).toEqual('a');
    const third = (await store.swap('k/1', 'c', first.current?.modRevision ?? 0)).unwrap();
    expect(third.applied).toEqual(true);
  });

  it('distinguishes a refused write without effect from one whose reply was lost', async () => {
    standin.faults.busy = true;
    const refused = await store.swap('k/2', 'a', 0);
    standin.faults.busy = false;
    expect(refused.err && refused.val.code).toEqual(StoreErrorCode.unavailable);
    standin.faults.losesWriteAnswers = true;
    const lost = await store.swap('k/2', 'a', 0);
    standin.faults.losesWriteAnswers = false;
    expect(lost.err && lost.val.code).toEqual(StoreErrorCode.unclear);
    expect((await store.snapshot('k/2')).unwrap().entries.length).toEqual(1);
  });

  // Guards against a second read of the same entries by each host that starts, and by all hosts each
  // time the store has dropped its history.
  it('passes the present entries to the watch that has read them', async () => {
    standin.put('o/1', 'a');
    const callsBefore = standin.calls;
    const entries = await new Promise<readonly Entry[]>((resolve) => {
      store.watch(
        'o/',
        () => {},
        () => {},
        resolve,
      );
    });
    expect(entries.map(({ key, value }) => `${key}=${value}`)).toEqual(['o/1=a']);
    expect(standin.calls - callsBefore).toEqual(1);
  });

  it('reports changes, and ends the watch if the store no longer has the history', async () => {
    const seen: string[] = [];
    let ended = 0;
    let opened = 0;
    store.watch(
      'w/',
      ({ key, entry }) => seen.push(`${key}=${entry?.value ?? 'removed'}`),
      () => {
        ended += 1;
      },
      () => {
        opened += 1;
      },
    );
    await until('the watch is open', () => opened === 1);
    standin.put('w/1', 'a');
    await until('the change is seen', () => seen.length === 1);
    standin.remove('w/1');
    await until('the removal is seen', () => seen.length === 2);
    expect(seen).toEqual(['w/1=a', 'w/1=removed']);
    standin.faults.forgetsHistory = true;
    standin.put('w/2', 'b');
    await until('the watch has ended', () => ended === 1);
    standin.faults.forgetsHistory = false;
  });
});
