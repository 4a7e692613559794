/** Tests of the owner's side of a cell against simulated workers in virtual time. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RunOutcome, StartAnswer, type CellAction } from '../../src/cells/actions';
import { Cell } from '../../src/cells/cell';
import { CrashHistory } from '../../src/cells/crashHistory';
import { BatchReason, type BatchOutcome, type TaskBatch } from '../../src/cells/messages';
import { batchOf, CellSimulation } from './cellSimulation';
import { workerEntry } from './simulatedWorker';

const SETTLE = { queue: 'settle', priority: 2, estimateMs: 900, deadlineInMs: 6000 } as const;
const CHECK = { queue: 'check', priority: 1, estimateMs: 200, deadlineInMs: 2500 } as const;

const OPTIONS = {
  leaseMs: 1050,
  submitterTimeoutMs: 1300,
  abandonDetectionMs: 1000,
  missingGraceMs: 2500,
};

type Start = Extract<CellAction, { type: 'start' }>;

function startsOf(cell: Cell): readonly Start[] {
  return cell.takeActions().filter((action): action is Start => action.type === 'start');
}

/** A cell of two workers, one of which has answered a start at 4 ms but not listed the run yet. */
function cellWithStart(
  answer: StartAnswer = StartAnswer.accepted,
): Pick<Start, 'task' | 'run' | 'workerId'> & { readonly cell: Cell } {
  const cell = new Cell('sofia-a', OPTIONS, new CrashHistory(() => 0, 120_000));
  const entries = ['w0', 'w1'].map((id) => workerEntry(id, 64_000));
  cell.setWorkers(entries, 0);
  entries.forEach(({ id }) =>
    cell.report(id, { sentAtMs: 0, processStartMs: 1, running: [], ended: [] }, 1),
  );
  cell.offer(batchOf({ taskCount: 1, deadlineInMs: 3000, goalMs: 1000 }), 2);
  const { task = '', run = 0, workerId = '' } = startsOf(cell)[0] ?? {};
  cell.startAnswered(task, run, workerId, answer, 4);
  return { cell, task, run, workerId };
}

/** The batch as its submitter sends it to the next owner of the cell. */
function asSentToNextOwner(batch: TaskBatch): TaskBatch {
  const tasks = batch.tasks.map((task) => ({ ...task, mayRun: true }));
  return {
    ...batch,
    batchId: `${batch.batchId}-again`,
    mayRun: true,
    begun: true,
    tasks,
  };
}

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
    cell.setWorkers(entries, 0);
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
    cell.setWorkers([workerEntry('w0'), workerEntry('w1')], 0);
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
    cell.setWorkers([workerEntry('w0')], 0);
    cell.offer(batchOf({ jobId, begun: true, deadlineInMs: 3000, goalMs: 1000 }), 1);
    const running = [{ task: 'again.0.0.0', run: 3, percent: 5 }];
    cell.report('w0', { sentAtMs: 2, processStartMs: 1, running, ended: [] }, 3);
    expect(startsOf(cell)).toEqual([]);
    cell.report('w0', { sentAtMs: 4, processStartMs: 1, running: [], ended: [] }, 5);
    expect(startsOf(cell).map(({ run }) => run)).toEqual([4]);
  });
});
