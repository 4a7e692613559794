/** The cost of following the workers of a cell. */
import { describe, it, type TestContext } from 'node:test';
import { setImmediate as settled } from 'node:timers/promises';
import { expect } from 'earl';
import { renewWaitMs, WorkerSession } from '../../src/dispatcher/workerSession';
import { RunOutcome, StartAnswer, type WorkerReport } from '../../src/cells/actions';
import {
  StopAnswer,
  type RenewAnswer,
  type RenewRequest,
  type WorkerClient,
} from '../../src/dispatcher/workerClient';

const OPTIONS = { leaseMs: 1000, renewWaitMs: 120 };

describe('the renewals of a cell in which nothing ends', () => {
  it('follow each worker closely where there are few', () => {
    [1, 11, 16].forEach((workers) => expect(renewWaitMs(OPTIONS, workers)).toEqual(120));
  });

  it('are as many in a second at 46 workers as at 16, so that the owner can bear a cell', () => {
    const perSecond = (workers: number) => (workers * 1000) / renewWaitMs(OPTIONS, workers);
    [20, 30, 41, 46].forEach((workers) => {
      // Waits are whole milliseconds.
      expect(Math.abs(perSecond(workers) - perSecond(16))).toBeLessThan(1);
    });
  });

  it('never wait so long that a lease could end', () => {
    [41, 100, 1000].forEach((workers) => {
      expect(renewWaitMs(OPTIONS, workers)).toBeLessThanOrEqual(350);
    });
  });
});

const LISTED = { type: 'listed', clockMs: 0, processStartMs: 1, running: [], ended: [] } as const;
const END = { task: 'a.0.0.0', run: 1, end: RunOutcome.succeeded } as const;

/** A session over a control whose answers the test gives; `orders` are the renewals sent so far. */
class SessionWorld {
  readonly orders: (RenewRequest & { answer(answer: RenewAnswer): void })[] = [];

  readonly reports: WorkerReport[] = [];

  readonly silences: string[] = [];

  isIdle = true;

  startAnswer: StartAnswer = StartAnswer.accepted;

  nowMs = 0;

  readonly session: WorkerSession;

  readonly #timers: TestContext['mock']['timers'];

  constructor(t: TestContext) {
    this.#timers = t.mock.timers;
    this.#timers.enable({ apis: ['setTimeout'] });
    const control: WorkerClient = {
      start: async () => this.startAnswer,
      stop: async () => StopAnswer.unclear,
      renew: (_, order) =>
        new Promise((answer) => {
          this.orders.push({ ...order, answer });
        }),
      disconnect: () => {},
      close: async () => {},
    };
    this.session = new WorkerSession(
      { id: 'w0', address: '10.0.0.1:1' },
      control,
      1000,
      OPTIONS,
      { workerCount: () => 1, isIdle: () => this.isIdle, leaseLimitMs: () => Infinity },
      {
        reported: (_, report) => this.reports.push(report),
        silent: (_, error) => this.silences.push(error),
        restarted: () => {},
        fenced: () => {},
        renewed: () => {},
      },
      { nowMs: () => this.nowMs },
    );
    this.session.open();
    t.after(() => this.session.close());
  }

  get waitsMs(): readonly number[] {
    return this.orders.map(({ waitMs }) => waitMs);
  }

  async answer(index: number, answer: RenewAnswer): Promise<void> {
    this.orders[index]?.answer(answer);
    await settled();
  }

  /** Answers the first two renewals, which follow each other at once. */
  async settle(): Promise<void> {
    await this.answer(0, LISTED);
    await this.answer(1, LISTED);
  }

  async pass(durationMs: number): Promise<void> {
    this.nowMs += durationMs;
    this.#timers.tick(durationMs);
    await settled();
  }
}

