/**
 * Claims that hosts of a domain make without the store, and conflicts of claims with equal tokens.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Err, Ok } from 'ts-results';
import {
  cellKey,
  encodeHost,
  encodeRecord,
  hostKey,
  TOKEN_STEP,
  type CellRecord,
  type HostIdentity,
} from '../../src/dispatcher/ownership/cellRecord';
import { CrashHistory } from '../../src/cells/crashHistory';
import { OwnedCells } from '../../src/dispatcher/ownership/ownedCells';
import type { RecordStore } from '../../src/dispatcher/platform';
import { CellRegistry } from '../../src/dispatcher/ownership/cellRegistry';
import { StoreErrorCode, type Change, type SwapOutcome } from '../../src/store/store';

const CELL = 'bole-1';
const JOURNAL = { logDecision: () => {} };
const OPTIONS = {
  leaseMs: 1000,
  submitterTimeoutMs: 1300,
  abandonDetectionMs: 1000,
  missingGraceMs: 2500,
  maxEntryAgeMs: 3000,
  renewWaitMs: 120,
};

function host(rank: number, incarnation = '1'): HostIdentity {
  const hostId = `bole-${1000 + rank}`;
  return { hostId, incarnation, domain: 'bole', address: `${hostId}:1`, cores: 1 };
}

/** Owner before the claims; not registered, so it does not affect the ranks. */
const PREVIOUS_OWNER = host(1000);

/**
 * Registry of one host, with a store that reports changes and fails writes until it is restored.
 */
class RegistrySimulation {
  readonly registry: CellRegistry;

  readonly owned: OwnedCells;

  /** Values that the host has written. */
  readonly written: string[] = [];

  #isStoreAvailable = false;

  #revision = 1;

  #onChange: ((change: Change) => void) | null = null;

  constructor(self: HostIdentity, known: readonly HostIdentity[]) {
    this.owned = new OwnedCells({
      isDrained: () => false,
      workerClient: { close: async () => {}, disconnect: () => {} } as never,
      options: OPTIONS,
      crashes: new CrashHistory(() => 0, 120_000),
      guardsRoom: () => true,
      clock: { nowMs: () => 0, timeOfDayMs: () => 0 },
      journal: JOURNAL,
      onOutdatedEntry: () => {},
    });
    this.registry = new CellRegistry({
      self,
      store: this.#store(),
      journal: JOURNAL,
      onOwner: (record) => {
        this.owned.releaseSuperseded(record);
        if (record.owner === self) this.owned.add(record, { entries: [], readAtMs: 0 });
      },
      onLayout: () => {},
      onCrashes: () => {},
    });
    this.registry.open();
    known.forEach((identity) => this.emitChange(hostKey(identity.hostId), encodeHost(identity)));
  }

  /** Lets the store report a change. */
  emitChange(key: string, value: string): void {
    this.#revision += 1;
    this.#onChange?.({ key, entry: { key, value, modRevision: this.#revision } });
  }

  restoreStore(): void {
    this.#isStoreAvailable = true;
  }

  /** Claims the cell for the host when it knows the given token; returns the token of the claim. */
  claim(knownToken: number): number {
    this.registry.merge({ cell: CELL, owner: PREVIOUS_OWNER, token: knownToken }, 'test');
    this.registry.claimWithoutStore(CELL);
    return this.registry.get(CELL)?.token ?? 0;
  }

  record(): CellRecord {
    const record = this.registry.get(CELL);
    if (!record) throw new Error('no record');
    return record;
  }

  close(): void {
    this.owned.close();
    this.registry.close();
  }

