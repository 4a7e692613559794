/** Timing of the renewals of a worker session, and the handling of their answers. */
import { describe, it, type TestContext } from 'node:test';
import { setImmediate as settled } from 'node:timers/promises';
import { expect } from 'earl';
import { renewWaitMs, WorkerSession } from '../../src/dispatcher/ownership/workerSession';
import { RunOutcome, StartAnswer, type WorkerReport } from '../../src/cells/actions';
import {
  StopAnswer,
  type RenewAnswer,
  type RenewRequest,
  type WorkerClient,
} from '../../src/dispatcher/ownership/workerClient';

const OPTIONS = { leaseMs: 1000, renewWaitMs: 120 };

describe('the renewals of a cell in which no run ends', () => {
  it('wait 120 ms if there are few workers', () => {
    [1, 11, 16].forEach((workers) => expect(renewWaitMs(OPTIONS, workers)).toEqual(120));
  });

  it('have the same total rate with 46 workers as with 16, to limit the load on the owner', () => {
    const perSecond = (workers: number) => (workers * 1000) / renewWaitMs(OPTIONS, workers);
    [20, 30, 41, 46].forEach((workers) => {
      // Waits are whole milliseconds.
      expect(Math.abs(perSecond(workers) - perSecond(16))).toBeLessThan(1);
    });
  });

  it('never wait so long that a lease could expire', () => {
    [41, 100, 1000].forEach((workers) => {
      expect(renewWaitMs(OPTIONS, workers)).toBeLessThanOrEqual(350);
    });
  });
});

const LISTED = { type: 'listed', clockMs: 0, processStartMs: 1, running: [], ended: [] } as const;
const PLACED = { task: 'a.0.0.0', run: 1, payload: '', processStartMs: 1 } as const;
const END = { task: 'a.0.0.0', run: 1, end: RunOutcome.succeeded } as const;

/** A session whose renewals the test answers; `requests` are the renewals sent so far. */
class SessionSimulation {
  readonly requests: (RenewRequest & { answer(answer: RenewAnswer): void })[] = [];

  readonly reports: WorkerReport[] = [];

  readonly silences: string[] = [];

  restarts = 0;

  isIdle = true;

  nextOverdueAtMs = Infinity;

  startAnswer: StartAnswer = StartAnswer.accepted;

  /** Starts that were sent. */
  starts = 0;

  /** Confirms the stop that was sent last. */
  confirmStop: (() => void) | null = null;

  nowMs = 0;

  readonly session: WorkerSession;

  readonly #timers: TestContext['mock']['timers'];

  constructor(t: TestContext) {
    this.#timers = t.mock.timers;
    this.#timers.enable({ apis: ['setTimeout'] });
    const workerClient: WorkerClient = {
      start: async () => {
        this.starts += 1;
        return this.startAnswer;
      },
      stop: () =>
        new Promise((answer) => {
          this.confirmStop = () => answer(StopAnswer.confirmed);
        }),
      renew: (_, request) =>
        new Promise((answer) => {
          this.requests.push({ ...request, answer });
        }),
      disconnect: () => {},
      close: async () => {},
    };
    this.session = new WorkerSession(
      { id: 'w0', address: '10.0.0.1:1' },
      workerClient,
      1000,
      OPTIONS,
      {
        workerCount: () => 1,
        isIdle: () => this.isIdle,
        nextOverdueAtMs: () => this.nextOverdueAtMs,
        leaseLimitMs: () => Infinity,
      },
      {
        reported: (_, report) => this.reports.push(report),
        silent: (_, error) => this.silences.push(error),
        restarted: () => {
          this.restarts += 1;
        },
        overdue: () => {},
        fenced: () => {},
        renewed: () => {},
      },
      { nowMs: () => this.nowMs },
    );
    this.session.open();
    t.after(() => this.session.close());
  }

  get waitsMs(): readonly number[] {
    return this.requests.map(({ waitMs }) => waitMs);
  }

