/** A cell that changes owner, and jobs that come again after it. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RunOutcome } from '../../src/cells/actions';
import { Cell } from '../../src/cells/cell';
import { CrashHistory } from '../../src/cells/crashHistory';
import { BatchReason } from '../../src/cells/messages';
import { batchOf, CellSimulation } from './cellSimulation';
import { workerEntry } from './simulatedWorker';
import { SETTLE, OPTIONS, startsOf, asSentToNextOwner } from './cellFixtures';

describe('a cell that changes owner', () => {
  it('adopts the runs of the previous owner instead of starting their tasks again', () => {
    const first = CellSimulation.withWorkers(2);
    const batch = batchOf({ ...SETTLE, taskCount: 3 });
    const before = first.offer(batch);
    first.advance(300);
    first.cell.handOver(first.nowMs);
    expect(first.cell.takeActions().some((action) => action.type === 'end')).toEqual(true);
    const second = new CellSimulation(first.workers, first.nowMs);
    const after = second.offer(asSentToNextOwner(batch));
    second.advance(1500);
    expect(before.outcome).toEqual(null);
    expect(after.outcome).toEqual({ type: 'done' });
    expect(second.starts).toEqual([]);
  });

  it('uses the end of a run that occurred while the cell had no owner', () => {
    const first = CellSimulation.withWorkers(1);
    const batch = batchOf({ taskCount: 1 });
    first.offer(batch);
    first.advance(30);
    const [worker] = first.workers;
    worker?.finish(`${batch.tasks[0]?.name}#1`, 'succeeded');
    const second = new CellSimulation(first.workers, first.nowMs + 20);
    const after = second.offer(asSentToNextOwner(batch));
    expect(after.outcome).toEqual({ type: 'done' });
    expect(second.starts).toEqual([]);
  });

  it('claims a run that a worker reports after the batch has arrived', () => {
    const first = CellSimulation.withWorkers(1);
    const batch = batchOf({ ...SETTLE, taskCount: 2 });
    first.offer(batch);
    first.advance(100);
    const second = new CellSimulation(first.workers, first.nowMs, undefined, false);
    const after = second.offer(asSentToNextOwner(batch));
    second.advance(1000);
    expect(after.outcome).toEqual({ type: 'done' });
    expect(second.starts).toEqual([]);
  });

  it('does not start a task that may be running on a worker which has not reported yet', () => {
    const first = CellSimulation.withWorkers(2);
    const batch = batchOf({ ...SETTLE, taskCount: 1 });
    first.offer(batch);
    first.advance(100);
    const second = new CellSimulation(first.workers, first.nowMs, undefined, false);
    second.advance(1);
    const busy = second.workers.find(({ runs }) => runs.size > 0);
    Object.assign(busy?.faults ?? {}, { silent: true });
    second.advance(3000);
    second.offer(asSentToNextOwner(batch));
    second.advance(1000);
    expect(second.starts).toEqual([]);
    second.advance(1500);
    expect(second.starts.length).toEqual(1);
    expect(second.overlaps).toEqual([]);
  });

  it('reports a task as started on handover while a run of an earlier owner may go on', () => {
    const first = CellSimulation.withWorkers(2);
    const batch = batchOf({ ...SETTLE, taskCount: 2 });
    first.offer(batch);
    first.advance(100);
    const second = new CellSimulation(first.workers, first.nowMs, undefined, false);
    second.offer(asSentToNextOwner(batch));
    second.cell.handOver(second.nowMs);
    const end = second.cell.takeActions().find((action) => action.type === 'end');
    const outcome = end?.type === 'end' ? end.outcome : null;
    expect(outcome?.type === 'lost' ? outcome.started : null).toEqual(
      batch.tasks.map(({ name }) => name),
    );
  });

  it('stops runs that no submitter claims', () => {
    const first = CellSimulation.withWorkers(1);
    first.offer(batchOf({ ...SETTLE }));
    first.advance(50);
    const second = new CellSimulation(first.workers, first.nowMs);
    second.advance(800);
    expect(second.workers[0]?.runs.size).toEqual(0);
  });

  // Guards against a second run while the first continues under a lease of the previous owner.
  it('waits for the longest lease of the previous owner when the worker stops answering', () => {
    const first = CellSimulation.withWorkers(2);
    const batch = batchOf({ ...SETTLE, estimateMs: 2000, deadlineInMs: 6000, taskCount: 1 });
    first.offer(batch);
    first.advance(100);
    const second = new CellSimulation(first.workers, first.nowMs);
    const busy = second.workers.find(({ runs }) => runs.size > 0);
    Object.assign(busy?.faults ?? {}, { silent: true });
    second.offer({ ...batch, batchId: `${batch.batchId}-resubmitted`, begun: true });
    second.advance(3000);
    expect(second.starts.length).toEqual(1);
    expect(second.overlaps).toEqual([]);
  });

  // Guards against a second run if the previous owner moved the task to a worker that has not
  // reported.
  it('does not start a task after the end of one run while a later run may be in progress', () => {
    const cell = new Cell('sofia-a', OPTIONS, new CrashHistory(() => 0, 120_000));
    const entries = ['w0', 'w1'].map((id) => workerEntry(id, 64_000));
    cell.setWorkers({ entries, readAtMs: 0 }, 0);
    const batch = asSentToNextOwner(batchOf({ taskCount: 1, deadlineInMs: 5000, goalMs: 4000 }));
    const task = batch.tasks[0]?.name ?? '';
    const ends = [RunOutcome.stopped, RunOutcome.failed, RunOutcome.lapsed];
    const ended = ends.map((end, index) => ({ sequence: index + 1, task, run: index + 1, end }));
    cell.report('w0', { sentAtMs: 1, processStartMs: 1, running: [], ended }, 2);
    cell.offer(batch, 3);
    expect(startsOf(cell)).toEqual([]);
    cell.report(
      'w1',
      { sentAtMs: 1, processStartMs: 1, running: [{ task, run: 4, percent: 5 }], ended: [] },
      40,
    );
    cell.tick(60);
    expect(startsOf(cell)).toEqual([]);
    cell.report(
      'w1',
      {
        sentAtMs: 41,
        processStartMs: 1,
        running: [],
        ended: [{ sequence: 1, task, run: 4, end: RunOutcome.succeeded }],
      },
      90,
    );
    expect(cell.pending).toEqual(0);
    expect(startsOf(cell)).toEqual([]);
  });

  // Without these lines, the log does not distinguish a stop for a lost submitter from other stops.
  it('logs the reason of each stop, and ends that no batch waits for', () => {
    const first = CellSimulation.withWorkers(1);
    first.offer(batchOf({ ...SETTLE }));
    first.advance(50);
    const second = new CellSimulation(first.workers, first.nowMs);
    second.advance(800);
    const fieldsOf = (name: string) =>
      second.decisions.filter(({ decision }) => decision === name).map(({ fields }) => fields);
    expect(fieldsOf('run-stop').map(({ reason }) => reason)).toEqual(['unclaimed']);
    expect(fieldsOf('run-end-unclaimed').map(({ end }) => end)).toEqual(['stopped']);
  });

  it('logs the reason of a withdrawal with each stop that it causes', () => {
    const simulation = CellSimulation.withWorkers(1);
    const { batch } = simulation.offer(batchOf({ ...SETTLE, taskCount: 2 }));
    simulation.advance(50);
    simulation.cell.withdraw(batch.batchId, BatchReason.unreachable, simulation.nowMs);
    simulation.advance(50);
    const stops = simulation.decisions.filter(({ decision }) => decision === 'run-stop');
    expect(stops.map(({ fields }) => fields.reason)).toEqual(['unreachable', 'unreachable']);
  });
});

describe('a cell that receives a resubmitted job', () => {
  const jobId = 'again';

  // Guards against two batches that both start a task that is still waiting when the second
  // arrives.
  it('ends a waiting first submission as lost, so that it is not sent to another cell', () => {
    const simulation = CellSimulation.withWorkers(1);
    simulation.offer(batchOf({ ...SETTLE, taskCount: 2 }));
    const waiting = { ...SETTLE, jobId, begun: true, goalMs: 5000 };
    const first = simulation.offer(batchOf(waiting));
    const second = simulation.offer(batchOf(waiting));
    simulation.advance(2000);
    expect([first.outcome?.type, second.outcome?.type]).toEqual(['lost', 'done']);
    expect(simulation.starts.filter(({ task }) => task === 'again.0.0.0').length).toEqual(1);
  });

  // Guards against a refusal that sends a task to another cell while its run is being stopped here.
  it('does not refuse a submission while a run of its tasks is being stopped', () => {
    const simulation = CellSimulation.withWorkers(1);
    const first = simulation.offer(batchOf({ ...SETTLE, jobId, taskCount: 2 }));
    simulation.advance(100);
    simulation.cell.withdraw(first.batch.batchId, BatchReason.withdrawn, simulation.nowMs);
    const other = simulation.offer(batchOf({ ...SETTLE, taskCount: 2 }));
    const second = simulation.offer(batchOf({ ...SETTLE, jobId, taskCount: 2 }));
    expect([other.outcome?.type, second.outcome]).toEqual(['refused', null]);
    simulation.advance(2500);
    expect(second.outcome).toEqual({ type: 'done' });
    expect(simulation.overlaps).toEqual([]);
  });

  // Guards against a start refused for its run number, and against using the result of an earlier
  // submission.
  it('reruns a task whose end was not claimed, with a higher run number', () => {
    const before = CellSimulation.withWorkers(1);
    before.offer(batchOf({ jobId }));
    before.advance(30);
    before.workers[0]?.finish('again.0.0.0#1', 'succeeded');
    const simulation = new CellSimulation(before.workers, before.nowMs + 20);
    const record = simulation.offer(batchOf({ jobId }));
    simulation.advance(100);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(simulation.starts.map(({ run }) => run)).toEqual([2]);
  });

  // Guards against a start when only one of two runs from earlier owners has ended.
  it('starts a task only when all of its adopted runs have ended', () => {
    const cell = new Cell('sofia-a', OPTIONS, new CrashHistory(() => 0, 120_000));
    cell.setWorkers({ entries: [workerEntry('w0'), workerEntry('w1')], readAtMs: 0 }, 0);
    const name = 'again.0.0.0';
    const listOf = (run: number) => [{ task: name, run, percent: 5 }];
    const endOf = (run: number) => [{ sequence: 1, task: name, run, end: RunOutcome.lapsed }];
    cell.report('w0', { sentAtMs: 1, processStartMs: 1, running: listOf(1), ended: [] }, 2);
    cell.report('w1', { sentAtMs: 1, processStartMs: 1, running: listOf(2), ended: [] }, 2);
    cell.offer(batchOf({ jobId, begun: true, deadlineInMs: 3000, goalMs: 1000 }), 3);
    cell.report('w0', { sentAtMs: 4, processStartMs: 1, running: [], ended: endOf(1) }, 5);
    expect(startsOf(cell)).toEqual([]);
    cell.report('w1', { sentAtMs: 6, processStartMs: 1, running: [], ended: endOf(2) }, 7);
    expect(startsOf(cell).map(({ run }) => run)).toEqual([3]);
  });

  // Guards against a start beside a run that its worker reports after the submission has arrived.
  it('claims a run that is found while its task is waiting', () => {
    const cell = new Cell('sofia-a', OPTIONS, new CrashHistory(() => 0, 120_000));
    cell.setWorkers({ entries: [workerEntry('w0')], readAtMs: 0 }, 0);
    cell.offer(batchOf({ jobId, begun: true, deadlineInMs: 3000, goalMs: 1000 }), 1);
    const running = [{ task: 'again.0.0.0', run: 3, percent: 5 }];
    cell.report('w0', { sentAtMs: 2, processStartMs: 1, running, ended: [] }, 3);
    expect(startsOf(cell)).toEqual([]);
    cell.report('w0', { sentAtMs: 4, processStartMs: 1, running: [], ended: [] }, 5);
    expect(startsOf(cell).map(({ run }) => run)).toEqual([4]);
  });
});
