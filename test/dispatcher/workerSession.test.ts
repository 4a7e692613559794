/** The cost of following the workers of a cell. */
import { describe, it } from 'node:test';
import { setImmediate as settled } from 'node:timers/promises';
import { expect } from 'earl';
import { renewWaitMs, WorkerSession } from '../../src/dispatcher/workerSession';
import { RunEnd, StartAnswer, type WorkerReport } from '../../src/cells/actions';
import {
  StopAnswer,
  type RenewAnswer,
  type RenewOrder,
  type WorkerControl,
} from '../../src/dispatcher/workerControl';

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

describe('a worker that has ended more runs than it lists at a time', () => {
  // Guards against a wait of a whole renewal between two portions of the ends.
  it('is asked for the next portion at once', async () => {
    const orders: RenewOrder[] = [];
    const listed = { type: 'listed', clockMs: 0, bornMs: 1, running: [] } as const;
    const end = { task: 'a.0.0.0', run: 1, end: RunEnd.succeeded };
    const answers: RenewAnswer[] = [
      { ...listed, ended: [] },
      { ...listed, ended: [{ ...end, sequence: 500 }], moreEnds: true },
      { ...listed, ended: [{ ...end, sequence: 501 }] },
    ];
    const reports: WorkerReport[] = [];
    const never = new Promise<RenewAnswer>(() => {});
    const control: WorkerControl = {
      start: async () => StartAnswer.unclear,
      stop: async () => StopAnswer.unclear,
      renew: (_, order) => {
        orders.push(order);
        const answer = answers.shift();
        return answer ? Promise.resolve(answer) : never;
      },
      forget: () => {},
      close: async () => {},
    };
    const session = new WorkerSession(
      { id: 'w0', address: '10.0.0.1:1' },
      control,
      1000,
      OPTIONS,
      { workerCount: () => 1, leaseLimitMs: () => Infinity },
      {
        reported: (_, report) => reports.push(report),
        silent: () => {},
        restarted: () => {},
        fenced: () => {},
        renewed: () => {},
      },
      { nowMs: () => 0 },
    );
    session.open();
    await settled();
    session.close();
    expect(orders.map(({ acknowledged, waitMs }) => [acknowledged, waitMs])).toEqual([
      [0, 0],
      [0, 0],
      [500, 0],
      [501, 120],
    ]);
    expect(reports.map(({ moreEnds }) => moreEnds ?? false)).toEqual([false, true, false]);
  });
});
