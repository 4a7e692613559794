/** Where a task that was on a lost worker is placed, with which neighbours, and how many at once. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Batch, type TaskEntry } from '../../src/cells/batch';
import { chooseIsolation } from '../../src/cells/isolation';
import { chooseWorker, type PlacementQuery } from '../../src/cells/placement';
import { createRun, Isolation, runKey } from '../../src/cells/run';
import { CellWorker } from '../../src/cells/worker';
import { LOCAL_SUBMITTER } from '../../src/cells/submitterContact';
import { batchOf } from './cellSimulation';
import { workerEntry } from './simulatedWorker';

const EXPECTED_MS = 60;

/** A batch of one task whose deadline is `deadlineInMs` away at time 0. */
function batchWithin(deadlineInMs: number): Batch {
  return new Batch(batchOf({ deadlineInMs }), LOCAL_SUBMITTER, EXPECTED_MS, 0, 0);
}

function addRun(worker: CellWorker, task: string, isolation: Isolation): void {
  const { shape } = batchOf();
  const workerId = worker.entry.id;
  const ids = { task, run: 1, workerId, jobId: task, batchId: 'batch', queue: 'unlock' };
  const times = { expectedMs: EXPECTED_MS, startExpiresMs: 1000 };
  worker.runs.set(runKey(task, 1), createRun({ ...ids, ...times, shape, isolation }, 0));
}

/** Workers with room for four tasks each; each has runs of the given isolations. */
function workersWith(...isolations: (readonly Isolation[])[]): readonly CellWorker[] {
  return isolations.map((runs, index) => {
    const worker = new CellWorker(workerEntry(`w${index}`, 108_000));
    worker.reachable = true;
    worker.processStartMs = worker.entry.processStartMs;
    runs.forEach((isolation, number) => addRun(worker, `job${index}.0.0.${number}`, isolation));
    return worker;
  });
}

function taskOf(batch: Batch): TaskEntry {
  const [task] = batch.tasks;
  if (!task) throw new Error('a batch has a task');
  return task;
}

/** The choice for a task whose deadline is `deadlineInMs` away at time 0. */
function choiceFor(
  deadlineInMs: number,
  workers: readonly CellWorker[],
  nowMs: number,
): readonly Isolation[] {
  const batch = batchWithin(deadlineInMs);
  return chooseIsolation(batch, taskOf(batch), workers, nowMs);
}

function placed(workers: readonly CellWorker[], isolation: Isolation): string | null {
  const { shape } = batchOf();
  const task = taskOf(batchWithin(1000));
  const query: PlacementQuery = {
    shape,
    task,
    jobId: 'other',
    reserved: new Map(),
    isolation,
    expectedMs: EXPECTED_MS,
    contactExpiresMs: Infinity,
    nowMs: 0,
  };
  return chooseWorker(workers, query)?.entry.id ?? null;
}

const { none, apart, exclusive } = Isolation;

describe('a task that was on a lost worker', () => {
  it('gets a worker for itself', () => {
    expect(placed(workersWith([none], [], [none]), exclusive)).toEqual('w1');
    expect(placed(workersWith([none], [none]), exclusive)).toEqual(null);
  });

  // Guards against two suspects on one worker, of which neither could be told to be the cause.
  it('is never placed beside another one, and beside as few tasks as possible', () => {
    expect(placed(workersWith([apart], [none, none], [none]), apart)).toEqual('w2');
    expect(placed(workersWith([apart]), apart)).toEqual(null);
  });

  it('waits for a worker of its own', () => {
    expect(choiceFor(1000, workersWith([none]), 0)).toEqual([exclusive]);
  });

  // Guards against tasks that wait for an idle worker of a busy cell until their deadline.
  it('waits for 300 ms at most', () => {
    const batch = batchWithin(60_000);
    const waiting = { ...taskOf(batch), isolatedSinceMs: 0 };
    expect(chooseIsolation(batch, waiting, workersWith([none]), 299)).toEqual([exclusive]);
    expect(chooseIsolation(batch, waiting, workersWith([none]), 300)).toEqual([exclusive, apart]);
  });

  // Guards against tasks that miss their deadline while they wait for an idle worker.
  it('starts beside other tasks at once when its deadline is near', () => {
    expect(choiceFor(1000, workersWith([none]), 900)).toEqual([exclusive, apart]);
  });

  // Guards against a cell that gives all its workers away after the loss of some.
  it('takes at most an eighth of the workers, together with the others like it', () => {
    const idle = Array.from({ length: 15 }, () => []);
    const one = workersWith([exclusive], ...idle);
    expect(choiceFor(1000, one, 0)).toEqual([exclusive]);
    const two = workersWith([exclusive], [exclusive], ...idle.slice(1));
    expect(choiceFor(1000, two, 0)).toEqual([]);
    expect(choiceFor(1000, two, 900)).toEqual([apart]);
  });
});

describe('an ordinary task', () => {
  it('is not placed on a worker that another task has for itself', () => {
    expect(placed(workersWith([exclusive]), none)).toEqual(null);
  });

  it('prefers a worker without a task that may crash it, and takes the other one otherwise', () => {
    expect(placed(workersWith([apart], []), none)).toEqual('w1');
    expect(placed(workersWith([apart]), none)).toEqual('w0');
  });
});
