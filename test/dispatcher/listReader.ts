/** A host that reads lists of workers from a directory, or is turned away by it. */
import { setImmediate as settled } from 'node:timers/promises';
import { Err, Ok } from 'ts-results';
import type { WorkerEntry } from '../../src/cells/worker';
import { WorkerLists, type ToldList } from '../../src/dispatcher/ownership/workerLists';
import { StoreErrorCode } from '../../src/store/store';

export const DOMAIN = 'sofia-a';
export const PERIOD_MS = 500;
const UNAVAILABLE = Err({ code: StoreErrorCode.unavailable, message: 'turned away' });

/** What the directory holds, for all hosts. */
export interface DirectoryContent {
  entries: readonly WorkerEntry[];
}

/** One host with a clock of its own. */
export class ListReader {
  nowMs: number;

  isTurnedAway = false;

  reads = 0;

  /** Number of lists passed to the cells. */
  passed = 0;

  readonly lists: WorkerLists;

  constructor(directory: DirectoryContent, startMs: number, isOwner = true) {
    this.nowMs = startMs;
    this.lists = new WorkerLists({
      directory: {
        list: async () => {
          this.reads += 1;
          return this.isTurnedAway ? UNAVAILABLE : Ok(directory.entries);
        },
      },
      periodMs: PERIOD_MS,
      clock: { nowMs: () => this.nowMs },
      journal: { logDecision: () => {} },
      ownedDomains: () => (isOwner ? [DOMAIN] : []),
      onList: () => {
        this.passed += 1;
      },
      onDirectoryResult: () => {},
    });
  }

  async read(): Promise<void> {
    this.lists.refresh(this.nowMs);
    await settled();
  }

  get capacity(): number | undefined {
    return this.lists.of(DOMAIN)[0]?.cpuMillis;
  }

  /** Time since the directory was read for the list, as the host knows it. */
  get ageMs(): number {
    return this.nowMs - this.lists.readAtMs(DOMAIN);
  }

  /** Asks another host for the lists that this one wants, as sent over the wire. */
  async ask(other: ListReader): Promise<readonly ToldList[]> {
    const askedAtMs = this.nowMs;
    const wanted = JSON.parse(JSON.stringify(this.lists.wanted(askedAtMs))) as never;
    const told = JSON.stringify(other.lists.laterThan(wanted, other.nowMs));
    this.lists.learn(JSON.parse(told) as readonly ToldList[], 'other', askedAtMs);
    await settled();
    return JSON.parse(told) as readonly ToldList[];
  }
}
