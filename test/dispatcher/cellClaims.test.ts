/** Claims of several cells by one host, and of the cells of another domain. */
import { describe, it } from 'node:test';
import { setImmediate as settled } from 'node:timers/promises';
import { expect } from 'earl';
import { Ok } from 'ts-results';
import { CellClaims } from '../../src/dispatcher/cellClaims';
import { CellLayout } from '../../src/dispatcher/cellLayout';
import type { HostIdentity } from '../../src/dispatcher/cellRecord';
import { OwnerHealth } from '../../src/dispatcher/claimPolicy';
import type { Platform, RecordStore } from '../../src/dispatcher/platform';
import { CellRegistry } from '../../src/dispatcher/cellRegistry';
import { workerEntry } from '../cells/simulatedWorker';

const JOURNAL = { logDecision: () => {} };
const LONG_MS = 10_000;
const TICK_MS = 25;

function host(hostId: string, domain = 'bole'): HostIdentity {
  return { hostId, incarnation: '1', domain, address: `${hostId}:1`, cores: 1 };
}

/** Keys that a host claims of a domain of which another host owns all cells; no claim is answered. */
function claimedKeys(cells: number): readonly string[] {
  const keys: string[] = [];
  const store: RecordStore = {
    list: async () => Ok([]),
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
  });
  const layout = new CellLayout(['bole'], cells);
  layout.cells.forEach((cell) => {
    records.merge({ cell, owner: host('bole-2'), token: 1000 }, 'test');
  });
  const claims = new CellClaims({
    self,
    platform: { store } as Platform,
    records,
    random: { next: () => 0.5 },
    clock: { nowMs: () => 0 },
    journal: JOURNAL,
    healthOf: () => OwnerHealth.serving,
    ask: () => {},
  });
  for (let nowMs = 0; nowMs < LONG_MS; nowMs += TICK_MS) claims.claimDue(layout, nowMs);
  return keys;
}

describe('the relief of an owner of several cells', () => {
  it('takes one of two cells, not both, or the two hosts would take them back and forth', () => {
    expect(claimedKeys(2).length).toEqual(1);
  });

  it('takes no more of six cells than the owner keeps: a third one would not relieve it by half', () => {
    expect(claimedKeys(6).length).toEqual(2);
  });

  it('leaves a single cell where it is', () => {
    expect(claimedKeys(1)).toEqual([]);
  });
});

/** A host of another domain, which sees the owner of a cell as gone, and the workers of its domain or not. */
class Remote {
  readonly claimedAtMs: number[] = [];

  reachesWorkers = true;

  health: OwnerHealth = OwnerHealth.gone;

  answersWhenAsked = false;

  #nowMs = 0;

  readonly #claims: CellClaims;

  readonly #layout = new CellLayout(['bole'], 1);

  constructor() {
    const store: RecordStore = {
      list: async () => Ok([]),
      swap: () => {
        this.claimedAtMs.push(this.#nowMs);
        return new Promise(() => {});
      },
      watch: () => ({ close: () => {} }),
      close: async () => {},
    };
    const self = host('piassa-1', 'piassa');
    const ignored = { journal: JOURNAL, onOwner: () => {}, onLayout: () => {} };
    const records = new CellRegistry({ self, store, ...ignored });
    records.merge({ cell: 'bole', owner: host('bole-2'), token: 1000 }, 'test');
    const listed = {
      type: 'listed',
      clockMs: 0,
      processStartMs: 1,
      running: [],
      ended: [],
    } as const;
    const silent = { type: 'silent', error: 'timed out' } as const;
    const renew = async () => (this.reachesWorkers ? listed : silent);
    const workers = { list: async () => Ok([{ ...workerEntry('w0'), domain: 'bole' }]) };
    this.#claims = new CellClaims({
      self,
      platform: { store, workers, workerClient: { renew } } as unknown as Platform,
      records,
      random: { next: () => 0.5 },
      clock: { nowMs: () => this.#nowMs },
      journal: JOURNAL,
      healthOf: () => this.health,
      ask: () => {
        if (this.answersWhenAsked) this.health = OwnerHealth.serving;
      },
    });
  }

  async advance(durationMs: number): Promise<void> {
    const untilMs = this.#nowMs + durationMs;
    while (this.#nowMs < untilMs) {
      this.#nowMs += TICK_MS;
      this.#claims.claimDue(this.#layout, this.#nowMs);
      // eslint-disable-next-line no-await-in-loop -- answers come before time goes on
      await settled();
    }
  }
}

describe('a claim of a cell of another domain', () => {
  it('is made when its workers have been reached for 700 ms and its owner has not answered', async () => {
    const remote = new Remote();
    await remote.advance(4000);
    // The head start of the domain's own hosts, and half of the spread.
    const [firstMs = 0] = remote.claimedAtMs;
    expect(firstMs).toBeGreaterThanOrEqual(2250 + 700);
    expect(firstMs).toBeLessThanOrEqual(2250 + 700 + 300);
  });

  // Guards against cells that all change hands when a cut ends: workers answer before their owner is asked.
  it('is not made when a cut ends and the owner answers soon after the workers', async () => {
    const remote = new Remote();
    remote.reachesWorkers = false;
    await remote.advance(6000);
    remote.reachesWorkers = true;
    remote.answersWhenAsked = true;
    await remote.advance(2000);
    expect(remote.claimedAtMs).toEqual([]);
    expect(remote.health).toEqual(OwnerHealth.serving);
  });

  // Guards against a reach before the cut that counts when it ends.
  it('counts the time of the reach anew after each probe without an answer', async () => {
    const remote = new Remote();
    await remote.advance(2700);
    remote.reachesWorkers = false;
    await remote.advance(500);
    remote.reachesWorkers = true;
    await remote.advance(600);
    expect(remote.claimedAtMs).toEqual([]);
    await remote.advance(600);
    expect(remote.claimedAtMs.length).toEqual(1);
  });
});