  #store(): RecordStore {
    return {
      swap: async (key, value) => {
        if (!this.#isStoreAvailable)
          return Err({ code: StoreErrorCode.unavailable, message: 'down' });
        this.written.push(value);
        this.#revision += 1;
        const current = { key, value, modRevision: this.#revision };
        return Ok<SwapOutcome>({ applied: true, current });
      },
      watch: (_, onChange) => {
        this.#onChange = onChange;
        return { close: () => {} };
      },
      close: async () => {},
    };
  }
}

/** Token claimed by the host with the given rank among `count` hosts that know each other. */
function claimOf(rank: number, count: number, knownToken: number): number {
  const hosts = Array.from({ length: count }, (_, index) => host(index));
  const simulation = new RegistrySimulation(host(rank), hosts);
  const token = simulation.claim(knownToken);
  simulation.close();
  return token;
}

/** Token claimed by a host of the previous version. */
function previousVersionClaimOf(rank: number, knownToken: number): number {
  return knownToken + rank + 1;
}

const KNOWN = [3000, 3001, 3002, 3003, 3005, 3008, 3010, 3500];

describe('claims without the store', () => {
  // Guards against equal tokens: a host of rank 0 that knew 3002 and one of rank 2 that knew 3000
  // both claimed 3003 and kept the cell.
  it('have different tokens, whichever tokens the hosts know', () => {
    [2, 3, 7].forEach((count) => {
      const claims = Array.from({ length: count }, (_, rank) =>
        KNOWN.map((known) => claimOf(rank, count, known)),
      );
      claims.forEach((mine, rank) => {
        const others = claims.filter((_, other) => other !== rank).flat();
        expect(mine.filter((token) => others.includes(token))).toEqual([]);
      });
    });
  });

  // Workers and hosts accept only higher tokens, so a claim without one would have no effect.
  it('have tokens above the known one and below that of the next claim in the store', () => {
    [1, 2, 3, 7, 300].forEach((count) => {
      [0, 1, count - 1]
        .filter((rank) => rank < count)
        .forEach((rank) => {
          [1000, 1001, 1002, 1005, 1298, 1650].forEach((known) => {
            const token = claimOf(rank, count, known);
            expect(token).toBeGreaterThan(known);
            expect(token).toBeLessThan(2000);
          });
        });
    });
  });

  // Guards against a token that equals or exceeds that of a claim in the store.
  it('are not made if no token is left below that of the next claim in the store', () => {
    [1, 2, 7].forEach((count) => expect(claimOf(0, count, 1999)).toEqual(1999));
    expect(claimOf(1, 300, 1902)).toEqual(1902);
  });

  // Guards against running out of tokens in a domain of several hundred hosts.
  it('leave tokens for three successive claims in a domain of 300 hosts', () => {
    const first = claimOf(299, 300, 1000);
    const second = claimOf(298, 300, first);
    const third = claimOf(297, 300, second);
    expect([first < second, second < third, third < 1000 + TOKEN_STEP]).toEqual([true, true, true]);
  });

  // During a rolling upgrade, hosts of both versions take cells over from each other.
  it('have increasing tokens also if mixed with claims of the previous version', () => {
    const mine = [0, 1, 2].map((rank) => claimOf(rank, 3, 1000));
    const theirs = [0, 1, 2].map((rank) => previousVersionClaimOf(rank, 1000));
    expect(mine).toEqual(theirs);
    let known = 1000;
    for (let turn = 0; turn < 30; turn += 1) {
      const rank = turn % 3;
      const next = turn % 2 === 0 ? claimOf(rank, 3, known) : previousVersionClaimOf(rank, known);
      expect(next).toBeGreaterThan(known);
      expect(next).toBeLessThan(2000);
      known = next;
    }
  });
});

describe('two claims with equal tokens by hosts that computed the same rank', () => {
  /** Claims of two hosts that do not know each other, so that both compute rank 0. */
  function claims(): { readonly low: RegistrySimulation; readonly high: RegistrySimulation } {
    const low = new RegistrySimulation(host(1), []);
    const high = new RegistrySimulation(host(2), []);
    expect([low.claim(3000), high.claim(3000)]).toEqual([3001, 3001]);
    return { low, high };
  }

  // Guards against two owners of the cell, which stopped each other's runs and acknowledged each
  // other's ended runs until the next claim in the store.
  it('leave the cell to the same host in either order of arrival; the other releases it', () => {
    [true, false].forEach((isLowFirst) => {
      const { low, high } = claims();
      expect(low.registry.digest).not.toEqual(high.registry.digest);
      const [lowClaim, highClaim] = [low.record(), high.record()];
      if (isLowFirst) low.registry.merge(highClaim, 'b');
      high.registry.merge(lowClaim, 'a');
      low.registry.merge(highClaim, 'b');
      expect([low.record().owner, high.record().owner]).toEqual([host(1), host(1)]);
      expect(low.registry.digest).toEqual(high.registry.digest);
      expect([low.owned.get(CELL) !== null, high.owned.get(CELL)]).toEqual([true, null]);
      low.close();
      high.close();
    });
  });

  // Guards against hosts that start later and read the owner that has released the cell.
  it('store the remaining owner even if the other one was written first', async () => {
    const { low, high } = claims();
    low.restoreStore();
    low.emitChange(cellKey(CELL), encodeRecord(high.record()));
    expect(low.record().owner).toEqual(host(1));
    expect(low.registry.isUnwritten(low.record())).toEqual(true);
    await low.registry.write(low.record());
    expect(low.written).toEqual([encodeRecord(low.record())]);
    expect(low.registry.isUnwritten(low.record())).toEqual(false);
    low.close();
    high.close();
  });
});
