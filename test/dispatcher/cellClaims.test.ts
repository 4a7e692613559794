/** Claims of several cells by one host, and of cells of another domain. */
import { describe, it } from 'node:test';
import { setImmediate as settled } from 'node:timers/promises';
import { expect } from 'earl';
import { Ok } from 'ts-results';
import { CellClaims } from '../../src/dispatcher/ownership/cellClaims';
import { CellLayout } from '../../src/dispatcher/ownership/cellLayout';
import type { HostIdentity } from '../../src/dispatcher/ownership/cellRecord';
import { OwnerHealth } from '../../src/dispatcher/ownership/claimPolicy';
import type { Platform, RecordStore } from '../../src/dispatcher/platform';
import { CellRegistry } from '../../src/dispatcher/ownership/cellRegistry';
import type { WorkerTarget } from '../../src/dispatcher/ownership/workerClient';
import { workerEntry } from '../cells/simulatedWorker';

const JOURNAL = { logDecision: () => {} };
const OBSERVED_MS = 10_000;
const TICK_MS = 25;
/** A service that the configuration does not name. */
const UNNAMED_SERVICE = 'archive-batch';

function host(hostId: string, domain = 'bole'): HostIdentity {
  return { hostId, incarnation: '1', domain, address: `${hostId}:1`, cores: 1 };
}

interface ClaimCase {
  readonly owner?: HostIdentity;
  readonly health?: OwnerHealth;
  readonly forMs?: number;
}

/**
 * Keys that a host claims in a domain whose cells all belong to another host; no claim is answered.
 */
function claimedKeys(
  cells: number,
  { owner = host('bole-2'), health = OwnerHealth.serving, forMs = OBSERVED_MS }: ClaimCase = {},
): readonly string[] {
  const keys: string[] = [];
  const store: RecordStore = {
    swap: (key) => {
      keys.push(key);
      return new Promise(() => {});
    },
    watch: () => ({ close: () => {} }),
    close: async () => {},
  };
  const self = host('bole-1');
  const records = new CellRegistry({
    self,
    store,
    journal: JOURNAL,
    onOwner: () => {},
    onLayout: () => {},
    onCrashes: () => {},
  });
  const layout = new CellLayout(['bole'], cells);
  layout.cells.forEach((cell) => {
    records.merge({ cell, owner, token: 1000 }, 'test');
  });
  const claims = new CellClaims({
    self,
    platform: { store } as Platform,
    registry: records,
    random: { next: () => 0.5 },
    clock: { nowMs: () => 0 },
    journal: JOURNAL,
    healthOf: () => health,
    poll: () => {},
    namesService: () => true,
  });
  for (let nowMs = 0; nowMs < forMs; nowMs += TICK_MS) claims.claimDueCells(layout, nowMs);
  return keys;
}

describe('claims of the cells of an earlier process of the host', () => {
  // Guards against claims one after the other when a host returns that owned several cells.
  it('are all made at once', () => {
    const owner = { ...host('bole-1'), incarnation: '0' };
    expect(claimedKeys(3, { owner, health: OwnerHealth.gone, forMs: TICK_MS }).length).toEqual(3);
  });
});

describe('claims of cells from an owner that is serving', () => {
  it('claims one of two cells, so that the hosts do not keep taking them from each other', () => {
    expect(claimedKeys(2).length).toEqual(1);
  });

  it('claims two of six cells; a third would not lower the load by the required factor', () => {
    expect(claimedKeys(6).length).toEqual(2);
  });

  it('does not claim the only cell of an owner', () => {
    expect(claimedKeys(1)).toEqual([]);
  });
});

/**
 * Host of another domain, for which the owner of a cell is gone and its workers may be unreachable.
 */
class RemoteHost {
  readonly claimedAtMs: number[] = [];

  reachesWorkers = true;

  /** Workers whose entries are listed but that do not answer. */
  readonly lostWorkers = new Set<string>();

  /** Entries of the workers of the cell's domain, in the order of the list. */
  entries = [{ ...workerEntry('w0'), domain: 'bole' }];

  probes = 0;

  health: OwnerHealth = OwnerHealth.gone;

  answersWhenAsked = false;

  #nowMs = 0;

  readonly #claims: CellClaims;

  readonly #layout: CellLayout;

