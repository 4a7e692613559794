/** Workers that restart under their id with other properties than their last known entry states. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { WorkerEntry } from '../../src/cells/worker';
import { batchOf, CellSimulation } from './cellSimulation';
import { SimulatedWorker, workerEntry } from './simulatedWorker';

const FIRST_START_MS = 1;
const SECOND_START_MS = 5000;
const SHAPE = batchOf({}).shape;

function entryOf(changes: Partial<WorkerEntry>): WorkerEntry {
  return { ...workerEntry('w0'), processStartMs: FIRST_START_MS, ...changes };
}

/** A worker whose second process answers while the entry of the first one is still known. */
function replacedWorker(): CellSimulation {
  const worker = new SimulatedWorker(entryOf({}));
  const simulation = new CellSimulation([worker]);
  const idle = { sentAtMs: 0, running: [], ended: [] };
  simulation.cell.workerRestarted('w0', 0);
  simulation.cell.report('w0', { ...idle, processStartMs: SECOND_START_MS }, 0);
  worker.restart(SECOND_START_MS);
  return simulation;
}

function offerLabelled(simulation: CellSimulation, requiredLabel: string): void {
  const shape = { ...SHAPE, requiredLabel };
  simulation.offer(batchOf({ shape, slackFactor: 50, deadlineInMs: 20_000 }));
  simulation.advance(100);
}

describe('a worker that has restarted with other labels', () => {
  // Guards against tasks that run on a worker without the label that they require.
  it('gets no task by the labels of the process before', () => {
    const simulation = replacedWorker();
    offerLabelled(simulation, 'a');
    expect(simulation.starts).toEqual([]);
  });

  // Guards against a worker that stays unused until the list is read anyway.
  it('has the list of workers read soon, once for each process', () => {
    const simulation = replacedWorker();
    expect(simulation.listRequests).toEqual(0);
    simulation.advance(1000);
    expect(simulation.listRequests).toEqual(1);
  });

  it('gets tasks by its own labels once its entry is known', () => {
    const simulation = replacedWorker();
    const labels = ['b', 'r1-1'];
    const entry = entryOf({ labels, processStartMs: SECOND_START_MS });
    simulation.cell.setWorkers({ entries: [entry], readAtMs: simulation.nowMs }, simulation.nowMs);
    offerLabelled(simulation, 'a');
    expect(simulation.starts).toEqual([]);
    offerLabelled(simulation, 'b');
    expect(simulation.starts.length > 0).toEqual(true);
  });

  // Guards against starts by the entry of a new process while only the one before has answered.
  it('gets no task while its entry is newer than the process that answers', () => {
    const simulation = new CellSimulation([new SimulatedWorker(entryOf({}))]);
    const entry = entryOf({ labels: ['b'], processStartMs: SECOND_START_MS });
    simulation.cell.setWorkers({ entries: [entry], readAtMs: simulation.nowMs }, simulation.nowMs);
    offerLabelled(simulation, 'b');
    expect(simulation.starts).toEqual([]);
  });
});

describe('a worker that has restarted with less room or for another service', () => {
  // Guards against tasks that bring a worker without guards over its capacity.
  it('gets no task by the capacity of the process before', () => {
    const simulation = replacedWorker();
    simulation.offer(batchOf({ slackFactor: 50, deadlineInMs: 20_000 }));
    simulation.advance(100);
    expect(simulation.starts).toEqual([]);
    const entry = entryOf({ cpuMillis: SHAPE.cpuMillis, processStartMs: SECOND_START_MS });
    simulation.cell.setWorkers({ entries: [entry], readAtMs: simulation.nowMs }, simulation.nowMs);
    expect(simulation.cell.summary(simulation.nowMs).capacityCpuMillis).toEqual(SHAPE.cpuMillis);
  });

  // Guards against tasks that run on a worker which their queue is not bound to any more.
  it('gets no task of the service of the process before', () => {
    const simulation = replacedWorker();
    const entry = entryOf({ service: 'another', processStartMs: SECOND_START_MS });
    simulation.offer(batchOf({ slackFactor: 50, deadlineInMs: 20_000 }));
    simulation.cell.setWorkers({ entries: [entry], readAtMs: simulation.nowMs }, simulation.nowMs);
    simulation.advance(100);
    expect(simulation.starts).toEqual([]);
  });
});

describe('a worker whose entry does not name its process', () => {
  // Guards against an entry from a host of an earlier version that counts for whichever process.
  it('gets no task before an entry that does has been read', () => {
    const simulation = new CellSimulation([new SimulatedWorker(entryOf({}))]);
    const unnamed: unknown = { ...entryOf({}), processStartMs: null };
    simulation.cell.setWorkers(
      { entries: [unnamed as WorkerEntry], readAtMs: simulation.nowMs },
      simulation.nowMs,
    );
    offerLabelled(simulation, 'a');
    expect(simulation.starts).toEqual([]);
    simulation.readEntries();
    offerLabelled(simulation, 'a');
    expect(simulation.starts.length > 0).toEqual(true);
  });
});
