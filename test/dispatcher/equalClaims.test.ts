/** Claims that hosts of a domain make without the store, and claims with equal tokens. */
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
} from '../../src/dispatcher/cellRecord';
import { OwnedCells } from '../../src/dispatcher/ownedCells';
import type { RecordStore } from '../../src/dispatcher/platform';
import { CellRegistry } from '../../src/dispatcher/cellRegistry';
import { StoreErrorCode, type Change, type SwapOutcome } from '../../src/store/store';

const CELL = 'bole-1';
const JOURNAL = { logDecision: () => {} };
const OPTIONS = {
  leaseMs: 1000,
  submitterTimeoutMs: 1300,
  abandonDetectionMs: 1000,
  missingGraceMs: 2500,
  renewWaitMs: 120,
};

function host(place: number, incarnation = '1'): HostIdentity {
  const hostId = `bole-${1000 + place}`;
  return { hostId, incarnation, domain: 'bole', address: `${hostId}:1`, cores: 1 };
}

/** Owner before the claims; the hosts don't count it among those of the domain. */
const OTHER = host(1000);

/** A host's records, from a store that tells of changes and takes none unless it is asked to. */
class KeeperWorld {
  readonly keeper: CellRegistry;

  readonly owned: OwnedCells;

  /** Values that the host has written. */
  readonly written: string[] = [];

  #isUp = false;

  #revision = 1;

  #onChange: ((change: Change) => void) | null = null;

  constructor(self: HostIdentity, known: readonly HostIdentity[]) {
    this.owned = new OwnedCells({
      workerClient: { close: async () => {}, disconnect: () => {} } as never,
      options: OPTIONS,
      clock: { nowMs: () => 0, timeOfDayMs: () => 0 },
      journal: JOURNAL,
    });
    this.keeper = new CellRegistry({
      self,
      store: this.#store(),
      journal: JOURNAL,
      onOwner: (record) => {
        this.owned.releaseOlder(record);
        if (record.owner === self) this.owned.add(record, []);
      },
      onLayout: () => {},
    });
    this.keeper.open();
    known.forEach((identity) => this.tell(hostKey(identity.hostId), encodeHost(identity)));
  }

  /** The store tells of a change. */
  tell(key: string, value: string): void {
    this.#revision += 1;
    this.#onChange?.({ key, entry: { key, value, modRevision: this.#revision } });
  }

  storeBack(): void {
    this.#isUp = true;
  }

  /** The host claims the cell when it knows this token; returns the token of the claim. */
  claim(knownToken: number): number {
    this.keeper.merge({ cell: CELL, owner: OTHER, token: knownToken }, 'test');
    this.keeper.claimAlone(CELL);
    return this.keeper.get(CELL)?.token ?? 0;
  }

  record(): CellRecord {
    const record = this.keeper.get(CELL);
    if (!record) throw new Error('no record');
    return record;
  }

  close(): void {
    this.owned.close();
    this.keeper.close();
  }

