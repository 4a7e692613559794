/** Checks that the simulated worker keeps the contract, on which all double-start tests rely. */
import { beforeEach, describe, it } from 'node:test';
import { createClock } from '@sinonjs/fake-timers';
import type { Clock } from '@sinonjs/fake-timers';
import { expect } from 'earl';
import { WorkerModel } from '../../src/standins/workerModel';
import type { WorkerAnswer, WorkerStart } from '../../src/standins/workerTypes';

let clock: Clock;
let model: WorkerModel;

function createModel(options: ConstructorParameters<typeof WorkerModel>[0]): WorkerModel {
  return new WorkerModel(
    options,
    { nowMs: () => clock.now },
    {
      after(delayMs, run) {
        const timer = clock.setTimeout(run, delayMs);
        return () => clock.clearTimeout(timer);
      },
    },
  );
}

function start(attemptId: string, changes: Partial<WorkerStart> = {}): WorkerAnswer[] {
  const answers: WorkerAnswer[] = [];
  const request: WorkerStart = {
    attemptId,
    submission: 's',
    task: 't',
    kind: 'unlock',
    payload: { runMs: 100 },
    leaseMs: 1500,
    incarnation: model.incarnation,
    resources: { cores: 1, memoryMb: 1, accelerators: 0 },
    ...changes,
  };
  model.start(request, (answer) => answers.push(answer));
  return answers;
}

function ask(
  method: 'stop' | 'checkpoint' | 'revoke' | 'inquire',
  attemptId: string,
): WorkerAnswer[] {
  const answers: WorkerAnswer[] = [];
  const collect = (answer: WorkerAnswer): void => {
    answers.push(answer);
  };
  if (method === 'revoke') model.revoke(attemptId, model.incarnation, collect);
  else if (method === 'inquire') model.inquire(attemptId, 50, collect);
  else model[method](attemptId, collect);
  return answers;
}

function runningReported(): number {
  let running = -1;
  model.status((status) => {
    running = status.running;
  });
  return running;
}

