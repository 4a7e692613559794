/** Placement beside workers that stop answering and come back by turns. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { batchOf, CellSimulation } from './cellSimulation';

describe('a worker that has stopped answering and is back', () => {
  /** A cell of two workers, of which the first has been silent for half a second. */
  function afterSilence(): CellSimulation {
    const simulation = CellSimulation.withWorkers(2);
    const [first] = simulation.workers;
    Object.assign(first?.faults ?? {}, { silent: true });
    simulation.advance(500);
    Object.assign(first?.faults ?? {}, { silent: false });
    simulation.advance(300);
    return simulation;
  }

  const workersOf = (simulation: CellSimulation) => simulation.starts.map(({ worker }) => worker);

  // Guards against runs that are lost for a whole lease at each turn of a worker that flaps.
  it('gets no task for some seconds while others have room', () => {
    const simulation = afterSilence();
    simulation.offer(batchOf());
    simulation.advance(100);
    simulation.offer(batchOf());
    expect(workersOf(simulation)).toEqual(['w1', 'w1']);
    simulation.advance(5000);
    simulation.offer(batchOf());
    expect(workersOf(simulation)).toEqual(['w1', 'w1', 'w0']);
  });

  // Guards against room that stands idle after a cut from which all workers come back.
  it('gets tasks at once when the others are full', () => {
    const simulation = afterSilence();
    simulation.offer(batchOf({ taskCount: 3 }));
    simulation.advance(10);
    expect(workersOf(simulation)).toEqual(['w1', 'w1', 'w0']);
  });
});
