/** Starts on workers that do not guard their room, while their entries can't be read. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Cell } from '../../src/cells/cell';
import { CrashHistory } from '../../src/cells/crashHistory';
import { batchOf } from './cellSimulation';
import { OPTIONS } from './cellFixtures';
import { FIRST_PROCESS_START_MS, workerEntry } from './simulatedWorker';

const MAX_ENTRY_AGE_MS = 2850;
const UNGUARDED_SERVICE = 'unguarded';

/** A cell with one worker, whose entry was read at 0. */
class UnreadCell {
  readonly cell: Cell;

  readonly #service: string;

  #batches = 0;

  constructor(service: string) {
    this.#service = service;
    const guardsRoom = (name: string) => name !== UNGUARDED_SERVICE;
    const options = { ...OPTIONS, maxEntryAgeMs: MAX_ENTRY_AGE_MS, guardsRoom };
    this.cell = new Cell('sofia-a', options, new CrashHistory(() => 0, 120_000));
    this.read(0, 0);
    const report = { sentAtMs: 0, processStartMs: FIRST_PROCESS_START_MS, running: [], ended: [] };
    this.cell.report('w0', report, 0);
  }

  read(readAtMs: number, nowMs: number): void {
    const entries = [{ ...workerEntry('w0'), service: this.#service }];
    this.cell.setWorkers({ entries, readAtMs }, nowMs);
  }

  /** Offers a batch of one task; true if it is started at once. */
  starts(nowMs: number): boolean {
    this.#batches += 1;
    const batch = batchOf({ jobId: `${this.#batches}`, batchId: `b${this.#batches}` });
    this.cell.tick(nowMs);
    this.cell.takeActions();
    this.cell.offer({ ...batch, service: this.#service }, nowMs);
    return this.cell.takeActions().some(({ type }) => type === 'start');
  }

  /** Decisions that are logged by a tick. */
  decisionsAt(nowMs: number): readonly string[] {
    this.cell.tick(nowMs);
    return this.cell
      .takeActions()
      .flatMap((action) => (action.type === 'decision' ? [action.decision] : []));
  }
}

describe('a worker that does not guard its room', () => {
  // Guards against tasks on a worker whose capacity has shrunk since its entry was read, while the
  // directory does not answer.
  it('gets no task once its entry is too old, and again after it has been read', () => {
    const play = new UnreadCell(UNGUARDED_SERVICE);
    expect(play.starts(MAX_ENTRY_AGE_MS)).toEqual(true);
    expect(play.decisionsAt(MAX_ENTRY_AGE_MS + 1)).toEqual(['worker-entries-too-old']);
    expect(play.starts(MAX_ENTRY_AGE_MS + 2)).toEqual(false);
    play.read(MAX_ENTRY_AGE_MS, MAX_ENTRY_AGE_MS + 20);
    expect(play.starts(MAX_ENTRY_AGE_MS + 20)).toEqual(true);
  });

  // Guards against an owner that takes a list that it was told for one that it has just read.
  it('gets no task on an entry that was already too old when it came', () => {
    const play = new UnreadCell(UNGUARDED_SERVICE);
    play.read(1000, 1000 + MAX_ENTRY_AGE_MS + 1);
    expect(play.starts(1000 + MAX_ENTRY_AGE_MS + 1)).toEqual(false);
  });
});

describe('a worker that guards its room', () => {
  // Guards against a loss of service where a stale capacity does no harm.
  it('gets tasks however old its entry is', () => {
    const play = new UnreadCell(workerEntry('w0').service);
    expect(play.starts(100 * MAX_ENTRY_AGE_MS)).toEqual(true);
    expect(play.decisionsAt(100 * MAX_ENTRY_AGE_MS)).toEqual([]);
  });
});
