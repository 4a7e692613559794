/**
 * Load patterns of several kinds in one cell, near and above its capacity. Each test names the
 * pattern; the bounds are what the capacity allows.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { batchOf, CellSimulation } from './cellSimulation';

const SECOND_MS = 1000;

/** Share of the jobs of one kind that end in time; a load of 1 keeps all workers at work. */
function shareInTime(load: number): number {
  const simulation = CellSimulation.withWorkers(8);
  // Two tasks fit on a worker, so 16 at once, of 200 ms each: 40 jobs of two tasks a second.
  const intervalMs = SECOND_MS / (40 * load);
  let nextAtMs = 0;
  while (simulation.nowMs < 10 * SECOND_MS) {
    if (simulation.nowMs >= nextAtMs) {
      nextAtMs += intervalMs;
      simulation.offer(batchOf({ queue: 'check', estimateMs: 200, taskCount: 2 }));
    }
    simulation.advance(1);
  }
  simulation.advance(2 * SECOND_MS);
  const { inTime, all } = simulation.tally('check');
  return inTime / all;
}

describe('the room that a cell tells for a wide batch', () => {
  // Guards against a job that is divided by numbers at which the cells refuse its parts.
  it('is the number of tasks that it admits and ends in time', () => {
    const busyCell = (busy: number): CellSimulation => {
      const simulation = CellSimulation.withWorkers(4);
      simulation.offer(batchOf({ queue: 'settle', priority: 2, estimateMs: 300, taskCount: busy }));
      return simulation;
    };
    [1, 2, 3, 5].forEach((busy) => {
      const simulation = busyCell(busy);
      const { tasks } = simulation.cell.roomFor(batchOf({ taskCount: 24 }), simulation.nowMs);
      expect(tasks).toBeGreaterThan(0);
      expect(tasks).toBeLessThan(24);
      const tooMany = busyCell(busy).offer(batchOf({ taskCount: tasks + 1 }));
      expect(tooMany.outcome?.type).toEqual('refused');
      const record = simulation.offer(batchOf({ taskCount: tasks }));
      simulation.advance(SECOND_MS);
      expect(record.outcome).toEqual({ type: 'done' });
      expect(record.endedAtMs).toBeLessThanOrEqual(record.objectiveAtMs);
    });
  });

  // Guards against tasks on fast workers that are counted in place of earlier ones that end late on
  // slow workers: a cell then says that it takes a part of a job, and refuses that part.
  it('is admitted by workers of unequal speed', () => {
    const SLOWNESS = [0.6, 0.8, 1, 1.5, 2, 3];
    const unequalCell = (busy: number): CellSimulation => {
      const simulation = CellSimulation.withWorkers(SLOWNESS.length);
      SLOWNESS.forEach((slowness, index) => {
        const worker = simulation.workers[index];
        if (worker) worker.faults.slowness = slowness;
      });
      for (let round = 0; round < 30; round += 1) {
        simulation.offer(batchOf({ estimateMs: 50, goalMs: 900, taskCount: 12 }));
        simulation.advance(400);
      }
      simulation.offer(batchOf({ queue: 'settle', priority: 2, estimateMs: 300, taskCount: busy }));
      return simulation;
    };
    [0, 1, 2, 3, 5].forEach((busy) =>
      [100, 150, 200, 300].forEach((goalMs) => {
        const simulation = unequalCell(busy);
        const wide = batchOf({ taskCount: 24, goalMs });
        const { tasks } = simulation.cell.roomFor(wide, simulation.nowMs);
        expect(tasks).toBeGreaterThan(0);
        const record = simulation.offer(batchOf({ taskCount: tasks, goalMs }));
        expect(record.outcome).toEqual(null);
      }),
    );
  });
});

describe('a cell under a load of one kind', () => {
  // Guards against a queue that is admitted up to an objective which the estimate sets too late:
  // under a steady overload every admitted job waits as long as it may, and all are late.
  it('steady overload: serves in time nine tenths of what its workers could', () => {
    [1.2, 1.6, 2].forEach((load) => {
      expect(shareInTime(load) * load).toBeGreaterThanOrEqual(0.9);
    });
  });
});

