/** The owner's side of a cell, against simulated workers in virtual time. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RunOutcome, StartAnswer, type CellAction } from '../../src/cells/actions';
import { Cell } from '../../src/cells/cell';
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

/** A cell of two workers, one of which has answered a start at 4 ms and not listed it yet. */
function cellWithStart(
  answer: StartAnswer = StartAnswer.accepted,
): Pick<Start, 'task' | 'run' | 'workerId'> & { readonly cell: Cell } {
  const cell = new Cell('sofia-a', OPTIONS);
  const entries = ['w0', 'w1'].map((id) => workerEntry(id, 64_000));
  cell.setWorkers(entries, 0);
  entries.forEach(({ id }) => cell.report(id, { sentAtMs: 0, running: [], ended: [] }, 1));
  cell.offer(batchOf({ taskCount: 1, deadlineInMs: 3000, goalMs: 1000 }), 2);
  const { task = '', run = 0, workerId = '' } = startsOf(cell)[0] ?? {};
  cell.startAnswered(task, run, workerId, answer, 4);
  return { cell, task, run, workerId };
}

/** The batch as it comes to the next owner of the cell. */
function again(batch: TaskBatch): TaskBatch {
  const tasks = batch.tasks.map((task) => ({ ...task, mayRun: true }));
  return { ...batch, batchId: `${batch.batchId}-again`, mayRun: true, begun: true, tasks };
}

describe('a cell serves batches', () => {
  it('runs all tasks of a batch once and reports it done', () => {
    const world = CellSimulation.withWorkers(2);
    const record = world.offer(batchOf({ taskCount: 4 }));
    world.advance(100);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(world.starts.length).toEqual(4);
    expect(world.overlaps).toEqual([]);
  });

  it('never starts more on a worker than fits', () => {
    const world = CellSimulation.withWorkers(1);
    world.offer(batchOf({ taskCount: 6, estimateMs: 60, goalMs: 600 }));
    for (let ms = 0; ms < 300; ms += 1) {
      world.advance(1);
      expect(world.workers[0]?.usedCpuMillis ?? 0).toBeLessThanOrEqual(64_000);
    }
    expect(world.tally('unlock').inTime).toEqual(1);
  });

  it('refuses at once, with a time to return, what can not end in time', () => {
    const world = CellSimulation.withWorkers(1);
    world.offer(batchOf({ ...SETTLE, taskCount: 2 }));
    const record = world.offer(batchOf({ ...SETTLE, taskCount: 4 }));
    expect(record.outcome?.type).toEqual('refused');
    expect(record.endedAtMs - record.offeredAtMs).toEqual(0);
  });

  it('refuses a task that no worker could ever run', () => {
    const world = CellSimulation.withWorkers(1);
    const shape = { ...batchOf().shape, cpuMillis: 70_000 };
    const record = world.offer(batchOf({ shape }));
    const reason = record.outcome?.type === 'refused' ? record.outcome.reason : null;
    expect(reason).toEqual(BatchReason.impossible);
  });

  it('holds a worker free for a large task that small ones would overtake for ever', () => {
    const world = CellSimulation.withWorkers(1);
    world.offer(batchOf({ taskCount: 2 }));
    const large = world.offer(
      batchOf({ shape: { ...batchOf().shape, cpuMillis: 60_000 }, goalMs: 400 }),
    );
    for (let ms = 0; ms < 300; ms += 10) {
      if (ms % 20 === 0) world.offer(batchOf({ goalMs: 900, queue: 'check', priority: 1 }));
      world.advance(10);
    }
    expect(large.outcome).toEqual({ type: 'done' });
  });
});