  async answer(index: number, answer: RenewAnswer): Promise<void> {
    this.requests[index]?.answer(answer);
    await settled();
  }

  /** Answers the first two renewals, of which the second follows immediately. */
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
  // Guards against renewals of idle workers that cost more than the runs of the others.
  it('wait for the longer time of idle workers', async (t) => {
    const simulation = new SessionSimulation(t);
    await simulation.settle();
    expect(simulation.waitsMs).toEqual([0, 0, 600]);
    simulation.isIdle = false;
    await simulation.answer(2, LISTED);
    expect(simulation.waitsMs).toEqual([0, 0, 600, 120]);
  });

  // Guards against a lease that expires while the renewal sent before the start is still waiting.
  it('are followed by another one in time if a run is started meanwhile', async (t) => {
    const simulation = new SessionSimulation(t);
    await simulation.settle();
    await simulation.pass(100);
    await simulation.session.start(PLACED);
    simulation.isIdle = false;
    await simulation.pass(119);
    expect(simulation.waitsMs).toEqual([0, 0, 600]);
    await simulation.pass(1);
    expect(simulation.waitsMs).toEqual([0, 0, 600, 120]);
    // The answer to the earlier renewal is processed, but triggers no further renewal.
    await simulation.answer(2, { ...LISTED, ended: [{ ...END, sequence: 1 }] });
    expect(simulation.reports.at(-1)?.ended.length).toEqual(1);
    expect(simulation.waitsMs).toEqual([0, 0, 600, 120]);
    await simulation.answer(3, { ...LISTED, ended: [{ ...END, sequence: 1 }] });
    expect(simulation.reports.at(-1)?.ended).toEqual([]);
    expect(simulation.waitsMs).toEqual([0, 0, 600, 120, 120]);
  });

  it('are not followed by an additional one if the run ends first', async (t) => {
    const simulation = new SessionSimulation(t);
    await simulation.settle();
    await simulation.session.start(PLACED);
    await simulation.answer(2, { ...LISTED, ended: [{ ...END, sequence: 1 }] });
    await simulation.pass(500);
    expect(simulation.waitsMs).toEqual([0, 0, 600, 600]);
  });

  // Guards against a stop of an ended run because of a listing from before its end.
  it('are ignored if a more recent answer of the worker has already arrived', async (t) => {
    const simulation = new SessionSimulation(t);
    await simulation.settle();
    await simulation.session.start(PLACED);
    simulation.isIdle = false;
    await simulation.pass(120);
    const running = [{ task: 'a.0.0.0', run: 1, percent: 99 }];
    await simulation.answer(3, { ...LISTED, clockMs: 150, ended: [{ ...END, sequence: 1 }] });
    const { length } = simulation.reports;
    await simulation.answer(2, { ...LISTED, clockMs: 149, running });
    await simulation.answer(4, { ...LISTED, clockMs: 148, running });
    expect(simulation.reports.length).toEqual(length);
    // The answer of a new process is accepted although its clock shows an earlier time.
    await simulation.answer(5, { ...LISTED, clockMs: 10, processStartMs: 2 });
    expect(simulation.reports.length).toEqual(length + 1);
    expect(simulation.waitsMs.length).toEqual(7);
  });

  // Guards against starts on a lost worker while the renewal sent before them is still waiting.
  it('are followed by another one at once if a start is not answered', async (t) => {
    const simulation = new SessionSimulation(t);
    await simulation.settle();
    simulation.startAnswer = StartAnswer.unclear;
    await simulation.session.start(PLACED);
    expect(simulation.waitsMs).toEqual([0, 0, 600, 0]);
    await simulation.answer(3, { type: 'silent', error: 'timed out' });
    await simulation.answer(4, { type: 'silent', error: 'timed out' });
    expect(simulation.silences).toEqual(['timed out']);
  });
});