describe('a cell with a blocked large task', () => {
  const large = { shape: { ...batchOf().shape, cpuMillis: 60_000 }, goalMs: 400 };

  // Guards against a worker that stands idle while tasks wait that would end before the large one
  // can start there.
  it('backfilling: short tasks use the worker that is kept until the large task can start', () => {
    const simulation = CellSimulation.withWorkers(1);
    simulation.offer(batchOf({ queue: 'settle', priority: 2, estimateMs: 300, goalMs: 900 }));
    const check = { queue: 'check', priority: 1, goalMs: 900 };
    simulation.offer(batchOf({ ...check, estimateMs: 60 }));
    const short = simulation.offer(batchOf({ ...check, estimateMs: 100 }));
    const blocked = simulation.offer(batchOf(large));
    simulation.advance(200);
    expect(short.outcome).toEqual({ type: 'done' });
    simulation.advance(SECOND_MS);
    expect(blocked.outcome).toEqual({ type: 'done' });
    expect(blocked.endedAtMs).toBeLessThanOrEqual(blocked.objectiveAtMs);
  });

  // Guards against refusals with room free: a blocked large task counts as ahead of all others in the
  // forecast, also of tasks that fit beside it now.
  it('backfilling: admits a short task that fits beside a blocked one', () => {
    const simulation = CellSimulation.withWorkers(1);
    simulation.offer(batchOf({ queue: 'settle', priority: 2, estimateMs: 300, goalMs: 900 }));
    simulation.offer(batchOf(large));
    const short = simulation.offer(batchOf({ queue: 'check', priority: 1, estimateMs: 100 }));
    simulation.advance(150);
    expect(short.outcome).toEqual({ type: 'done' });
  });

  // Guards against small tasks that take each bit of room as it comes free.
  it('backfilling: tasks that would delay the large task wait', () => {
    const simulation = CellSimulation.withWorkers(1);
    const small = { queue: 'check', priority: 1, estimateMs: 100, goalMs: 2000 };
    // The runs end at different times, so that room for the large task never comes by itself.
    Array.from({ length: 30 }, () => {
      simulation.advance(13);
      return simulation.offer(batchOf(small));
    });
    const blocked = simulation.offer(batchOf({ ...large, queue: 'unlock' }));
    simulation.advance(3 * SECOND_MS);
    expect(blocked.outcome).toEqual({ type: 'done' });
    expect(blocked.endedAtMs).toBeLessThanOrEqual(blocked.objectiveAtMs);
    expect(simulation.tally('check').inTime).toEqual(30);
  });
});

describe('a cell with wide and narrow jobs', () => {
  // Guards against wide jobs of which a part runs while the rest waits behind jobs that have not
  // begun: the whole job is then late, and what has run of it was of no use.
  it('partial start: the rest of a begun job starts before other jobs do', () => {
    const simulation = CellSimulation.withWorkers(4);
    simulation.offer(batchOf({ queue: 'settle', priority: 2, estimateMs: 60, taskCount: 2 }));
    const wide = simulation.offer(batchOf({ queue: 'unlock', estimateMs: 200, taskCount: 8 }));
    simulation.advance(10);
    const check = { queue: 'check', priority: 1, estimateMs: 60, goalMs: 900, taskCount: 2 };
    Array.from({ length: 4 }, () => simulation.offer(batchOf(check)));
    simulation.advance(SECOND_MS);
    expect(wide.outcome).toEqual({ type: 'done' });
    // 60 ms until there is room, 200 ms to run, and 20 ms for messages.
    expect(wide.endedAtMs).toBeLessThanOrEqual(280);
    expect(simulation.tally('check').inTime).toEqual(4);
  });
});

describe('a cell under a mixed load', () => {
  // Guards against refusals of work that could be served: what other queues are forecast to bring
  // after a batch has started does not delay it.
  it('busy cell: a batch is not refused for arrivals that are forecast after its start', () => {
    const simulation = CellSimulation.withWorkers(3);
    for (let ms = 0; ms < 4 * SECOND_MS; ms += 20) {
      simulation.offer(batchOf({ queue: 'unlock', estimateMs: 60 }));
      simulation.advance(20);
    }
    simulation.advance(100);
    simulation.offer(batchOf({ queue: 'settle', priority: 2, estimateMs: 400, taskCount: 6 }));
    simulation.advance(260);
    const record = simulation.offer(batchOf({ queue: 'check', priority: 1, estimateMs: 200 }));
    simulation.advance(SECOND_MS);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(record.endedAtMs).toBeLessThanOrEqual(record.objectiveAtMs);
  });
});