describe('a cell under faults of its workers', () => {
  it('fails a batch only when a task has failed as often as its queue allows', () => {
    const world = CellSimulation.withWorkers(3);
    world.workers.forEach(({ faults }) => Object.assign(faults, { fails: true }));
    const record = world.offer(batchOf({ maxAttempts: 2 }));
    world.advance(400);
    expect(record.outcome).toEqual({ type: 'failed', task: record.batch.tasks[0]?.name ?? '' });
    expect(world.starts.length).toEqual(2);
  });

  it('starts a failed task again on another worker', () => {
    const world = CellSimulation.withWorkers(2);
    Object.assign(world.workers[0]?.faults ?? {}, { fails: true });
    const records = [0, 1, 2, 3].map(() => world.offer(batchOf()));
    world.advance(400);
    expect(records.map(({ outcome }) => outcome?.type)).toEqual(['done', 'done', 'done', 'done']);
  });

  it('never runs a task twice at a time when its worker falls silent', () => {
    const world = CellSimulation.withWorkers(2);
    const record = world.offer(batchOf({ ...SETTLE, taskCount: 1, deadlineInMs: 8000 }));
    world.advance(100);
    const busy = world.workers.find(({ runs }) => runs.size > 0);
    Object.assign(busy?.faults ?? {}, { silent: true, hangs: true });
    world.advance(4000);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(world.starts.length).toEqual(2);
    expect(world.overlaps).toEqual([]);
  });

  it('gives a batch up at once when its worker is silent and no time is left', () => {
    const world = CellSimulation.withWorkers(2);
    const record = world.offer(batchOf({ ...SETTLE, taskCount: 1, deadlineInMs: 1500 }));
    world.advance(100);
    world.workers.forEach(({ faults }) => Object.assign(faults, { silent: true }));
    world.advance(400);
    expect(record.outcome).toEqual({
      type: 'lost',
      reason: BatchReason.deadline,
      started: [record.batch.tasks[0]?.name ?? ''],
      succeeded: [],
    });
  });

  it('takes a run whose start had no answer from the list of runs, without a second start', () => {
    const world = CellSimulation.withWorkers(1);
    Object.assign(world.workers[0]?.faults ?? {}, { losesStartAnswers: true });
    const record = world.offer(batchOf({ ...CHECK }));
    world.advance(400);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(world.starts.length).toEqual(1);
  });

  it('does not start a task again that a worker, started anew, may have taken before that was known', () => {
    const { cell, task, run, workerId } = cellWithStart();
    cell.workerRestarted(workerId, 5);
    expect(startsOf(cell)).toEqual([]);
    const running = [{ task, run, percent: 5 }];
    cell.report(workerId, { sentAtMs: 3, running, ended: [] }, 5);
    expect(startsOf(cell)).toEqual([]);
  });

  // Guards against a third start beside a run that its worker carried out after all of its leases.
  it('starts no task whose first run turns up when its second has ended', () => {
    const { cell, task, run, workerId } = cellWithStart(StartAnswer.unclear);
    cell.renewed(workerId, 1100);
    cell.workerSilent(workerId, 300);
    cell.tick(1110);
    const [second] = startsOf(cell);
    expect([second?.task, second?.run, second?.workerId === workerId]).toEqual([task, 2, false]);
    const running = [{ task, run, percent: 5 }];
    cell.report(workerId, { sentAtMs: 1200, running, ended: [] }, 1201);
    const ended = [{ sequence: 1, task, run: 2, end: RunOutcome.lapsed }];
    cell.report(second?.workerId ?? '', { sentAtMs: 1200, running: [], ended }, 1210);
    expect(startsOf(cell)).toEqual([]);
    const late = [{ sequence: 1, task, run, end: RunOutcome.lapsed }];
    cell.report(workerId, { sentAtMs: 1220, running: [], ended: late }, 1230);
    expect(startsOf(cell).map((start) => [start.task, start.run])).toEqual([[task, 3]]);
  });

  // Guards against a task that is held until its deadline by a worker whose place another one has taken.
  it('starts a task elsewhere after the leases when no list follows the start of another process', () => {
    const { cell, task, run, workerId } = cellWithStart(StartAnswer.unclear);
    cell.renewed(workerId, 1100);
    cell.workerRestarted(workerId, 130);
    cell.tick(1000);
    expect(startsOf(cell)).toEqual([]);
    cell.tick(1200);
    expect(startsOf(cell).map((start) => [start.task, start.run])).toEqual([[task, run + 1]]);
  });

  it('starts a task again at once when the worker that was running it has started anew', () => {
    const { cell, task, run, workerId } = cellWithStart();
    cell.report(workerId, { sentAtMs: 5, running: [{ task, run, percent: 5 }], ended: [] }, 6);
    cell.workerRestarted(workerId, 7);
    expect(startsOf(cell).map((start) => start.task)).toEqual([task]);
  });

  // Guards against a second run of a task whose first has succeeded, in a later portion of the ends.
  it('waits for the rest of the ends when a worker has more than it lists', () => {
    const { cell, task, run, workerId } = cellWithStart();
    const other = { sequence: 1, task: 'other.0.0.0', run: 1, end: RunOutcome.succeeded };
    cell.report(workerId, { sentAtMs: 5, running: [], ended: [other], hasMoreEnded: true }, 6);
    expect(startsOf(cell)).toEqual([]);
    const ended = [{ sequence: 501, task, run, end: RunOutcome.succeeded }];
    cell.report(workerId, { sentAtMs: 7, running: [], ended }, 8);
    expect(cell.pending).toEqual(0);
  });

  it('moves a run that stands still, and rests the worker', () => {
    const world = CellSimulation.withWorkers(2);
    Object.assign(world.workers[0]?.faults ?? {}, { hangs: true });
    Object.assign(world.workers[1]?.faults ?? {}, { slowness: 1.2 });
    const record = world.offer(batchOf({ ...CHECK }));
    world.advance(2000);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(world.overlaps).toEqual([]);
    expect(world.decisions.some(({ decision }) => decision === 'run-moved')).toEqual(true);
  });

  it('does not move the runs of a job that is larger than declared', () => {
    const world = new CellSimulation(
      ['a', 'b', 'c'].map((id) => CellSimulation.worker(id)),
      0,
      (batch) => batch.estimateMs * 3,
    );
    const record = world.offer(batchOf({ ...SETTLE, estimateMs: 300, taskCount: 5 }));
    world.advance(2500);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(world.starts.length).toEqual(5);
  });

  it('gives a job up as soon as its progress shows that it can not end in time', () => {
    const world = new CellSimulation(
      ['a', 'b'].map((id) => CellSimulation.worker(id)),
      0,
      (batch) => batch.estimateMs * 4,
    );
    const record = world.offer(batchOf({ ...SETTLE, taskCount: 2, deadlineInMs: 2000 }));
    world.advance(1000);
    expect(record.outcome?.type).toEqual('lost');
    world.advance(100);
    expect(world.workers.every(({ runs }) => runs.size === 0)).toEqual(true);
  });
});