describe('the renewals of a worker on which nothing runs', () => {
  // Guards against looks at idle workers that cost more than the runs of the others.
  it('wait for as long as its loss may go unnoticed', async (t) => {
    const world = new SessionWorld(t);
    await world.settle();
    expect(world.waitsMs).toEqual([0, 0, 600]);
    world.isIdle = false;
    await world.answer(2, LISTED);
    expect(world.waitsMs).toEqual([0, 0, 600, 120]);
  });

  // Guards against a lease that lapses because the renewal before the start waits on.
  it('are followed by another one in time when a run is started meanwhile', async (t) => {
    const world = new SessionWorld(t);
    await world.settle();
    await world.pass(100);
    await world.session.start('a.0.0.0', 1, '');
    world.isIdle = false;
    await world.pass(119);
    expect(world.waitsMs).toEqual([0, 0, 600]);
    await world.pass(1);
    expect(world.waitsMs).toEqual([0, 0, 600, 120]);
    // The answer of the one before is read, and does not begin a second series.
    await world.answer(2, { ...LISTED, ended: [{ ...END, sequence: 1 }] });
    expect(world.reports.at(-1)?.ended.length).toEqual(1);
    expect(world.waitsMs).toEqual([0, 0, 600, 120]);
    await world.answer(3, { ...LISTED, ended: [{ ...END, sequence: 1 }] });
    expect(world.reports.at(-1)?.ended).toEqual([]);
    expect(world.waitsMs).toEqual([0, 0, 600, 120, 120]);
  });

  it('are not followed by one if the run ends before', async (t) => {
    const world = new SessionWorld(t);
    await world.settle();
    await world.session.start('a.0.0.0', 1, '');
    await world.answer(2, { ...LISTED, ended: [{ ...END, sequence: 1 }] });
    await world.pass(500);
    expect(world.waitsMs).toEqual([0, 0, 600, 600]);
  });

  // Guards against a run that is found again, and stopped, by a list from before its end.
  it('are not read when an answer that the worker gave later has come before', async (t) => {
    const world = new SessionWorld(t);
    await world.settle();
    await world.session.start('a.0.0.0', 1, '');
    world.isIdle = false;
    await world.pass(120);
    const running = [{ task: 'a.0.0.0', run: 1, percent: 99 }];
    await world.answer(3, { ...LISTED, clockMs: 150, ended: [{ ...END, sequence: 1 }] });
    const { length } = world.reports;
    await world.answer(2, { ...LISTED, clockMs: 149, running });
    await world.answer(4, { ...LISTED, clockMs: 148, running });
    expect(world.reports.length).toEqual(length);
    // A process that has ended says nothing any more.
    await world.answer(5, { ...LISTED, clockMs: 10, processStartMs: 2 });
    expect(world.reports.length).toEqual(length + 1);
    expect(world.waitsMs.length).toEqual(7);
  });

  // Guards against starts on a lost worker for as long as the renewal before them waits.
  it('are followed by one at once when a start has no answer', async (t) => {
    const world = new SessionWorld(t);
    await world.settle();
    world.startAnswer = StartAnswer.unclear;
    await world.session.start('a.0.0.0', 1, '');
    expect(world.waitsMs).toEqual([0, 0, 600, 0]);
    await world.answer(3, { type: 'silent', error: 'timed out' });
    await world.answer(4, { type: 'silent', error: 'timed out' });
    expect(world.silences).toEqual(['timed out']);
  });
});

describe('a worker that has ended more runs than it lists at a time', () => {
  // Guards against a wait of a whole renewal between two portions of the ends.
  it('is asked for the next portion at once', async (t) => {
    const world = new SessionWorld(t);
    world.isIdle = false;
    await world.answer(0, LISTED);
    await world.answer(1, { ...LISTED, ended: [{ ...END, sequence: 500 }], hasMoreEnded: true });
    await world.answer(2, { ...LISTED, ended: [{ ...END, sequence: 501 }] });
    expect(world.orders.map(({ acknowledged, waitMs }) => [acknowledged, waitMs])).toEqual([
      [0, 0],
      [0, 0],
      [500, 0],
      [501, 120],
    ]);
    expect(world.reports.map(({ hasMoreEnded: moreEnds }) => moreEnds ?? false)).toEqual([
      false,
      true,
      false,
    ]);
  });
});
