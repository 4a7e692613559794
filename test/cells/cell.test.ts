/** Tests of the owner's side of a cell against simulated workers in virtual time. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { StartAnswer } from '../../src/cells/actions';
import { BatchReason, type BatchOutcome } from '../../src/cells/messages';
import { batchOf, CellSimulation } from './cellSimulation';
import { SETTLE, startsOf, cellWithStart, asSentToNextOwner } from './cellFixtures';

describe('a cell that serves batches', () => {
  it('runs all tasks of a batch once and reports it done', () => {
    const simulation = CellSimulation.withWorkers(2);
    const record = simulation.offer(batchOf({ taskCount: 4 }));
    simulation.advance(100);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(simulation.starts.length).toEqual(4);
    expect(simulation.overlaps).toEqual([]);
  });

  it('never starts more tasks on a worker than fit', () => {
    const simulation = CellSimulation.withWorkers(1);
    simulation.offer(batchOf({ taskCount: 6, estimateMs: 60, goalMs: 600 }));
    for (let ms = 0; ms < 300; ms += 1) {
      simulation.advance(1);
      expect(simulation.workers[0]?.usedCpuMillis ?? 0).toBeLessThanOrEqual(64_000);
    }
    expect(simulation.tally('unlock').inTime).toEqual(1);
  });

  it('immediately refuses a batch that cannot end in time', () => {
    const simulation = CellSimulation.withWorkers(1);
    simulation.offer(batchOf({ ...SETTLE, taskCount: 2 }));
    const record = simulation.offer(batchOf({ ...SETTLE, taskCount: 4 }));
    expect(record.outcome?.type).toEqual('refused');
    expect(record.endedAtMs - record.offeredAtMs).toEqual(0);
  });

  it('refuses a task that no worker could ever run', () => {
    const simulation = CellSimulation.withWorkers(1);
    const shape = { ...batchOf().shape, cpuMillis: 70_000 };
    const record = simulation.offer(batchOf({ shape }));
    const reason = record.outcome?.type === 'refused' ? record.outcome.reason : null;
    expect(reason).toEqual(BatchReason.impossible);
  });

  it('reserves a worker for a large task, so that small tasks do not starve it', () => {
    const simulation = CellSimulation.withWorkers(1);
    simulation.offer(batchOf({ taskCount: 2 }));
    const large = simulation.offer(
      batchOf({ shape: { ...batchOf().shape, cpuMillis: 60_000 }, goalMs: 400 }),
    );
    for (let ms = 0; ms < 300; ms += 10) {
      if (ms % 20 === 0) simulation.offer(batchOf({ goalMs: 900, queue: 'check', priority: 1 }));
      simulation.advance(10);
    }
    expect(large.outcome).toEqual({ type: 'done' });
  });
});

describe('a cell whose owner was paused', () => {
  // Guards against starts triggered by a report, an answer or a batch that is processed before a
  // withdrawal that also arrived during the pause.
  it('starts no task for 450 ms, whatever messages arrive', () => {
    const { cell, task, run, workerId } = cellWithStart();
    cell.ownerResumed(2300, 3000);
    cell.startAnswered(task, run, workerId, StartAnswer.accepted, 3001);
    cell.report('w0', { sentAtMs: 3001, processStartMs: 1, running: [], ended: [] }, 3002);
    cell.report('w1', { sentAtMs: 3001, processStartMs: 1, running: [], ended: [] }, 3002);
    const long = { deadlineInMs: 9000, goalMs: 9000 };
    cell.offer(batchOf(long), 3003);
    cell.withdraw('other', BatchReason.withdrawn, 3004);
    cell.tick(3449);
    expect(startsOf(cell)).toEqual([]);
    cell.tick(3450);
    expect(startsOf(cell).length).toEqual(1);
  });
});

describe('a batch whose deadline has passed on arrival', () => {
  const OVER = { deadlineInMs: -1, goalMs: 9000, estimateMs: 500 } as const;

  // Guards against a start for a caller that no longer waits.
  it('is refused as not run, even if its job has begun', () => {
    const simulation = CellSimulation.withWorkers(2);
    const records = [batchOf(OVER), batchOf({ ...OVER, begun: true })].map((batch) =>
      simulation.offer(batch),
    );
    simulation.advance(1000);
    const refusal: BatchOutcome = {
      type: 'refused',
      reason: BatchReason.deadline,
      retryAfterMs: 100,
    };
    expect(simulation.starts).toEqual([]);
    expect(records.map(({ outcome }) => outcome)).toEqual([refusal, refusal]);
  });

  // Guards against refusing tasks as not run that the previous owner has started, and against
  // starting the others.
  it('is lost if its tasks may be running: the runs are stopped and reported as started', () => {
    const before = CellSimulation.withWorkers(1);
    const batch = batchOf({ estimateMs: 500, goalMs: 9000, deadlineInMs: 9000 });
    before.offer(batch);
    before.advance(100);
    const after = new CellSimulation(before.workers, before.nowMs);
    const late = { ...asSentToNextOwner(batch), deadlineInMs: -1 };
    const waiting = { name: 'waiting', failures: 0, lastRun: 0, mayRun: false };
    const record = after.offer({ ...late, tasks: [...late.tasks, waiting] });
    expect(record.outcome).toEqual({
      type: 'lost',
      reason: BatchReason.deadline,
      started: batch.tasks.map(({ name }) => name),
      succeeded: [],
    });
    after.advance(50);
    expect(after.workers.flatMap(({ runs }) => [...runs.keys()])).toEqual([]);
    expect(after.starts).toEqual([]);
  });

  // Guards against losing work that ended in time under the previous owner.
  it('is done if all of its tasks succeeded under the previous owner', () => {
    const before = CellSimulation.withWorkers(1);
    const batch = batchOf();
    before.offer(batch);
    before.advance(59);
    const after = new CellSimulation(before.workers, before.nowMs);
    after.advance(20);
    const record = after.offer({ ...asSentToNextOwner(batch), deadlineInMs: -1 });
    expect(record.outcome).toEqual({ type: 'done' });
  });
});
