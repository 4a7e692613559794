/** Which cells a host sends tasks to while a failure domain is drained. */
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { Ok } from 'ts-results';
import { CrashHistory } from '../../src/cells/crashHistory';
import { Cluster } from '../../src/dispatcher/cluster';
import { QueueTable } from '../../src/dispatcher/jobs/queueTable';
import {
  cellKey,
  encodeLayout,
  encodeRecord,
  LAYOUT_KEY,
} from '../../src/dispatcher/ownership/cellRecord';
import { StatusFailure, type PeerClient } from '../../src/dispatcher/peers/peerClient';
import type { Platform, RecordStore } from '../../src/dispatcher/platform';
import type { Change } from '../../src/store/store';
import { until } from '../platform/deployment';
import { SUBMITTER } from './peerFixtures';

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
const DRAINED = 'bole';
const NEAR = 'piassa';
const FAR = 'kazanchis';
const DOMAINS = [DRAINED, NEAR, FAR];

async function silence(): Promise<StatusFailure> {
  await sleep(450);
  return StatusFailure.unanswered;
}

function statusOf(domain: string): object {
  const summary = { freeCpuMillis: [1], capacityCpuMillis: 1, queuedCpuMillisMs: 0 };
  const { incarnation } = SUBMITTER;
  const cells = [{ cell: domain, ...summary }];
  return {
    hostId: domain,
    incarnation,
    leaving: false,
    cells,
    records: [],
    configurationVersion: 0,
  };
}

/** A host that owns nothing, and one owner of the cell of each domain. */
class Fixture {
  readonly cluster: Cluster;

  /** Domains whose owners do not answer. */
  readonly cutOff = new Set<string>();

  /** Keys that the host has tried to write. */
  readonly claims: string[] = [];

  #onChange: ((change: Change) => void) | null = null;

  constructor() {
    const store: RecordStore = {
      swap: (key) => {
        this.claims.push(key);
        return new Promise(() => {});
      },
      watch: (_, onChange) => {
        this.#onChange = onChange;
        return { close: () => {} };
      },
      close: async () => {},
    };
    const peers = {
      status: async (domain: string) => (this.cutOff.has(domain) ? silence() : statusOf(domain)),
      mayHaveBatchesAt: () => false,
      abandonCallsTo: () => {},
      abandonCallsToFormerOwners: () => {},
    };
    this.cluster = new Cluster({
      self: SUBMITTER,
      domains: DOMAINS,
      platform: { store, workers: { list: async () => Ok([]) } } as unknown as Platform,
      peers: peers as unknown as PeerClient,
      seeds: [],
      queues: new QueueTable(),
      options: OPTIONS,
      crashes: new CrashHistory(CLOCK.timeOfDayMs, 120_000),
      clock: CLOCK,
      random: { next: () => 0.5 },
      journal: { logDecision: () => {} },
    });
  }

  openWithoutOwners(): void {
    this.cluster.open();
    this.#put(LAYOUT_KEY, encodeLayout(1));
  }

  async open(): Promise<void> {
    this.openWithoutOwners();
    DOMAINS.forEach((domain) => {
      const owner = { ...SUBMITTER, hostId: domain, domain, address: domain };
      this.#put(cellKey(domain), encodeRecord({ cell: domain, owner, token: 1000 }));
    });
    await until('all cells are served', () => this.servingCells.length === 3);
  }

  get servingCells(): readonly string[] {
    return this.cluster.serving().map(({ cell }) => cell);
  }

  #put(key: string, value: string): void {
    this.#onChange?.({ key, entry: { key, value, modRevision: 1 } });
  }
}

describe('a host, while a failure domain is drained', () => {
  // Guards against jobs that are lost in a domain that was cut off just before another one is
  // drained, and whose owner the host has not polled since.
  it('prefers owners that have answered since the drain began', async () => {
    const fixture = new Fixture();
    await fixture.open();
    const { cluster, cutOff } = fixture;
    cutOff.add(FAR);
    cluster.drains.applyRead([{ domain: DRAINED, drained: true, revision: 5 }], 5);
    expect(fixture.servingCells).toEqual([NEAR, FAR]);
    await sleep(5);
    expect(fixture.servingCells).toEqual([NEAR]);
    // With nothing else left, the others are tried.
    cluster.drains.applyRead(
      [DRAINED, NEAR].map((domain) => ({ domain, drained: true, revision: 6 })),
      6,
    );
    expect(fixture.servingCells).toEqual([FAR]);
    cluster.drains.applyRead([], 7);
    expect(fixture.servingCells).toEqual(DOMAINS);
    cluster.close();
  });

  // Guards against jobs that wait for an owner of a domain which is drained or was lost long ago.
  it('expects no owner if all domains are drained, and still counts as serving', async () => {
    const fixture = new Fixture();
    await fixture.open();
    const { cluster } = fixture;
    const drains = DOMAINS.map((domain) => ({ domain, drained: true, revision: 5 }));
    cluster.drains.applyRead(drains, 5);
    expect(fixture.servingCells).toEqual([]);
    expect(cluster.expectsOwner).toEqual(false);
    expect(cluster.hasServedCells).toEqual(true);
    cluster.close();
  });

  // Guards against a new process that starts tasks in a domain of which it does not know yet that it
  // is drained, and against one that never serves because nobody can tell it.
  it('claims no cell as a new process before it knows the drains, for a second at most', async () => {
    const informed = new Fixture();
    informed.openWithoutOwners();
    informed.cluster.drains.applyRead([], 5);
    await until('a cell is claimed', () => informed.claims.length > 0);
    informed.cluster.close();
    const uninformed = new Fixture();
    uninformed.openWithoutOwners();
    const openedAtMs = performance.now();
    await until('a cell is claimed', () => uninformed.claims.length > 0);
    expect(performance.now() - openedAtMs).toBeGreaterThan(900);
    uninformed.cluster.close();
  });
});
