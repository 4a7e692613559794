/** Batches at a former owner of a cell, with a real cluster and connections on loopback. */
import { after, afterEach, before, beforeEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { Ok } from 'ts-results';
import { CrashHistory } from '../../src/cells/crashHistory';
import type { BatchOutcome } from '../../src/cells/messages';
import {
  cellKey,
  encodeLayout,
  encodeRecord,
  LAYOUT_KEY,
  type HostIdentity,
} from '../../src/dispatcher/ownership/cellRecord';
import { Cluster } from '../../src/dispatcher/cluster';
import type { PeerClient } from '../../src/dispatcher/peers/peerClient';
import type { Platform, RecordStore } from '../../src/dispatcher/platform';
import { QueueTable } from '../../src/dispatcher/jobs/queueTable';
import type { Change } from '../../src/store/store';
import { batchOf } from '../cells/cellSimulation';
import { until } from '../platform/deployment';
import { SUBMITTER } from './peerFixtures';
import { PeerPair } from './peerPair';

/** Time after which a new owner stops runs that no batch has claimed. */
const CLAIM_WINDOW_MS = 250;
/** Time within which a live owner learns of the new record and hands its batches over. */
const HANDOVER_MS = 50;
const OLD_TOKEN = 1000;
const NEW_TOKEN = 2000;
const JOURNAL = { logDecision: () => {} };
const RANDOM = { next: () => 0.5 };
const CLOCK = { nowMs: () => performance.now(), timeOfDayMs: () => Date.now() };
const OPTIONS = {
  leaseMs: 1000,
  abandonDetectionMs: 1000,
  missingGraceMs: 2500,
  maxEntryAgeMs: 3000,
  submitterTimeoutMs: 1300,
  renewWaitMs: 120,
  workerListPeriodMs: 500,
};
const UNREACHABLE: BatchOutcome = {
  type: 'lost',
  reason: 'unreachable',
  started: null,
  succeeded: [],
};
const HANDED_OVER: BatchOutcome = {
  type: 'lost',
  reason: 'handed-over',
  started: ['x'],
  succeeded: [],
};

/** No process listens at this address. */
const NEXT_OWNER: HostIdentity = {
  hostId: 'c',
  incarnation: '1c',
  domain: 'bole',
  address: '127.0.0.1:1',
  cores: 1,
};

/** Fake store without entries that reports the changes passed to it. */
class FakeStore {
  readonly store: RecordStore = {
    swap: () => new Promise(() => {}),
    watch: (_, onChange) => {
      this.#onChange = onChange;
      return { close: () => {} };
    },
    close: async () => {},
  };

  #onChange: ((change: Change) => void) | null = null;

  #revision = 0;

  putOwner(cell: string, owner: HostIdentity, token: number): void {
    this.put(cellKey(cell), encodeRecord({ cell, owner, token }));
  }

  put(key: string, value: string): void {
    this.#revision += 1;
    this.#onChange?.({ key, entry: { key, value, modRevision: this.#revision } });
  }
}

function clusterOf({ store }: FakeStore, peers: PeerClient): Cluster {
  return new Cluster({
    self: SUBMITTER,
    domains: ['bole'],
    platform: { store, workers: { list: async () => Ok([]) } } as unknown as Platform,
    peers,
    seeds: [],
    queues: new QueueTable(),
    options: OPTIONS,
    crashes: new CrashHistory(CLOCK.timeOfDayMs, 120_000),
    clock: CLOCK,
    random: RANDOM,
    journal: JOURNAL,
  });
}

describe('a batch whose cell gets a new owner before the old one is detected as lost', () => {
  const pair = new PeerPair();
  let fakeStore = new FakeStore();
  let cluster: Cluster | null = null;

  function oldOwner(): HostIdentity {
    return {
      hostId: 'b',
      incarnation: '1',
      domain: 'bole',
      address: pair.address,
      cores: 1,
    };
  }

  before(() => pair.open());

  after(() => pair.close());

  beforeEach(() => {
    fakeStore = new FakeStore();
    cluster = clusterOf(fakeStore, pair.client);
    cluster.open();
    fakeStore.putOwner('bole-1', oldOwner(), OLD_TOKEN);
    fakeStore.putOwner('bole-2', oldOwner(), OLD_TOKEN);
  });

  afterEach(() => cluster?.close());

  /** Submits a batch; returns its id and pending outcome once the owner has begun it. */
  async function begin(cell: string): Promise<{ batchId: string; end: Promise<BatchOutcome> }> {
    const batch = batchOf();
    const { batchId } = batch;
    const end = cluster?.run(cell, batch, new AbortController());
    await until('the owner has the batch', () => pair.begun.includes(batchId));
    return { batchId, end: end ?? Promise.reject(new Error('no cluster')) };
  }

  function within<T>(end: Promise<T>, limitMs: number): Promise<T | 'open'> {
    return Promise.race([end, sleep(limitMs, 'open' as const)]);
  }

  // Guards against a job that hung until its deadline because its call was never abandoned, while
  // the new owner stopped its adopted runs.
  it('is lost before the new owner stops its unclaimed runs', async () => {
    const { end } = await begin('bole-1');
    fakeStore.putOwner('bole-1', NEXT_OWNER, NEW_TOKEN);
    expect(await within(end, CLAIM_WINDOW_MS)).toEqual(UNREACHABLE);
  });

  // The same if the old owner's host has restarted and claimed the cell at the same address.
  it('is lost if a new process of the same host owns the cell', async () => {
    const { end } = await begin('bole-1');
    fakeStore.putOwner('bole-1', { ...oldOwner(), incarnation: '2' }, NEW_TOKEN);
    expect(await within(end, CLAIM_WINDOW_MS)).toEqual(UNREACHABLE);
  });

  // The same if this host itself is the new owner.
  it('is lost if this host now owns the cell', async () => {
    const { end } = await begin('bole-1');
    fakeStore.putOwner('bole-1', SUBMITTER, NEW_TOKEN);
    expect(await within(end, CLAIM_WINDOW_MS)).toEqual(UNREACHABLE);
  });

  // Guards against abandoning a live owner at once, before it reports which tasks it has started.
  it('is handed over by a live owner', async () => {
    const { batchId, end } = await begin('bole-1');
    fakeStore.putOwner('bole-1', NEXT_OWNER, NEW_TOKEN);
    await sleep(HANDOVER_MS);
    pair.end(batchId, HANDED_OVER);
    expect(await within(end, CLAIM_WINDOW_MS)).toEqual(HANDED_OVER);
  });

  // Guards against needless loss of batches in other cells that the same process still owns.
  it('does not affect batches of another cell at the same owner', async () => {
    const lost = await begin('bole-1');
    const other = await begin('bole-2');
    fakeStore.putOwner('bole-1', NEXT_OWNER, NEW_TOKEN);
    expect(await within(lost.end, CLAIM_WINDOW_MS)).toEqual(UNREACHABLE);
    expect(await within(other.end, CLAIM_WINDOW_MS)).toEqual('open');
    pair.end(other.batchId, { type: 'done' });
    expect(await other.end).toEqual({ type: 'done' });
  });

  // Guards against losing batches because of a record of the same process with a higher token.
  it('continues if the same process has claimed the cell again', async () => {
    const { batchId, end } = await begin('bole-1');
    fakeStore.putOwner('bole-1', oldOwner(), NEW_TOKEN);
    expect(await within(end, CLAIM_WINDOW_MS)).toEqual('open');
    pair.end(batchId, { type: 'done' });
    expect(await end).toEqual({ type: 'done' });
  });
});

describe('an idle owner that gets one more cell', () => {
  /** With this many cells, idle owners are polled once per second. */
  const CELLS = 20;
  const SETTLED_MS = 100;

  // Guards against batches that wait for the next poll while their runs are stopped as unclaimed.
  it('is seen as serving it well before the next poll of idle owners', async () => {
    const fakeStore = new FakeStore();
    const cells: string[] = ['bole-1'];
    const peers = {
      status: async () => ({
        hostId: NEXT_OWNER.hostId,
        incarnation: NEXT_OWNER.incarnation,
        leaving: false,
        cells: cells.map((cell) => ({ cell })),
        records: [],
        configurationVersion: 0,
      }),
      mayHaveBatchesAt: () => false,
      abandonCallsTo: () => {},
      abandonCallsToFormerOwners: () => {},
    };
    const cluster = clusterOf(fakeStore, peers as unknown as PeerClient);
    cluster.open();
    fakeStore.put(LAYOUT_KEY, encodeLayout(CELLS));
    fakeStore.putOwner('bole-1', NEXT_OWNER, OLD_TOKEN);
    await until('the first cell is served', () => cluster.isServing('bole-1'));
    await sleep(SETTLED_MS);
    fakeStore.putOwner('bole-2', NEXT_OWNER, OLD_TOKEN);
    // It answers the first poll before it learns that its own claim was written.
    setImmediate(() => cells.push('bole-2'));
    await sleep(CLAIM_WINDOW_MS);
    const isServing = cluster.isServing('bole-2');
    cluster.close();
    expect(isServing).toEqual(true);
  });
});