  constructor(cells = 1) {
    this.#layout = new CellLayout(['bole'], cells);
    const store: RecordStore = {
      swap: () => {
        this.claimedAtMs.push(this.#nowMs);
        return new Promise(() => {});
      },
      watch: () => ({ close: () => {} }),
      close: async () => {},
    };
    const self = host('piassa-1', 'piassa');
    const ignored = {
      journal: JOURNAL,
      onOwner: () => {},
      onLayout: () => {},
      onCrashes: () => {},
    };
    const records = new CellRegistry({ self, store, ...ignored });
    this.#layout.cells.forEach((cell) => {
      records.merge({ cell, owner: host('bole-2'), token: 1000 }, 'test');
    });
    const listed = {
      type: 'listed',
      clockMs: 0,
      processStartMs: 1,
      running: [],
      ended: [],
    } as const;
    const silent = { type: 'silent', error: 'timed out' } as const;
    const renew = async ({ id }: WorkerTarget) => {
      this.probes += 1;
      return this.reachesWorkers && !this.lostWorkers.has(id) ? listed : silent;
    };
    const workers = { list: async () => Ok(this.entries) };
    this.#claims = new CellClaims({
      self,
      platform: { store, workers, workerClient: { renew } } as unknown as Platform,
      registry: records,
      random: { next: () => 0.5 },
      clock: { nowMs: () => this.#nowMs },
      journal: JOURNAL,
      healthOf: () => this.health,
      poll: () => {
        if (this.answersWhenAsked) this.health = OwnerHealth.serving;
      },
      namesService: (service) => service !== UNNAMED_SERVICE,
    });
  }

  /** Adds entries before all others whose workers do not answer. */
  addLostWorkers(count: number, service = workerEntry('').service): void {
    const lost = Array.from({ length: count }, (_, index) => {
      const entry = workerEntry(`lost-${index}`);
      return { ...entry, domain: 'bole', service };
    });
    lost.forEach(({ id }) => this.lostWorkers.add(id));
    this.entries = [...lost, ...this.entries];
  }

  async advance(durationMs: number): Promise<void> {
    const untilMs = this.#nowMs + durationMs;
    while (this.#nowMs < untilMs) {
      this.#nowMs += TICK_MS;
      this.#claims.claimDueCells(this.#layout, this.#nowMs);
      // eslint-disable-next-line no-await-in-loop -- delivers answers before time advances
      await settled();
    }
  }
}

describe('a claim of a cell of another domain', () => {
  it('is made after 700 ms with reachable workers and no answer of its owner', async () => {
    const remote = new RemoteHost();
    await remote.advance(4000);
    // The delay of hosts of other domains, half of the jitter, and 700 ms.
    const [firstMs = 0] = remote.claimedAtMs;
    expect(firstMs).toBeGreaterThanOrEqual(2250 + 700);
    expect(firstMs).toBeLessThanOrEqual(2250 + 700 + 300);
  });

  // Guards against needless changes of owner when a partition ends, since the workers answer before
  // their owner is polled.
  it('is not made when a partition ends and the owner answers soon after the workers', async () => {
    const remote = new RemoteHost();
    remote.reachesWorkers = false;
    await remote.advance(6000);
    remote.reachesWorkers = true;
    remote.answersWhenAsked = true;
    await remote.advance(2000);
    expect(remote.claimedAtMs).toEqual([]);
    expect(remote.health).toEqual(OwnerHealth.serving);
  });

  // Guards against counting the time before a partition as time in which the workers were
  // reachable.
  it('restarts the reachable time after a probe without an answer', async () => {
    const remote = new RemoteHost();
    await remote.advance(2700);
    remote.reachesWorkers = false;
    await remote.advance(500);
    remote.reachesWorkers = true;
    await remote.advance(600);
    expect(remote.claimedAtMs).toEqual([]);
    await remote.advance(600);
    expect(remote.claimedAtMs.length).toEqual(1);
  });

  // Guards against workers that are never used again after their hosts are lost, because a rack
  // without power, or workers that have crashed, stand first in the list.
  it('is made although the workers that are listed first do not answer', async () => {
    const remote = new RemoteHost();
    remote.addLostWorkers(12);
    // Four probes of three workers, at intervals of 250 ms, find the one that answers.
    await remote.advance(2250 + 4 * 300 + 700 + 300);
    expect(remote.claimedAtMs.length).toBeGreaterThanOrEqual(1);
  });

  // Guards against probes of entries of another writer, which name no worker to use.
  it('is not kept back by workers of a service that the configuration does not name', async () => {
    const remote = new RemoteHost();
    remote.addLostWorkers(300, UNNAMED_SERVICE);
    await remote.advance(4000);
    expect(remote.claimedAtMs.length).toBeGreaterThanOrEqual(1);
  });

  // Guards against a claim for the sake of workers that this host could not use.
  it('is not made while only workers of such a service answer', async () => {
    const remote = new RemoteHost();
    remote.entries = [{ ...workerEntry('w0'), domain: 'bole', service: UNNAMED_SERVICE }];
    await remote.advance(6000);
    expect(remote.claimedAtMs).toEqual([]);
  });

  // Guards against a load on the workers that grows with the number of cells of their domain.
  it('shares its probes with the claims of the other cells of the domain', async () => {
    const remote = new RemoteHost(6);
    remote.addLostWorkers(30);
    remote.reachesWorkers = false;
    await remote.advance(4250);
    // 2 s with a probe of three workers each 250 ms.
    expect(remote.probes).toBeLessThanOrEqual(3 * 9);
  });
});