describe('the renewals of a worker with a run that should have ended', () => {
  // Guards against an end that is learned only when a renewal whose answer is lost times out.
  it('are followed by a list once the run is overdue, and by none before', async (t) => {
    const simulation = new SessionSimulation(t);
    await simulation.settle();
    simulation.isIdle = false;
    simulation.nextOverdueAtMs = 70;
    await simulation.session.start(PLACED);
    await simulation.pass(69);
    expect(simulation.waitsMs).toEqual([0, 0, 600]);
    simulation.nextOverdueAtMs = Infinity;
    await simulation.pass(1);
    await simulation.pass(2);
    expect(simulation.waitsMs).toEqual([0, 0, 600, 0]);
    await simulation.answer(3, { ...LISTED, ended: [{ ...END, sequence: 1 }] });
    expect(simulation.reports.at(-1)?.ended.length).toEqual(1);
  });
});

describe('a worker with more ended runs than it lists at a time', () => {
  // Guards against waiting for a whole renewal before the next part of the list.
  it('is renewed at once to get the next part', async (t) => {
    const simulation = new SessionSimulation(t);
    simulation.isIdle = false;
    await simulation.answer(0, LISTED);
    await simulation.answer(1, {
      ...LISTED,
      ended: [{ ...END, sequence: 500 }],
      hasMoreEnded: true,
    });
    await simulation.answer(2, { ...LISTED, ended: [{ ...END, sequence: 501 }] });
    expect(simulation.requests.map(({ acknowledged, waitMs }) => [acknowledged, waitMs])).toEqual([
      [0, 0],
      [0, 0],
      [500, 0],
      [501, 120],
    ]);
    expect(simulation.reports.map(({ hasMoreEnded }) => hasMoreEnded ?? false)).toEqual([
      false,
      true,
      false,
    ]);
  });
});

describe('a worker in whose place another process answers', () => {
  // Guards against a restart that is reported again with each renewal until its entry expires.
  it('is reported as restarted once, and again after it has listed its runs', async (t) => {
    const simulation = new SessionSimulation(t);
    await simulation.settle();
    for (let index = 2; index < 6; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- renewals are answered one after the other
      await simulation.answer(index, { type: 'restarted' });
      // eslint-disable-next-line no-await-in-loop -- renewals are answered one after the other
      await simulation.pass(120);
    }
    expect(simulation.restarts).toEqual(1);
    await simulation.answer(6, { ...LISTED, processStartMs: 2 });
    await simulation.answer(7, { type: 'restarted' });
    expect(simulation.restarts).toEqual(2);
  });
});

describe('a session whose worker restarts', () => {
  // Guards against a start on a process with other labels, another room or another service.
  it('sends no start that was placed on the process before', async (t) => {
    const simulation = new SessionSimulation(t);
    await simulation.settle();
    await simulation.answer(2, { ...LISTED, processStartMs: 2 });
    expect(await simulation.session.start(PLACED)).toEqual(StartAnswer.restarted);
    expect(simulation.starts).toEqual(0);
    const placed = { ...PLACED, processStartMs: 2 };
    expect(await simulation.session.start(placed)).toEqual(StartAnswer.accepted);
  });

  // Guards against a stop that counts as confirmed by a process that has not seen it, and then still
  // carries out the start.
  it('does not count the confirmation of a stop by the process before', async (t) => {
    const simulation = new SessionSimulation(t);
    await simulation.settle();
    const stop = simulation.session.stop(PLACED.task, PLACED.run);
    await simulation.answer(2, { ...LISTED, processStartMs: 2 });
    simulation.confirmStop?.();
    expect(await stop).toEqual(StopAnswer.restarted);
  });

  // Guards against tasks that are offered to a lost process until the pending renewal times out.
  it('asks for a list at once when a start was not sent', async (t) => {
    const simulation = new SessionSimulation(t);
    await simulation.settle();
    simulation.startAnswer = StartAnswer.unsent;
    await simulation.session.start(PLACED);
    expect(simulation.waitsMs).toEqual([0, 0, 600, 0]);
  });
});
