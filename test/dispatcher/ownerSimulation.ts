/**
 * Simulation of a cell owner with its sessions and leased workers, in virtual time. The workers'
 * clocks run at the same rate as the owner's.
 */
import { setImmediate as settled } from 'node:timers/promises';
import type { TestContext } from 'node:test';
import { StartAnswer } from '../../src/cells/actions';
import { CrashHistory } from '../../src/cells/crashHistory';
import { CellOwner } from '../../src/dispatcher/ownership/cellOwner';
import type { DispatchJournal } from '../../src/dispatcher/journal';
import {
  StopAnswer,
  type RenewAnswer,
  type RenewRequest,
  type StartRequest,
  type StopRequest,
  type WorkerClient,
  type WorkerTarget,
} from '../../src/dispatcher/ownership/workerClient';
import { workerEntry } from '../cells/simulatedWorker';
import { sleep, type LeasedWorker } from './leasedWorker';
import { FakeMachineClock } from './machineClock';

/** Time after which the client treats a request as unanswered. */
const REQUEST_TIMEOUT_MS = 120;
/** Period in which the owner reads the list of workers. */
const LIST_PERIOD_MS = 500;

/** Owner of a cell with the given workers; `advance` runs virtual time. */
export class OwnerSimulation implements WorkerClient {
  owner: CellOwner;

  readonly workers: readonly LeasedWorker[];

  readonly decisions: string[] = [];

  /** Lost workers, as both owners know them. */
  readonly crashes = new CrashHistory(() => this.#nowMs, 120_000);

  /** Tasks that were running twice at the same time, and since when. */
  readonly overlaps: string[] = [];

  #overlapping = new Set<string>();

  readonly #timers: TestContext['mock']['timers'];

  readonly #clock: FakeMachineClock;

  #nowMs: number;

  constructor(context: TestContext, workers: readonly LeasedWorker[], nowMs = 0) {
    this.#nowMs = nowMs;
    this.#clock = new FakeMachineClock(0, 700_000, () => this.#nowMs);
    this.#timers = context.mock.timers;
    this.#timers.enable({ apis: ['setInterval', 'setTimeout'] });
    this.workers = workers;
    this.owner = this.#takeOver();
  }

  get nowMs(): number {
    return this.#nowMs;
  }

  /** Lets another owner take the cell over. */
  changeOwner(): void {
    this.owner.close();
    this.owner = this.#takeOver();
  }

  async advance(durationMs: number): Promise<void> {
    const untilMs = this.#nowMs + durationMs;
    while (this.#nowMs < untilMs) {
      this.#nowMs += 1;
      this.workers.forEach((worker) => worker.step(this.#nowMs));
      this.#timers.tick(1);
      if (this.#nowMs % LIST_PERIOD_MS === 0) this.#readEntries(this.owner);
      // eslint-disable-next-line no-await-in-loop -- delivers answers before time advances
      await settled();
      this.#recordOverlaps();
    }
  }

  /** Pauses the owner's process while its workers continue. */
  pause(durationMs: number): void {
    const untilMs = this.#nowMs + durationMs;
    while (this.#nowMs < untilMs) {
      this.#nowMs += 1;
      this.workers.forEach((worker) => worker.step(this.#nowMs));
    }
  }

  /** Suspends the owner's machine: its steady clock does not advance. */
  suspend(durationMs: number): void {
    this.#clock.suspend(durationMs);
  }

  async start(target: WorkerTarget, request: StartRequest): Promise<StartAnswer> {
    const worker = this.#worker(target);
    if (worker.silent) {
      await sleep(REQUEST_TIMEOUT_MS);
      return StartAnswer.unclear;
    }
    const lateMs = worker.startDelaysMs.shift();
    if (lateMs === undefined) return worker.start(request);
    setTimeout(() => worker.start(request), lateMs);
    await sleep(REQUEST_TIMEOUT_MS);
    return StartAnswer.unclear;
  }

  async stop(target: WorkerTarget, request: StopRequest): Promise<StopAnswer> {
    const worker = this.#worker(target);
    if (worker.silent || worker.lostStops > 0) {
      worker.lostStops -= 1;
      await sleep(REQUEST_TIMEOUT_MS);
      return StopAnswer.unclear;
    }
    worker.stop(request);
    return StopAnswer.confirmed;
  }

  async renew(target: WorkerTarget, request: RenewRequest): Promise<RenewAnswer> {
    const worker = this.#worker(target);
    const isLost = worker.silent || worker.lostRenewals > 0;
    worker.lostRenewals = Math.max(0, worker.lostRenewals - 1);
    if (!isLost) return worker.renew(request);
    await sleep(request.waitMs + REQUEST_TIMEOUT_MS);
    return { type: 'silent', error: 'timed out' };
  }

  disconnect(): void {
    this.decisions.push('forgotten');
  }

  async close(): Promise<void> {
    this.owner.close();
    this.#timers.reset();
  }

  #takeOver(): CellOwner {
    const journal: DispatchJournal = { logDecision: (decision) => this.decisions.push(decision) };
    const owner = new CellOwner({
      drained: false,
      cell: 'sofia-a',
      fencingToken: 1000 + this.#nowMs,
      workerClient: this,
      options: {
        leaseMs: 1000,
        submitterTimeoutMs: 1300,
        abandonDetectionMs: 1000,
        missingGraceMs: 2500,
        maxEntryAgeMs: 3000,
        renewWaitMs: 120,
      },
      crashes: this.crashes,
      guardsRoom: () => true,
      clock: this.#clock,
      journal,
      onFenced: () => undefined,
      onOutdatedEntry: () => undefined,
    });
    this.#readEntries(owner);
    return owner;
  }

  /** Passes the entries that the current processes of the workers have written. */
  #readEntries(owner: CellOwner): void {
    const entries = this.workers.map(({ id, incarnation }) => ({
      ...workerEntry(id),
      processStartMs: incarnation,
    }));
    owner.setWorkers({ entries, readAtMs: this.#nowMs });
  }

  #recordOverlaps(): void {
    const seen = new Set<string>();
    const overlapping = new Set<string>();
    this.workers.forEach(({ tasks }) =>
      tasks.forEach((task) => {
        if (seen.has(task)) overlapping.add(task);
        seen.add(task);
      }),
    );
    overlapping.forEach((task) => {
      if (!this.#overlapping.has(task)) this.overlaps.push(`${task} at ${this.#nowMs} ms`);
    });
    this.#overlapping = overlapping;
  }

  #worker({ id }: WorkerTarget): LeasedWorker {
    const worker = this.workers.find((candidate) => candidate.id === id);
    if (!worker) throw new Error(`no worker ${id}`);
    return worker;
  }
}
