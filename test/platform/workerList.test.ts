/** The list of workers, read from a simulated store. */
import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import { PlatformStore } from '../../platform/store';
import { PlatformWorkerList } from '../../platform/workerList';
import { KvStandin } from './kvStandin';

const WORKERS = 60;

function entryOf(sequence: number): string {
  return JSON.stringify({
    backend: 'service-a',
    address: '10.0.0.1:80',
    zone: 'sofia-a',
    state: 'ready',
    born: 1,
    seq: sequence,
    capacity: { cpu: 64_000, memMb: 1000 },
    labels: [],
  });
}

describe('the list of workers', () => {
  const standin = new KvStandin();
  let store: PlatformStore;
  before(async () => {
    store = new PlatformStore(await standin.open());
  });
  after(async () => {
    await store.close();
    standin.close();
  });

  // Guards against owners of cells that transfer the entries of all workers of a site twice a second,
  // which holds up their calls to workers on a slow link (issue 38).
  it('transfers only the entries that have changed', async () => {
    const journal = { logDecision: () => {} };
    const list = new PlatformWorkerList(store, journal);
    for (let index = 0; index < WORKERS; index += 1) standin.put(`servers/i-${index}`, entryOf(1));
    expect((await list.list()).unwrap().length).toEqual(WORKERS);
    const sentBefore = standin.entriesSent;
    standin.put('servers/i-7', entryOf(2));
    standin.remove('servers/i-8');
    standin.put('servers/i-99', entryOf(1));
    const ids = (await list.list()).unwrap().map(({ id }) => id);
    expect([ids.length, ids.includes('i-8'), ids.includes('i-99')]).toEqual([WORKERS, false, true]);
    expect(standin.entriesSent - sentBefore).toEqual(3);
  });
});
