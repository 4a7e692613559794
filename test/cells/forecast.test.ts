/** Guards against forecasts that start a task before the room for it is free. */
import { it } from 'node:test';
import { expect } from 'earl';
import { forecastEndsMs } from '../../src/cells/forecast';
import { batchOf, CellSimulation } from './cellSimulation';

// The fault: after the capacity of a worker had shrunk below its runs, the end of the first of them
// counted as room, although the others still exceeded the capacity.
it('starts no task on a shrunk worker before its runs fit the capacity again', () => {
  const simulation = CellSimulation.withWorkers(1);
  simulation.offer(batchOf({ queue: 'settle', estimateMs: 1000, deadlineInMs: 9000 }));
  simulation.offer(batchOf({ queue: 'settle', estimateMs: 2000, deadlineInMs: 9000 }));
  const [worker] = simulation.cell.workers.values();
  if (!worker) throw new Error('the cell has a worker');
  worker.entry = { ...worker.entry, cpuMillis: 27_000 };
  const demand = { tasks: 1, cpuMillis: 27_000, expectedMs: 60 };
  expect(forecastEndsMs([worker], [], demand, 0)).toEqual([2060]);
  worker.entry = { ...worker.entry, cpuMillis: 0 };
  expect(forecastEndsMs([worker], [], demand, 0)).toEqual([Infinity]);
});

// The fault: once a task was forecast to start when a run ends, the room that the end of another run
// leaves at that time counted as free from the beginning.
it('starts each round of tasks after the end of the round before', () => {
  const simulation = CellSimulation.withWorkers(4);
  simulation.offer(batchOf({ queue: 'settle', estimateMs: 1000 }));
  const workers = [...simulation.cell.workers.values()];
  const demand = { tasks: 24, cpuMillis: 27_000, expectedMs: 60 };
  const endsMs = forecastEndsMs(workers, [], demand, 0);
  const rounds = [60, 120, 180, 240];
  const tasksPerRound = rounds.map((endMs) => endsMs.filter((other) => other === endMs).length);
  expect(tasksPerRound).toEqual([7, 7, 7, 3]);
});
