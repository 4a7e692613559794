/** Batches at an owner whose cell has got another owner, over a cluster and connections on loopback. */
import { after, afterEach, before, beforeEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { Ok } from 'ts-results';
import type { BatchOutcome } from '../../src/cells/messages';
import {
  cellKey,
  encodeLayout,
  encodeRecord,
  LAYOUT_KEY,
  type HostIdentity,
} from '../../src/dispatcher/cellRecord';
import { Cluster } from '../../src/dispatcher/cluster';
import type { PeerClient } from '../../src/dispatcher/peerClient';
import type { Platform, RecordStore } from '../../src/dispatcher/platform';
import { QueueTable } from '../../src/dispatcher/queueTable';
import type { Change } from '../../src/store/store';
import { batchOf } from '../cells/cellSimulation';
import { until } from '../platform/deployment';
import { SUBMITTER } from './peerFixtures';
import { PeerPair } from './peerPair';

/** The new owner stops runs that no batch has claimed for so long. */
const CLAIM_TIME_MS = 250;
/** An owner that is alive hears of the new record, and answers, within this time. */
const HEARD_AFTER_MS = 50;
const OLD_TOKEN = 1000;
const NEW_TOKEN = 2000;
const JOURNAL = { logDecision: () => {} };
const RANDOM = { next: () => 0.5 };
const CLOCK = { nowMs: () => performance.now(), timeOfDayMs: () => Date.now() };
const OPTIONS = {
  leaseMs: 1000,
  abandonDetectionMs: 1000,
  missingGraceMs: 2500,
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

/** Nothing listens there. */
const NEXT_OWNER: HostIdentity = {
  hostId: 'c',
  incarnation: '1c',
  domain: 'bole',
  address: '127.0.0.1:1',
  cores: 1,
};

/** A store that holds nothing, and tells of the changes that it is given. */
class TellingStore {
  readonly store: RecordStore = {
    list: async () => Ok([]),
    swap: () => new Promise(() => {}),
    watch: (_, onChange) => {
      this.#onChange = onChange;
      return { close: () => {} };
    },
    close: async () => {},
  };

  #onChange: ((change: Change) => void) | null = null;

  #revision = 0;

  tell(cell: string, owner: HostIdentity, token: number): void {
    this.put(cellKey(cell), encodeRecord({ cell, owner, token }));
  }

  put(key: string, value: string): void {
    this.#revision += 1;
    this.#onChange?.({ key, entry: { key, value, modRevision: this.#revision } });
  }
}

function clusterOf({ store }: TellingStore, peers: PeerClient): Cluster {
  return new Cluster({
    self: SUBMITTER,
    domains: ['bole'],
    platform: { store, workers: { list: async () => Ok([]) } } as unknown as Platform,
    peers,
    seeds: [],
    queues: new QueueTable(),
    options: OPTIONS,
    clock: CLOCK,
    random: RANDOM,
    journal: JOURNAL,
  });
}

describe('a batch whose cell gets another owner before its own owner counts as gone', () => {
  const pair = new PeerPair();
  let telling = new TellingStore();
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
    telling = new TellingStore();
    cluster = clusterOf(telling, pair.client);
    cluster.open();
    telling.tell('bole-1', oldOwner(), OLD_TOKEN);
    telling.tell('bole-2', oldOwner(), OLD_TOKEN);
  });

  afterEach(() => cluster?.close());

  /** Sends a batch and returns its outcome when the owner has begun it. */
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

  // A job whose call was never given up hung until its deadline, and its adopted runs were stopped.
  it('counts as lost before the new owner stops its runs as unclaimed', async () => {
    const { end } = await begin('bole-1');
    telling.tell('bole-1', NEXT_OWNER, NEW_TOKEN);
    expect(await within(end, CLAIM_TIME_MS)).toEqual(UNREACHABLE);
  });

  // The same where the old owner's host has started again and claimed the cell, at the same address.
  it('counts as lost if a new process of the same host owns the cell', async () => {
    const { end } = await begin('bole-1');
    telling.tell('bole-1', { ...oldOwner(), incarnation: '2' }, NEW_TOKEN);
    expect(await within(end, CLAIM_TIME_MS)).toEqual(UNREACHABLE);
  });

  // The same where this host itself is the new owner.
  it('counts as lost if this host owns the cell now', async () => {
    const { end } = await begin('bole-1');
    telling.tell('bole-1', SUBMITTER, NEW_TOKEN);
    expect(await within(end, CLAIM_TIME_MS)).toEqual(UNREACHABLE);
  });

  // An owner that is given up at once could not tell which tasks it has started.
  it('is handed over by an owner that is alive', async () => {
    const { batchId, end } = await begin('bole-1');
    telling.tell('bole-1', NEXT_OWNER, NEW_TOKEN);
    await sleep(HEARD_AFTER_MS);
    pair.end(batchId, HANDED_OVER);
    expect(await within(end, CLAIM_TIME_MS)).toEqual(HANDED_OVER);
  });

  // Batches of other cells that the same process still owns would be stopped for nothing.
  it('leaves the batches of another cell at the same owner alone', async () => {
    const lost = await begin('bole-1');
    const other = await begin('bole-2');
    telling.tell('bole-1', NEXT_OWNER, NEW_TOKEN);
    expect(await within(lost.end, CLAIM_TIME_MS)).toEqual(UNREACHABLE);
    expect(await within(other.end, CLAIM_TIME_MS)).toEqual('open');
    pair.end(other.batchId, { type: 'done' });
    expect(await other.end).toEqual({ type: 'done' });
  });

  // A record with a newer token of the same process does not take its batches away.
  it('goes on where the same process has claimed the cell again', async () => {
    const { batchId, end } = await begin('bole-1');
    telling.tell('bole-1', oldOwner(), NEW_TOKEN);
    expect(await within(end, CLAIM_TIME_MS)).toEqual('open');
    pair.end(batchId, { type: 'done' });
    expect(await end).toEqual({ type: 'done' });
  });
});

describe('an idle owner that gets one more cell', () => {
  /** Idle owners are asked once a second then. */
  const CELLS = 20;
  const SETTLED_MS = 100;

  // A batch that is claimed there waits for the answer; its runs would be stopped as unclaimed.
  it('serves it for other hosts well before the next question to idle owners', async () => {
    const telling = new TellingStore();
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
    const cluster = clusterOf(telling, peers as unknown as PeerClient);
    cluster.open();
    telling.put(LAYOUT_KEY, encodeLayout(CELLS));
    telling.tell('bole-1', NEXT_OWNER, OLD_TOKEN);
    await until('the first cell is served', () => cluster.isServing('bole-1'));
    await sleep(SETTLED_MS);
    telling.tell('bole-2', NEXT_OWNER, OLD_TOKEN);
    // It answers the first question before it has heard that its own claim was written.
    setImmediate(() => cells.push('bole-2'));
    await sleep(CLAIM_TIME_MS);
    const isServing = cluster.isServing('bole-2');
    cluster.close();
    expect(isServing).toEqual(true);
  });
});
