/** A cell whose tasks crash their workers: who is started again, where, and beside whom. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { batchOf, CellSimulation } from './cellSimulation';

/** A caller that waits long enough for many runs, and the next worker for each. */
const LONG = { deadlineInMs: 60_000, goalMs: 60_000 } as const;
const CRASHING = 'crashing.0.0.0';

function startsOf(simulation: CellSimulation, task: string): readonly string[] {
  return simulation.starts.filter((start) => start.task === task).map(({ worker }) => worker);
}

function withCrashingTask(workers: number, cpuMillis?: number): CellSimulation {
  const simulation = CellSimulation.withWorkers(workers, cpuMillis);
  simulation.crashingTasks.add(CRASHING);
  return simulation;
}

describe('a task that crashes each worker that starts it', () => {
  // Guards against a task that goes from worker to worker until its deadline.
  it('takes down two workers, and its job fails as soon as that is known', () => {
    const simulation = withCrashingTask(6);
    const record = simulation.offer(batchOf({ jobId: 'crashing', ...LONG }));
    simulation.advance(20_000);
    expect(simulation.crashedWorkers.length).toEqual(2);
    expect(record.outcome).toEqual({ type: 'failed', task: CRASHING });
    // The second worker crashes after the first lease of about 1 s, and is back 3 s later.
    expect(record.endedAtMs).toBeLessThan(4300);
  });

  // Guards against a count that begins anew with each submission.
  it('takes down no other worker when its job is sent again', () => {
    const simulation = withCrashingTask(6);
    simulation.offer(batchOf({ jobId: 'crashing', deadlineInMs: 1500, goalMs: 1500 }));
    simulation.advance(2000);
    const again = simulation.offer(batchOf({ jobId: 'crashing', ...LONG }));
    simulation.advance(10_000);
    expect(simulation.crashedWorkers.length).toEqual(2);
    expect(again.outcome).toEqual({ type: 'failed', task: CRASHING });
  });

  // Guards against a count that a cell keeps for itself.
  it('takes down no other worker when its job is sent to another cell', () => {
    const first = withCrashingTask(3);
    first.offer(batchOf({ jobId: 'crashing', ...LONG }));
    first.advance(500);
    const workers = [0, 1, 2].map((index) => CellSimulation.worker(`v${index}`));
    const second = new CellSimulation(workers, first.nowMs, undefined, true, first.crashes);
    second.crashingTasks.add(CRASHING);
    first.cell.withdraw([...first.records.keys()][0] ?? '', 'withdrawn', first.nowMs);
    const records = [1, 2, 3].map(() => {
      const record = second.offer(batchOf({ jobId: 'crashing', ...LONG }));
      for (let index = 0; index < 3000; index += 1) {
        first.advance(1);
        second.advance(1);
      }
      return record;
    });
    expect(first.crashedWorkers.length + second.crashedWorkers.length).toEqual(2);
    expect(records.at(-1)?.outcome).toEqual({ type: 'failed', task: CRASHING });
  });

  // Guards against neighbours that lose a run with every worker of the task.
  it('shares only its first worker with other tasks, and these complete', () => {
    const simulation = withCrashingTask(6);
    simulation.offer(batchOf({ jobId: 'crashing', ...LONG }));
    const others = Array.from({ length: 30 }, (_, index) => {
      const record = simulation.offer(
        batchOf({ jobId: `other${index}`, estimateMs: 400, ...LONG }),
      );
      simulation.advance(100);
      return record;
    });
    simulation.advance(10_000);
    expect(others.every(({ outcome }) => outcome?.type === 'done')).toEqual(true);
    expect(simulation.crashedWorkers.length).toEqual(2);
    const restarted = others.filter(
      ({ batch }) => startsOf(simulation, batch.tasks[0]?.name ?? '').length > 1,
    );
    // Two tasks fit on a worker.
    expect(restarted.length).toBeLessThanOrEqual(1);
    expect(simulation.overlaps).toEqual([]);
  });
});

