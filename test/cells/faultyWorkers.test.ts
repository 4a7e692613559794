/** A cell whose workers fail, fall silent, restart or leave orders unanswered. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RunOutcome, StartAnswer } from '../../src/cells/actions';
import { BatchReason } from '../../src/cells/messages';
import { batchOf, CellSimulation } from './cellSimulation';
import { SETTLE, CHECK, startsOf, cellWithStart } from './cellFixtures';

describe('a cell with faulty workers', () => {
  it('fails a batch only when a task has used up the attempts that its queue allows', () => {
    const simulation = CellSimulation.withWorkers(3);
    simulation.workers.forEach(({ faults }) => Object.assign(faults, { fails: true }));
    const record = simulation.offer(batchOf({ maxAttempts: 2 }));
    simulation.advance(400);
    expect(record.outcome).toEqual({ type: 'failed', task: record.batch.tasks[0]?.name ?? '' });
    expect(simulation.starts.length).toEqual(2);
  });

  it('restarts a failed task on another worker', () => {
    const simulation = CellSimulation.withWorkers(2);
    Object.assign(simulation.workers[0]?.faults ?? {}, { fails: true });
    const records = [0, 1, 2, 3].map(() => simulation.offer(batchOf()));
    simulation.advance(400);
    expect(records.map(({ outcome }) => outcome?.type)).toEqual(['done', 'done', 'done', 'done']);
  });

  it('does not run a task twice at the same time when its worker stops answering', () => {
    const simulation = CellSimulation.withWorkers(2);
    const record = simulation.offer(batchOf({ ...SETTLE, taskCount: 1, deadlineInMs: 8000 }));
    simulation.advance(100);
    const busy = simulation.workers.find(({ runs }) => runs.size > 0);
    Object.assign(busy?.faults ?? {}, { silent: true, hangs: true });
    simulation.advance(4000);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(simulation.starts.length).toEqual(2);
    expect(simulation.overlaps).toEqual([]);
  });

  it('immediately gives up a batch whose worker is silent if too little time is left', () => {
    const simulation = CellSimulation.withWorkers(2);
    const record = simulation.offer(batchOf({ ...SETTLE, taskCount: 1, deadlineInMs: 1500 }));
    simulation.advance(100);
    simulation.workers.forEach(({ faults }) => Object.assign(faults, { silent: true }));
    simulation.advance(400);
    expect(record.outcome).toEqual({
      type: 'lost',
      reason: BatchReason.deadline,
      started: [record.batch.tasks[0]?.name ?? ''],
      succeeded: [],
    });
  });

  it('finds a run whose start had no answer in the list of runs and does not restart it', () => {
    const simulation = CellSimulation.withWorkers(1);
    Object.assign(simulation.workers[0]?.faults ?? {}, { losesStartAnswers: true });
    const record = simulation.offer(batchOf({ ...CHECK }));
    simulation.advance(400);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(simulation.starts.length).toEqual(1);
  });

  it('does not restart a task that a new worker process may have accepted already', () => {
    const { cell, task, run, workerId } = cellWithStart();
    cell.workerRestarted(workerId, 5);
    expect(startsOf(cell)).toEqual([]);
    const running = [{ task, run, percent: 5 }];
    cell.report(workerId, { sentAtMs: 3, processStartMs: 1, running, ended: [] }, 5);
    expect(startsOf(cell)).toEqual([]);
  });

  // Guards against a third run in parallel to the first one, whose start the worker carried out
  // only after all of its leases had expired.
  it('does not restart a task whose first run appears before its second has ended', () => {
    const { cell, task, run, workerId } = cellWithStart(StartAnswer.unclear);
    cell.renewed(workerId, 1100);
    cell.workerSilent(workerId, 300);
    cell.tick(1110);
    const [second] = startsOf(cell);
    expect([second?.task, second?.run, second?.workerId === workerId]).toEqual([task, 2, false]);
    const running = [{ task, run, percent: 5 }];
    cell.report(workerId, { sentAtMs: 1200, processStartMs: 1, running, ended: [] }, 1201);
    const ended = [{ sequence: 1, task, run: 2, end: RunOutcome.lapsed }];
    cell.report(
      second?.workerId ?? '',
      { sentAtMs: 1200, processStartMs: 1, running: [], ended },
      1210,
    );
    expect(startsOf(cell)).toEqual([]);
    const late = [{ sequence: 1, task, run, end: RunOutcome.lapsed }];
    cell.report(workerId, { sentAtMs: 1220, processStartMs: 1, running: [], ended: late }, 1230);
    expect(startsOf(cell).map((start) => [start.task, start.run])).toEqual([[task, 3]]);
  });

  // Guards against a task blocked until its deadline by a worker that another process has replaced.
  it('starts a task elsewhere after lease expiry if a restarted worker reports no list', () => {
    const { cell, task, run, workerId } = cellWithStart(StartAnswer.unclear);
    cell.renewed(workerId, 1100);
    cell.workerRestarted(workerId, 130);
    cell.tick(1000);
    expect(startsOf(cell)).toEqual([]);
    cell.tick(1200);
    expect(startsOf(cell).map((start) => [start.task, start.run])).toEqual([[task, run + 1]]);
  });

  it('immediately restarts a task when the worker that ran it has restarted', () => {
    const { cell, task, run, workerId } = cellWithStart();
    cell.report(
      workerId,
      { sentAtMs: 5, processStartMs: 1, running: [{ task, run, percent: 5 }], ended: [] },
      6,
    );
    cell.workerRestarted(workerId, 7);
    expect(startsOf(cell).map((start) => start.task)).toEqual([task]);
  });

  // Guards against a second run of a task whose success is reported in a later page of the ends.
  it('does not treat an unlisted run as over while the worker has more ends to report', () => {
    const { cell, task, run, workerId } = cellWithStart();
    const other = { sequence: 1, task: 'other.0.0.0', run: 1, end: RunOutcome.succeeded };
    cell.report(
      workerId,
      { sentAtMs: 5, processStartMs: 1, running: [], ended: [other], hasMoreEnded: true },
      6,
    );
    expect(startsOf(cell)).toEqual([]);
    const ended = [{ sequence: 501, task, run, end: RunOutcome.succeeded }];
    cell.report(workerId, { sentAtMs: 7, processStartMs: 1, running: [], ended }, 8);
    expect(cell.pending).toEqual(0);
  });

  it('moves a stalled run to another worker', () => {
    const simulation = CellSimulation.withWorkers(2);
    Object.assign(simulation.workers[0]?.faults ?? {}, { hangs: true });
    Object.assign(simulation.workers[1]?.faults ?? {}, { slowness: 1.2 });
    const record = simulation.offer(batchOf({ ...CHECK }));
    simulation.advance(2000);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(simulation.overlaps).toEqual([]);
    expect(simulation.decisions.some(({ decision }) => decision === 'run-moved')).toEqual(true);
  });

  it('does not move the runs of a job that takes longer than declared', () => {
    const simulation = new CellSimulation(
      ['a', 'b', 'c'].map((id) => CellSimulation.worker(id)),
      0,
      (batch) => batch.estimateMs * 3,
    );
    const record = simulation.offer(batchOf({ ...SETTLE, estimateMs: 300, taskCount: 5 }));
    simulation.advance(2500);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(simulation.starts.length).toEqual(5);
  });

  it('gives a batch up as soon as its progress shows that it cannot meet its deadline', () => {
    const simulation = new CellSimulation(
      ['a', 'b'].map((id) => CellSimulation.worker(id)),
      0,
      (batch) => batch.estimateMs * 4,
    );
    const record = simulation.offer(batchOf({ ...SETTLE, taskCount: 2, deadlineInMs: 2000 }));
    simulation.advance(1000);
    expect(record.outcome?.type).toEqual('lost');
    simulation.advance(100);
    expect(simulation.workers.every(({ runs }) => runs.size === 0)).toEqual(true);
  });
});