  #store(): RecordStore {
    return {
      list: async () => Ok([]),
      swap: async (key, value) => {
        if (!this.#isUp) return Err({ code: StoreErrorCode.unavailable, message: 'down' });
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

/** Claim of the host with this place among `count` hosts of the domain that know each other. */
function claimOf(place: number, count: number, knownToken: number): number {
  const hosts = Array.from({ length: count }, (_, index) => host(index));
  const world = new KeeperWorld(host(place), hosts);
  const token = world.claim(knownToken);
  world.close();
  return token;
}

/** What a host of the version before claims. */
function earlierClaimOf(place: number, knownToken: number): number {
  return knownToken + place + 1;
}

const KNOWN = [3000, 3001, 3002, 3003, 3005, 3008, 3010, 3500];

describe('claims without the store', () => {
  // A knows 3002 with rank 0, C knows 3000 with rank 2: both claimed 3003 and kept the cell.
  it('have different tokens, whatever tokens the hosts know', () => {
    [2, 3, 7].forEach((count) => {
      const claims = Array.from({ length: count }, (_, place) =>
        KNOWN.map((known) => claimOf(place, count, known)),
      );
      claims.forEach((mine, place) => {
        const others = claims.filter((_, other) => other !== place).flat();
        expect(mine.filter((token) => others.includes(token))).toEqual([]);
      });
    });
  });

  // Workers and hosts obey the higher token: a claim that is not above changes nothing.
  it('are above what is known, and below the next claim in the store', () => {
    [1, 2, 3, 7, 300].forEach((count) => {
      [0, 1, count - 1]
        .filter((place) => place < count)
        .forEach((place) => {
          [1000, 1001, 1002, 1005, 1298, 1650].forEach((known) => {
            const token = claimOf(place, count, known);
            expect(token).toBeGreaterThan(known);
            expect(token).toBeLessThan(2000);
          });
        });
    });
  });

  // A token of the next step would tie with, or outdo, a claim in the store.
  it('are not made where no token is left below the next claim in the store', () => {
    [1, 2, 7].forEach((count) => expect(claimOf(0, count, 1999)).toEqual(1999));
    expect(claimOf(1, 300, 1902)).toEqual(1902);
  });

  // A domain of some hundreds of hosts would run out of tokens before the store is back.
  it('leave three of 300 hosts in any order room to claim after one another', () => {
    const first = claimOf(299, 300, 1000);
    const second = claimOf(298, 300, first);
    const third = claimOf(297, 300, second);
    expect([first < second, second < third, third < 1000 + TOKEN_STEP]).toEqual([true, true, true]);
  });

  // During a rolling upgrade a host of either version takes over from one of the other.
  it('rise with those of hosts of the version before, and differ after a claim in the store', () => {
    const mine = [0, 1, 2].map((place) => claimOf(place, 3, 1000));
    const theirs = [0, 1, 2].map((place) => earlierClaimOf(place, 1000));
    expect(mine).toEqual(theirs);
    let known = 1000;
    for (let turn = 0; turn < 30; turn += 1) {
      const place = turn % 3;
      const next = turn % 2 === 0 ? claimOf(place, 3, known) : earlierClaimOf(place, known);
      expect(next).toBeGreaterThan(known);
      expect(next).toBeLessThan(2000);
      known = next;
    }
  });
});

describe('two claims with equal tokens by hosts that disagree on their ranks', () => {
  /** Both hosts take themselves for the first of the domain. */
  function claims(): { readonly low: KeeperWorld; readonly high: KeeperWorld } {
    const low = new KeeperWorld(host(1), []);
    const high = new KeeperWorld(host(2), []);
    expect([low.claim(3000), high.claim(3000)]).toEqual([3001, 3001]);
    return { low, high };
  }

  // Each stopped the other's runs and acknowledged the other's ends until the next claim in the store.
  it('leave the cell to one of them, whoever hears first; the other releases it', () => {
    [true, false].forEach((lowFirst) => {
      const { low, high } = claims();
      expect(low.keeper.digest).not.toEqual(high.keeper.digest);
      const [lowClaim, highClaim] = [low.record(), high.record()];
      if (lowFirst) low.keeper.merge(highClaim, 'b');
      high.keeper.merge(lowClaim, 'a');
      low.keeper.merge(highClaim, 'b');
      expect([low.record().owner, high.record().owner]).toEqual([host(1), host(1)]);
      expect(low.keeper.digest).toEqual(high.keeper.digest);
      expect([low.owned.get(CELL) !== null, high.owned.get(CELL)]).toEqual([true, null]);
      low.close();
      high.close();
    });
  });

  // Hosts that start later would learn the owner that has released the cell from the store.
  it('end with the remaining owner in the store, also if the other was written first', async () => {
    const { low, high } = claims();
    low.storeBack();
    low.tell(cellKey(CELL), encodeRecord(high.record()));
    expect(low.record().owner).toEqual(host(1));
    expect(low.keeper.isUnwritten(low.record())).toEqual(true);
    await low.keeper.write(low.record());
    expect(low.written).toEqual([encodeRecord(low.record())]);
    expect(low.keeper.isUnwritten(low.record())).toEqual(false);
    low.close();
    high.close();
  });
});