describe('a task that lost its worker, in a cell that is never idle', () => {
  // Guards against a task that waits for an idle worker until its deadline, long after its lease.
  it('starts again within half a second of the end of its lease', () => {
    const simulation = CellSimulation.withWorkers(4);
    const keepBusy = (count: number) => {
      for (let index = 0; index < count; index += 1) {
        simulation.offer(
          batchOf({ estimateMs: 200, begun: true, goalMs: 100, deadlineInMs: 60_000 }),
        );
      }
    };
    keepBusy(8);
    const record = simulation.offer(batchOf({ jobId: 'job', begun: true, ...LONG }));
    simulation.advance(205);
    const worker = simulation.workers.find(({ runs }) => runs.has('job.0.0.0#1'));
    if (!worker) throw new Error('the task has no run');
    simulation.crash(worker);
    for (let index = 0; index < 50; index += 1) {
      keepBusy(1);
      simulation.advance(40);
    }
    expect(record.outcome).toEqual({ type: 'done' });
    expect(record.endedAtMs).toBeLessThan(205 + 1080 + 500);
  });
});

describe('a task whose owner was lost with the worker that ran it', () => {
  // Guards against a first crash that is forgotten because the owner died before it was noticed.
  it('is isolated by the new owner, which counts the worker that has not answered it', () => {
    const workers = ['w0', 'w1', 'w2'].map((id) => CellSimulation.worker(id));
    workers.slice(0, 1).forEach(({ faults }) => Object.assign(faults, { silent: true }));
    const simulation = new CellSimulation(workers, 0, undefined, false);
    simulation.crashingTasks.add(CRASHING);
    const batch = batchOf({ jobId: 'crashing', mayRun: true, begun: true, ...LONG });
    const record = simulation.offer(batch);
    simulation.advance(2500);
    const [placed] = simulation.decisions.filter(({ decision }) => decision === 'placed');
    expect(placed?.fields.isolation).toEqual('exclusive');
    simulation.cell.workerRestarted('w0', simulation.nowMs);
    simulation.advance(4000);
    expect(simulation.crashedWorkers.length).toEqual(1);
    expect(record.outcome).toEqual({ type: 'failed', task: CRASHING });
  });
});

describe('many tasks that crash their workers, among others', () => {
  // Guards against other tasks that are refused or given up because one kind of task crashes workers.
  it('leave the other tasks their service', () => {
    const simulation = CellSimulation.withWorkers(16);
    const crashing: string[] = [];
    const others = Array.from({ length: 60 }, (_, index) => {
      if (index % 10 === 0) {
        const jobId = `crashing${index}`;
        simulation.crashingTasks.add(`${jobId}.0.0.0`);
        crashing.push(`${jobId}.0.0.0`);
        simulation.offer(batchOf({ jobId, ...LONG }));
      }
      const record = simulation.offer(batchOf({ jobId: `other${index}`, queue: 'check', ...LONG }));
      simulation.advance(100);
      return record;
    });
    simulation.advance(12_000);
    crashing.forEach((task) => expect(startsOf(simulation, task).length).toEqual(2));
    expect(others.every(({ outcome }) => outcome?.type === 'done')).toEqual(true);
  });
});

describe('tasks on workers that crash by themselves', () => {
  // Guards against tasks that wait for idle workers after the loss of half a cell.
  it('all end in time after half of the workers have crashed at once', () => {
    const simulation = CellSimulation.withWorkers(8);
    const options = { estimateMs: 300, deadlineInMs: 3000, goalMs: 3000 };
    const records = Array.from({ length: 16 }, (_, index) =>
      simulation.offer(batchOf({ jobId: `job${index}`, ...options })),
    );
    simulation.advance(50);
    simulation.workers.slice(0, 4).forEach((worker) => simulation.crash(worker));
    simulation.advance(400);
    const later = Array.from({ length: 4 }, (_, index) =>
      simulation.offer(batchOf({ jobId: `later${index}`, ...options })),
    );
    simulation.advance(5000);
    expect([...records, ...later].map(({ outcome }) => outcome?.type)).toEqual(
      Array.from({ length: 20 }, () => 'done'),
    );
  });

  // Guards against a worker that is cut off and counted as crashed.
  it('are not counted if the process answers again', () => {
    const simulation = CellSimulation.withWorkers(3);
    const record = simulation.offer(batchOf({ jobId: 'job', estimateMs: 6000, ...LONG }));
    [1, 2, 3].forEach(() => {
      simulation.advance(400);
      const worker = simulation.workers.find(({ runs }) => runs.size > 0);
      if (!worker) throw new Error('the task has no run');
      worker.faults.silent = true;
      simulation.advance(1400);
      worker.faults.silent = false;
    });
    simulation.advance(8000);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(simulation.decisions.some(({ decision }) => decision === 'crash-refuted')).toEqual(true);
    expect(simulation.overlaps).toEqual([]);
  });
});
