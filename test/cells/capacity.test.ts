/** Workers whose capacity shrinks and grows while they run tasks, and that refuse nothing. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { batchOf, CellSimulation } from './cellSimulation';
import { workerEntry } from './simulatedWorker';

const LONG = { estimateMs: 1000, deadlineInMs: 20_000, goalMs: 20_000 } as const;

/** A cell of one worker that runs two tasks and now says that it has room for one. */
function shrunkCell(): CellSimulation {
  const simulation = CellSimulation.withWorkers(1, 108_000);
  simulation.offer(batchOf({ ...LONG, estimateMs: 500 }));
  simulation.offer(batchOf(LONG));
  simulation.advance(100);
  simulation.cell.setWorkers(
    { entries: [workerEntry('w0', 27_000)], readAtMs: simulation.nowMs },
    simulation.nowMs,
  );
  return simulation;
}

describe('a worker whose capacity has shrunk below its runs', () => {
  // Guards against a start that brings a worker over the capacity that it states.
  it('gets no task before its runs fit the capacity and leave room', () => {
    const simulation = shrunkCell();
    simulation.offer(batchOf({ ...LONG, begun: true }));
    simulation.advance(850);
    expect(simulation.starts.length).toEqual(2);
    simulation.advance(200);
    expect(simulation.starts.length).toEqual(3);
  });

  // Guards against a run that is being stopped and not counted any more.
  it('gets no task while a run that is being stopped exceeds the capacity', () => {
    const simulation = shrunkCell();
    const [first, second] = [...simulation.records.keys()];
    simulation.cell.withdraw(first ?? '', 'withdrawn', simulation.nowMs);
    simulation.cell.withdraw(second ?? '', 'withdrawn', simulation.nowMs);
    simulation.offer(batchOf({ ...LONG, begun: true }));
    expect(simulation.starts.length).toEqual(2);
    simulation.advance(300);
    expect(simulation.starts.length).toEqual(3);
  });

  it('is used again when its capacity grows', () => {
    const simulation = shrunkCell();
    simulation.offer(batchOf({ ...LONG, begun: true }));
    simulation.cell.setWorkers(
      { entries: [workerEntry('w0', 108_000)], readAtMs: simulation.nowMs },
      simulation.nowMs,
    );
    simulation.advance(10);
    expect(simulation.starts.length).toEqual(3);
  });

  it('gets nothing while its capacity is 0, and other workers serve', () => {
    const simulation = CellSimulation.withWorkers(2);
    const entries = [workerEntry('w0', 0), workerEntry('w1', 64_000)];
    simulation.cell.setWorkers({ entries, readAtMs: simulation.nowMs }, simulation.nowMs);
    const record = simulation.offer(batchOf({ taskCount: 2 }));
    simulation.advance(200);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(simulation.starts.every(({ worker }) => worker === 'w1')).toEqual(true);
  });
});
