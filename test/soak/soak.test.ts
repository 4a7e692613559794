/** A short seeded run of the soak, and every seed that ever broke a promise. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import { bundle, ROOT } from '../../scripts/bundle';
import { soak, type SoakOptions } from './soak';
import { DRAIN_SHAPE, LARGE_CONFIGURATION_SHAPE, WIDE_SHAPE, type SoakShape } from './soakShape';

const PROGRAM = ['--import', 'tsx', 'platform/main.ts'];
const WIDE_SEED = 201;
/** A machine that also runs other tests bears it. */
const FEWER_HOSTS: SoakShape = {
  ...WIDE_SHAPE,
  hostsPerDomain: 3,
  workersPerDomain: 6,
  cellsPerDomain: 2,
  jobsPerSecond: 3,
};

interface Regression extends Pick<SoakOptions, 'seed' | 'faults' | 'faultSeconds'> {
  readonly cause: string;
}

const REGRESSIONS: readonly Regression[] = [
  {
    seed: 3,
    faults: 10,
    faultSeconds: 12,
    cause:
      'a start taken by a worker that had just started anew was held to be over; a batch on a connection between hosts that went silent was not answered',
  },
];

describe('the soak', () => {
  it('breaks no promise under a few faults', async () => {
    const report = await soak({ seed: 1, faults: 4, faultSeconds: 3, program: PROGRAM });
    expect(report.broken).toEqual([]);
  });

  // Guards against tasks in a drained domain when its owner is lost, cut off, or can't reach the store.
  it('starts no task in a drained domain while hosts and the store fail', async () => {
    const options = { seed: 1, shape: DRAIN_SHAPE, faults: 8, faultSeconds: 8 };
    const report = await soak({ ...options, program: PROGRAM });
    expect(report.broken).toEqual([]);
  });

  // Guards against hosts that never have a large configuration over a slow link (issue 38).
  it('serves with a large configuration while hosts and the store fail', async () => {
    const options = { seed: 1, shape: LARGE_CONFIGURATION_SHAPE, faults: 4, faultSeconds: 3 };
    const report = await soak({ ...options, program: PROGRAM });
    expect(report.broken).toEqual([]);
  });

  describe('on a site with several cells a domain', () => {
    let folder = '';

    // Many hosts start at once, so that they must load fast.
    before(async () => {
      folder = await mkdtemp(join(tmpdir(), 'soak-program-'));
      await bundle(join(ROOT, 'platform/main.ts'), join(folder, 'dispatcher.cjs'), true);
    });

    after(() => rm(folder, { recursive: true }));

    // Guards against two runs of one task when hosts are lost together and jobs are divided over cells.
    it('runs no task twice at a time while hosts fail together', async () => {
      const report = await soak({
        seed: WIDE_SEED,
        shape: FEWER_HOSTS,
        faults: 6,
        faultSeconds: 5,
        program: [join(folder, 'dispatcher.cjs')],
      });
      expect(report.broken).toEqual([]);
    });
  });

  REGRESSIONS.forEach(({ seed, faults, faultSeconds, cause }) => {
    it(`breaks no promise on seed ${seed}: ${cause}`, async () => {
      const report = await soak({ seed, faults, faultSeconds, program: PROGRAM });
      expect(report.broken).toEqual([]);
    });
  });
});