describe('WorkerModel', () => {
  beforeEach(() => {
    clock = createClock(1000);
    model = createModel({ slots: 2, cores: 4, accelerators: 1 });
  });

  it('runs a task for its run time and echoes its payload', () => {
    const answers = start('a');
    clock.tick(99);
    expect(answers).toEqual([]);
    clock.tick(1);
    expect(answers).toEqual([{ state: 'succeeded', result: { runMs: 100 }, runTimeMs: 100 }]);
    expect(model.record.map((entry) => [entry.startedAtMs, entry.endedAtMs, entry.end])).toEqual([
      [1000, 1100, 'succeeded'],
    ]);
  });

  it('answers a repeated start with the result of the first, running or ended', () => {
    const answers = [start('a'), start('a')];
    clock.tick(100);
    answers.push(start('a'));
    expect(answers.map((list) => list.map((answer) => answer.state))).toEqual([
      ['succeeded'],
      ['succeeded'],
      ['succeeded'],
    ]);
    expect(model.record.length).toEqual(1);
  });

  it('refuses starts beyond its slots, cores and accelerators and frees them when tasks end', () => {
    const full: WorkerAnswer[] = [{ state: 'refused', reason: 'full' }];
    start('a', { resources: { cores: 3, memoryMb: 1, accelerators: 1 } });
    expect(start('b', { resources: { cores: 2, memoryMb: 1, accelerators: 0 } })).toEqual(full);
    expect(start('c', { resources: { cores: 1, memoryMb: 1, accelerators: 1 } })).toEqual(full);
    start('d');
    expect(start('e', { resources: { cores: 0, memoryMb: 0, accelerators: 0 } })).toEqual(full);
    clock.tick(100);
    expect(start('f')).toEqual([]);
  });

  it('never starts a revoked attempt', () => {
    expect(ask('revoke', 'a')).toEqual([{ state: 'neverStarted' }]);
    expect(start('a')).toEqual([{ state: 'refused', reason: 'revoked' }]);
    expect(model.record).toEqual([]);
  });

  it('answers a revoke of a started attempt with its state', () => {
    start('a');
    expect(ask('revoke', 'a')).toEqual([{ state: 'running' }]);
    clock.tick(100);
    expect(ask('revoke', 'a').map((answer) => answer.state)).toEqual(['succeeded']);
  });

  it('stops a task whose lease expires and keeps one whose lease is renewed', () => {
    const lapsed = start('a', { payload: { runMs: 5000 } });
    const renewed = start('b', { payload: { runMs: 2500 } });
    clock.tick(1000);
    let ids: readonly string[] = [];
    model.renew(['b', 'unknown'], 1600, (list) => {
      ids = list;
    });
    expect(ids).toEqual(['b']);
    clock.tick(500);
    expect(lapsed).toEqual([{ state: 'stopped', runTimeMs: 1500 }]);
    clock.tick(1000);
    expect(renewed.map((answer) => answer.state)).toEqual(['succeeded']);
    expect(model.record[0]?.end).toEqual('lapsed');
  });

  it('stops, throttles and checkpoints a running task', () => {
    const slow = start('a');
    clock.tick(50);
    model.throttle('a', 0.5, () => undefined);
    clock.tick(99);
    expect(slow).toEqual([]);
    clock.tick(1);
    expect(slow).toEqual([{ state: 'succeeded', result: { runMs: 100 }, runTimeMs: 150 }]);
    start('b');
    expect(ask('checkpoint', 'b')).toEqual([{ state: 'running' }]);
    expect(ask('stop', 'b')).toEqual([{ state: 'stopped', runTimeMs: 0 }]);
    expect(model.record[1]?.checkpoints).toEqual(1);
    expect(ask('stop', 'never-heard-of')).toEqual([{ state: 'unknown' }]);
  });

  it('waits for an attempt to end no longer than requested', () => {
    start('a');
    const early = ask('inquire', 'a');
    clock.tick(50);
    expect(early).toEqual([{ state: 'running' }]);
    const late = ask('inquire', 'a');
    clock.tick(50);
    expect(late.map((answer) => answer.state)).toEqual(['succeeded']);
  });

  it('does not answer while frozen, and stops tasks with expired leases when it thaws', () => {
    const lapsed = start('a', { payload: { runMs: 200 }, leaseMs: 500 });
    const resumed = start('b', { payload: { runMs: 200 }, leaseMs: 5000 });
    clock.tick(100);
    model.freeze();
    const held = ask('inquire', 'b');
    clock.tick(1000);
    expect([lapsed, resumed, held]).toEqual([[], [], []]);
    model.thaw();
    expect(lapsed.map((answer) => answer.state)).toEqual(['stopped']);
    clock.tick(50);
    expect(held).toEqual([{ state: 'running' }]);
    clock.tick(50);
    expect(resumed.map((answer) => answer.state)).toEqual(['succeeded']);
  });

  it('loses its tasks on restart and refuses starts for its old incarnation', () => {
    const { incarnation } = model;
    const lost = start('a');
    const waiting = ask('inquire', 'a');
    model.restart();
    clock.tick(1000);
    expect([lost, waiting]).toEqual([[], []]);
    expect(model.record[0]?.end).toEqual('died');
    expect(start('a', { incarnation })).toEqual([{ state: 'refused', reason: 'incarnation' }]);
    expect(start('b')).toEqual([]);
  });

  it('simulates each of its faults', () => {
    model.faults.refuseAll = true;
    expect(start('a')).toEqual([{ state: 'refused', reason: 'full' }]);
    model.faults.leaving = true;
    expect(start('a')).toEqual([{ state: 'refused', reason: 'leaving' }]);
    Object.assign(model.faults, { refuseAll: false, leaving: false, failAll: true });
    const failed = start('a');
    clock.tick(0);
    expect(failed.map((answer) => answer.state)).toEqual(['failed']);
    Object.assign(model.faults, { failAll: false, slowFactor: 3 });
    const slow = start('b');
    clock.tick(299);
    expect(slow).toEqual([]);
    clock.tick(1);
    expect(slow.length).toEqual(1);
  });

  it('reports its load with the configured lag', () => {
    model = createModel({ reportLagMs: 200 });
    clock.tick(1000);
    start('a');
    expect(runningReported()).toEqual(0);
    clock.tick(200);
    expect(runningReported()).toEqual(1);
    clock.tick(100);
    expect(runningReported()).toEqual(0);
  });

  it('forgets attempts after the configured retention time', () => {
    model = createModel({ memoryOfAttemptsMs: 1000 });
    start('a');
    clock.tick(2000);
    start('b');
    clock.tick(100);
    expect(ask('inquire', 'a')).toEqual([{ state: 'unknown' }]);
  });
});