describe('a cell that changes hands', () => {
  it('adopts the runs that the previous owner started instead of starting them again', () => {
    const first = CellSimulation.withWorkers(2);
    const batch = batchOf({ ...SETTLE, taskCount: 3 });
    const before = first.offer(batch);
    first.advance(300);
    first.cell.handOver(first.nowMs);
    expect(first.cell.takeActions().some((action) => action.type === 'end')).toEqual(true);
    const second = new CellSimulation(first.workers, first.nowMs);
    const after = second.offer(again(batch));
    second.advance(1500);
    expect(before.outcome).toEqual(null);
    expect(after.outcome).toEqual({ type: 'done' });
    expect(second.starts).toEqual([]);
  });

  it('takes the end of a run that came while no owner listened', () => {
    const first = CellSimulation.withWorkers(1);
    const batch = batchOf({ taskCount: 1 });
    first.offer(batch);
    first.advance(30);
    const [worker] = first.workers;
    worker?.finish(`${batch.tasks[0]?.name}#1`, 'succeeded');
    const second = new CellSimulation(first.workers, first.nowMs + 20);
    const after = second.offer(again(batch));
    expect(after.outcome).toEqual({ type: 'done' });
    expect(second.starts).toEqual([]);
  });

  it('claims a run of which a worker tells after the batch has come', () => {
    const first = CellSimulation.withWorkers(1);
    const batch = batchOf({ ...SETTLE, taskCount: 2 });
    first.offer(batch);
    first.advance(100);
    const second = new CellSimulation(first.workers, first.nowMs, undefined, false);
    const after = second.offer(again(batch));
    second.advance(1000);
    expect(after.outcome).toEqual({ type: 'done' });
    expect(second.starts).toEqual([]);
  });

  it('starts no task that may run on a worker which has not reported to the new owner', () => {
    const first = CellSimulation.withWorkers(2);
    const batch = batchOf({ ...SETTLE, taskCount: 1 });
    first.offer(batch);
    first.advance(100);
    const second = new CellSimulation(first.workers, first.nowMs, undefined, false);
    second.advance(1);
    const busy = second.workers.find(({ runs }) => runs.size > 0);
    Object.assign(busy?.faults ?? {}, { silent: true });
    second.advance(3000);
    second.offer(again(batch));
    second.advance(1000);
    expect(second.starts).toEqual([]);
    second.advance(1500);
    expect(second.starts.length).toEqual(1);
    expect(second.overlaps).toEqual([]);
  });

  it('hands a task on as started while a run of an earlier owner may be in progress', () => {
    const first = CellSimulation.withWorkers(2);
    const batch = batchOf({ ...SETTLE, taskCount: 2 });
    first.offer(batch);
    first.advance(100);
    const second = new CellSimulation(first.workers, first.nowMs, undefined, false);
    second.offer(again(batch));
    second.cell.handOver(second.nowMs);
    const end = second.cell.takeActions().find((action) => action.type === 'end');
    const outcome = end?.type === 'end' ? end.outcome : null;
    expect(outcome?.type === 'lost' ? outcome.started : null).toEqual(
      batch.tasks.map(({ name }) => name),
    );
  });

  it('stops runs that nobody claims', () => {
    const first = CellSimulation.withWorkers(1);
    first.offer(batchOf({ ...SETTLE }));
    first.advance(50);
    const second = new CellSimulation(first.workers, first.nowMs);
    second.advance(800);
    expect(second.workers[0]?.runs.size).toEqual(0);
  });

  // Guards against a second run under a lease that this owner has not given itself.
  it('waits for the longest lease of the previous owner when the worker falls silent', () => {
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

  // Guards against a second run when the previous owner has moved the task to a worker that is yet to tell.
  it('does not start a task at the end of an earlier run while a later one may be in progress', () => {
    const cell = new Cell('sofia-a', OPTIONS);
    const entries = ['w0', 'w1'].map((id) => workerEntry(id, 64_000));
    cell.setWorkers(entries, 0);
    const batch = again(batchOf({ taskCount: 1, deadlineInMs: 5000, goalMs: 4000 }));
    const task = batch.tasks[0]?.name ?? '';
    const ends = [RunOutcome.stopped, RunOutcome.failed, RunOutcome.lapsed];
    const ended = ends.map((end, index) => ({ sequence: index + 1, task, run: index + 1, end }));
    cell.report('w0', { sentAtMs: 1, running: [], ended }, 2);
    cell.offer(batch, 3);
    expect(startsOf(cell)).toEqual([]);
    cell.report('w1', { sentAtMs: 1, running: [{ task, run: 4, percent: 5 }], ended: [] }, 40);
    cell.tick(60);
    expect(startsOf(cell)).toEqual([]);
    cell.report(
      'w1',
      {
        sentAtMs: 41,
        running: [],
        ended: [{ sequence: 1, task, run: 4, end: RunOutcome.succeeded }],
      },
      90,
    );
    expect(cell.pending).toEqual(0);
    expect(startsOf(cell)).toEqual([]);
  });

  // Without these lines, a stop for a submitter that is gone can not be told from any other.
  it('logs why it stops a run, and an end that nobody waits for', () => {
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

  it('logs the reason of a batch that is withdrawn with each stop', () => {
    const world = CellSimulation.withWorkers(1);
    const { batch } = world.offer(batchOf({ ...SETTLE, taskCount: 2 }));
    world.advance(50);
    world.cell.withdraw(batch.batchId, BatchReason.unreachable, world.nowMs);
    world.advance(50);
    const stops = world.decisions.filter(({ decision }) => decision === 'run-stop');
    expect(stops.map(({ fields }) => fields.reason)).toEqual(['unreachable', 'unreachable']);
  });
});

describe('a cell whose owner stood still', () => {
  // Guards against starts by a report, an answer or a batch that is read before a withdrawal.
  it('starts nothing for 450 ms, whatever it is told', () => {
    const { cell, task, run, workerId } = cellWithStart();
    cell.ownerResumed(2300, 3000);
    cell.startAnswered(task, run, workerId, StartAnswer.accepted, 3001);
    cell.report('w0', { sentAtMs: 3001, running: [], ended: [] }, 3002);
    cell.report('w1', { sentAtMs: 3001, running: [], ended: [] }, 3002);
    const long = { deadlineInMs: 9000, goalMs: 9000 };
    cell.offer(batchOf(long), 3003);
    cell.withdraw('other', BatchReason.withdrawn, 3004);
    cell.tick(3449);
    expect(startsOf(cell)).toEqual([]);
    cell.tick(3450);
    expect(startsOf(cell).length).toEqual(1);
  });
});

describe('a batch whose deadline is over when it comes', () => {
  const OVER = { deadlineInMs: -1, goalMs: 9000, estimateMs: 500 } as const;

  // Guards against a start for a caller who does not wait any more.
  it('is refused as not run, also if its job has begun', () => {
    const world = CellSimulation.withWorkers(2);
    const records = [batchOf(OVER), batchOf({ ...OVER, begun: true })].map((batch) =>
      world.offer(batch),
    );
    world.advance(1000);
    const refusal: BatchOutcome = {
      type: 'refused',
      reason: BatchReason.deadline,
      retryAfterMs: 100,
    };
    expect(world.starts).toEqual([]);
    expect(records.map(({ outcome }) => outcome)).toEqual([refusal, refusal]);
  });

  // Guards against a refusal as not run of tasks that the previous owner has started, and against starts
  // of the others.
  it('is lost if it may run: its runs are stopped, and named as started', () => {
    const before = CellSimulation.withWorkers(1);
    const batch = batchOf({ estimateMs: 500, goalMs: 9000, deadlineInMs: 9000 });
    before.offer(batch);
    before.advance(100);
    const after = new CellSimulation(before.workers, before.nowMs);
    const late = { ...again(batch), deadlineInMs: -1 };
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

  // Guards against a loss of work that had ended in time under the previous owner.
  it('is done if all its tasks have succeeded under the previous owner', () => {
    const before = CellSimulation.withWorkers(1);
    const batch = batchOf();
    before.offer(batch);
    before.advance(59);
    const after = new CellSimulation(before.workers, before.nowMs);
    after.advance(20);
    const record = after.offer({ ...again(batch), deadlineInMs: -1 });
    expect(record.outcome).toEqual({ type: 'done' });
  });
});

describe('a cell to which a job is submitted again', () => {
  const jobId = 'again';

  // Guards against two batches that both start a task which still waits when the second one comes.
  it('ends a first submission that waits as lost, so that it is not sent to another cell', () => {
    const world = CellSimulation.withWorkers(1);
    world.offer(batchOf({ ...SETTLE, taskCount: 2 }));
    const waiting = { ...SETTLE, jobId, begun: true, goalMs: 5000 };
    const first = world.offer(batchOf(waiting));
    const second = world.offer(batchOf(waiting));
    world.advance(2000);
    expect([first.outcome?.type, second.outcome?.type]).toEqual(['lost', 'done']);
    expect(world.starts.filter(({ task }) => task === 'again.0.0.0').length).toEqual(1);
  });

  // Guards against a refusal that sends a task to another cell while a run of it is stopped here.
  it('refuses no submission of which a run is being stopped', () => {
    const world = CellSimulation.withWorkers(1);
    const first = world.offer(batchOf({ ...SETTLE, jobId, taskCount: 2 }));
    world.advance(100);
    world.cell.withdraw(first.batch.batchId, BatchReason.withdrawn, world.nowMs);
    const other = world.offer(batchOf({ ...SETTLE, taskCount: 2 }));
    const second = world.offer(batchOf({ ...SETTLE, jobId, taskCount: 2 }));
    expect([other.outcome?.type, second.outcome]).toEqual(['refused', null]);
    world.advance(2500);
    expect(second.outcome).toEqual({ type: 'done' });
    expect(world.overlaps).toEqual([]);
  });

  // Guards against a refused start, and against a result that belongs to a submission that is gone.
  it('runs a task again that ended without a claim, with a higher number', () => {
    const before = CellSimulation.withWorkers(1);
    before.offer(batchOf({ jobId }));
    before.advance(30);
    before.workers[0]?.finish('again.0.0.0#1', 'succeeded');
    const world = new CellSimulation(before.workers, before.nowMs + 20);
    const record = world.offer(batchOf({ jobId }));
    world.advance(100);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(world.starts.map(({ run }) => run)).toEqual([2]);
  });

  // Guards against a start when one of two runs that earlier owners left has ended.
  it('starts a task when all runs of it that were found have ended', () => {
    const cell = new Cell('sofia-a', OPTIONS);
    cell.setWorkers([workerEntry('w0'), workerEntry('w1')], 0);
    const name = 'again.0.0.0';
    const listOf = (run: number) => [{ task: name, run, percent: 5 }];
    const endOf = (run: number) => [{ sequence: 1, task: name, run, end: RunOutcome.lapsed }];
    cell.report('w0', { sentAtMs: 1, running: listOf(1), ended: [] }, 2);
    cell.report('w1', { sentAtMs: 1, running: listOf(2), ended: [] }, 2);
    cell.offer(batchOf({ jobId, begun: true, deadlineInMs: 3000, goalMs: 1000 }), 3);
    cell.report('w0', { sentAtMs: 4, running: [], ended: endOf(1) }, 5);
    expect(startsOf(cell)).toEqual([]);
    cell.report('w1', { sentAtMs: 6, running: [], ended: endOf(2) }, 7);
    expect(startsOf(cell).map(({ run }) => run)).toEqual([3]);
  });

  // Guards against a start beside a run of which its worker tells after the submission has come.
  it('claims a run that is found while its task waits', () => {
    const cell = new Cell('sofia-a', OPTIONS);
    cell.setWorkers([workerEntry('w0')], 0);
    cell.offer(batchOf({ jobId, begun: true, deadlineInMs: 3000, goalMs: 1000 }), 1);
    const running = [{ task: 'again.0.0.0', run: 3, percent: 5 }];
    cell.report('w0', { sentAtMs: 2, running, ended: [] }, 3);
    expect(startsOf(cell)).toEqual([]);
    cell.report('w0', { sentAtMs: 4, running: [], ended: [] }, 5);
    expect(startsOf(cell).map(({ run }) => run)).toEqual([4]);
  });
});
