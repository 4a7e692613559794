/** When the directory of workers is read. */
import { describe, it } from 'node:test';
import { setImmediate as settled } from 'node:timers/promises';
import { expect } from 'earl';
import { Ok, type Result } from 'ts-results';
import type { WorkerEntry } from '../../src/cells/worker';
import { WorkerLists } from '../../src/dispatcher/ownership/workerLists';
import type { StoreError } from '../../src/store/store';

const PERIOD_MS = 500;

/** Lists whose reads the test answers. */
class ListReads {
  readonly lists: WorkerLists;

  /** Reads begun, and those of them that have no answer. */
  count = 0;

  readonly #pending: ((answer: Result<readonly WorkerEntry[], StoreError>) => void)[] = [];

  constructor() {
    this.lists = new WorkerLists({
      directory: {
        list: () =>
          new Promise((resolve) => {
            this.count += 1;
            this.#pending.push(resolve);
          }),
      },
      periodMs: PERIOD_MS,
      onList: () => {},
      onDirectoryResult: () => {},
      clock: { nowMs: () => 0 },
      journal: { logDecision: () => {} },
      ownedDomains: () => [],
    });
  }

  async answer(): Promise<void> {
    this.#pending.splice(0).forEach((resolve) => resolve(Ok([])));
    await settled();
  }

  /** Refreshes at each of these times; returns the number of reads begun so far. */
  refreshAt(...timesMs: readonly number[]): number {
    timesMs.forEach((nowMs) => this.lists.refresh(nowMs));
    return this.count;
  }
}

describe('the list of workers', () => {
  it('is read once in each period', async () => {
    const reads = new ListReads();
    expect(reads.refreshAt(0, 50)).toEqual(1);
    await reads.answer();
    expect(reads.refreshAt(100, 499)).toEqual(1);
    expect(reads.refreshAt(500)).toEqual(2);
  });

  // Guards against a restarted worker that is not used for a whole period although it has written
  // its entry.
  it('is read again soon, and only once, if it is known to be out of date', async () => {
    const reads = new ListReads();
    reads.refreshAt(0);
    await reads.answer();
    reads.lists.markOutdated();
    reads.lists.markOutdated();
    expect(reads.refreshAt(50)).toEqual(1);
    expect(reads.refreshAt(100)).toEqual(2);
    await reads.answer();
    expect(reads.refreshAt(200, 300, 599)).toEqual(2);
  });

  // Guards against a read that began before the change and is taken for the one after it.
  it('is read again after a read that was in progress when it was found out of date', async () => {
    const reads = new ListReads();
    reads.refreshAt(0);
    reads.lists.markOutdated();
    expect(reads.refreshAt(100)).toEqual(1);
    await reads.answer();
    expect(reads.refreshAt(200)).toEqual(2);
  });

  // Guards against a store that is read without pause while workers restart again and again.
  it('is not read more often than every 100 ms', async () => {
    const reads = new ListReads();
    for (let nowMs = 0; nowMs < 1000; nowMs += 10) {
      reads.lists.markOutdated();
      reads.lists.refresh(nowMs);
      // eslint-disable-next-line no-await-in-loop -- answers one read after the other
      await reads.answer();
    }
    expect(reads.count).toEqual(10);
  });
});
