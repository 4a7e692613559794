/** Conditions and delays of claims. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { CellRecord, HostIdentity } from '../../src/dispatcher/ownership/cellRecord';
import { ClaimPolicy, OwnerHealth } from '../../src/dispatcher/ownership/claimPolicy';

function host(hostId: string, domain: string, incarnation = '1', cores = 1): HostIdentity {
  return { hostId, incarnation, domain, address: `10.0.0.1:${hostId.length}`, cores };
}

function record(owner: HostIdentity): CellRecord {
  return { cell: 'bole', owner, token: 1000 };
}

const RANDOM = { next: () => 0.5 };
const SELF = host('bole-1', 'bole');
const LIMIT_MS = 10_000;

/** Time until the first claim, checked every 10 ms; null if there is none within ten seconds. */
function claimAfterMs(
  self: HostIdentity,
  known: CellRecord | null,
  health: OwnerHealth,
  { ownCells = 0, ownerCells = 1, maxCores = 1 } = {},
): number | null {
  const view = { cell: 'bole', domain: 'bole', record: known, health, ownerCells };
  const room = { cells: ownCells, maxCores };
  const ownership = new ClaimPolicy(self, RANDOM, 0);
  for (let nowMs = 0; nowMs <= LIMIT_MS; nowMs += 10) {
    if (ownership.shouldClaim(view, room, nowMs)) return nowMs;
  }
  return null;
}

describe('claims of a cell', () => {
  const other = record(host('bole-2', 'bole'));

  it('does not claim a cell whose owner is serving or not known to be gone', () => {
    expect(claimAfterMs(SELF, other, OwnerHealth.serving)).toEqual(null);
    expect(claimAfterMs(SELF, other, OwnerHealth.unknown)).toEqual(null);
  });

  it('claims a vacant cell of its own domain within 60 ms', () => {
    [OwnerHealth.gone, OwnerHealth.leaving].forEach((health) => {
      expect(claimAfterMs(SELF, other, health) ?? Infinity).toBeLessThanOrEqual(60);
    });
    expect(claimAfterMs(SELF, null, OwnerHealth.unknown) ?? Infinity).toBeLessThanOrEqual(60);
  });

  it('waits two seconds before it claims a cell of another domain', () => {
    const far = host('piassa-1', 'piassa');
    expect(claimAfterMs(far, other, OwnerHealth.gone) ?? 0).toBeGreaterThanOrEqual(2000);
  });

  it('takes a cell over from a host of another domain, but not right after its start', () => {
    const foreign = record(host('piassa-1', 'piassa'));
    expect(claimAfterMs(SELF, foreign, OwnerHealth.serving) ?? 0).toBeGreaterThanOrEqual(3000);
  });

  it('delays a claim if the host has fewer cores than others or already owns cells', () => {
    const { gone } = OwnerHealth;
    const first = claimAfterMs(SELF, other, gone) ?? Infinity;
    const weak = claimAfterMs(SELF, other, gone, { maxCores: 4 }) ?? Infinity;
    const loaded = claimAfterMs(SELF, other, gone, { ownCells: 2 }) ?? Infinity;
    expect(weak - first).toEqual(230);
    expect(loaded - first).toEqual(240);
  });

  it('takes a cell over from an owner whose load is much higher than its own would be', () => {
    const { serving } = OwnerHealth;
    const small = record(host('bole-2', 'bole', '1', 0.3));
    const relief = claimAfterMs(SELF, small, serving, { maxCores: 1 });
    expect(relief ?? 0).toBeGreaterThanOrEqual(3000);
    expect(claimAfterMs(SELF, small, serving, { ownCells: 2 })).toEqual(null);
    expect(claimAfterMs(SELF, other, serving, { ownerCells: 2 })).not.toEqual(null);
    expect(claimAfterMs(SELF, other, serving, { ownerCells: 1 })).toEqual(null);
  });

  it('does not move cells between equal hosts whose loads differ by one cell', () => {
    const { serving } = OwnerHealth;
    [1, 2, 3, 4].forEach((cells) => {
      const options = { ownCells: cells, ownerCells: cells + 1 };
      expect(claimAfterMs(SELF, other, serving, options)).toEqual(null);
    });
  });

  // Guards against cells that stay without an owner for the delays of a takeover after all hosts were
  // lost together: the host that owned a cell knows at its start that the owner is gone.
  it('claims a cell that an earlier process of the same host owned at once', () => {
    const earlier = record(host('bole-1', 'bole', '0'));
    const weakAndLoaded = { maxCores: 4, ownCells: 2 };
    expect(claimAfterMs(SELF, earlier, OwnerHealth.gone, weakAndLoaded)).toEqual(0);
  });

  it('does not claim a cell that it owns', () => {
    expect(claimAfterMs(SELF, record(SELF), OwnerHealth.gone)).toEqual(null);
  });
});
