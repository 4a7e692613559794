/**
 * The owner of a cell with its sessions, against leased workers in virtual time. The workers' clocks
 * run as the owner's.
 */
import { setImmediate as settled } from 'node:timers/promises';
import type { TestContext } from 'node:test';
import { StartAnswer } from '../../src/cells/actions';
import { CellOwner } from '../../src/dispatcher/cellOwner';
import type { DispatchJournal } from '../../src/dispatcher/journal';
import {
  StopAnswer,
  type RenewAnswer,
  type RenewRequest,
  type StartRequest,
  type StopRequest,
  type WorkerClient,
  type WorkerTarget,
} from '../../src/dispatcher/workerClient';
import { workerEntry } from '../cells/simulatedWorker';
import { sleep, type LeasedWorker } from './leasedWorker';
import { FakeMachineClock } from './machineClock';

/** Time after which the client counts an order as unanswered. */
const ORDER_TIMEOUT_MS = 120;

/** An owner whose cell has the given workers; `advance` plays virtual time. */
export class OwnerWorld implements WorkerClient {
  owner: CellOwner;

  readonly workers: readonly LeasedWorker[];

  readonly decisions: string[] = [];

  /** Moments from which a task was in progress twice. */
  readonly overlaps: string[] = [];

  #doubles = new Set<string>();

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

  /** Another host takes the cell over. */
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
      // eslint-disable-next-line no-await-in-loop -- answers come before time goes on
      await settled();
      this.#noteOverlaps();
    }
  }

  /** The owner's process stands still while its workers go on. */
  pause(durationMs: number): void {
    const untilMs = this.#nowMs + durationMs;
    while (this.#nowMs < untilMs) {
      this.#nowMs += 1;
      this.workers.forEach((worker) => worker.step(this.#nowMs));
    }
  }

  /** The owner's machine is suspended: its steady clock does not count the time. */
  suspend(durationMs: number): void {
    this.#clock.suspend(durationMs);
  }

  async start(target: WorkerTarget, order: StartRequest): Promise<StartAnswer> {
    const worker = this.#worker(target);
    if (worker.silent) {
      await sleep(ORDER_TIMEOUT_MS);
      return StartAnswer.unclear;
    }
    const lateMs = worker.lateStartsMs.shift();
    if (lateMs === undefined) return worker.start(order);
    const { life } = worker;
    setTimeout(() => {
      if (worker.life === life) worker.start(order);
    }, lateMs);
    await sleep(ORDER_TIMEOUT_MS);
    return StartAnswer.unclear;
  }

  async stop(target: WorkerTarget, order: StopRequest): Promise<StopAnswer> {
    const worker = this.#worker(target);
    if (worker.silent || worker.lostStops > 0) {
      worker.lostStops -= 1;
      await sleep(ORDER_TIMEOUT_MS);
      return StopAnswer.unclear;
    }
    worker.stop(order);
    return StopAnswer.confirmed;
  }

  async renew(target: WorkerTarget, order: RenewRequest): Promise<RenewAnswer> {
    const worker = this.#worker(target);
    if (!worker.silent) return worker.renew(order);
    await sleep(order.waitMs + ORDER_TIMEOUT_MS);
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
      cell: 'sofia-a',
      fencingToken: 1000 + this.#nowMs,
      workerClient: this,
      options: {
        leaseMs: 1000,
        submitterTimeoutMs: 1300,
        abandonDetectionMs: 1000,
        missingGraceMs: 2500,
        renewWaitMs: 120,
      },
      clock: this.#clock,
      journal,
      onFenced: () => undefined,
    });
    owner.setWorkers(this.workers.map(({ id }) => workerEntry(id)));
    return owner;
  }

  #noteOverlaps(): void {
    const seen = new Set<string>();
    const doubles = new Set<string>();
    this.workers.forEach(({ tasks }) =>
      tasks.forEach((task) => {
        if (seen.has(task)) doubles.add(task);
        seen.add(task);
      }),
    );
    doubles.forEach((task) => {
      if (!this.#doubles.has(task)) this.overlaps.push(`${task} at ${this.#nowMs} ms`);
    });
    this.#doubles = doubles;
  }

  #worker({ id }: WorkerTarget): LeasedWorker {
    const worker = this.workers.find((candidate) => candidate.id === id);
    if (!worker) throw new Error(`no worker ${id}`);
    return worker;
  }
}
