/**
 * Tests of the invariants of submissions: a task starts once, "not run" is true, answers are
 * complete, and each call gets one answer.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { CONFIGURATION, Driver, job, member, status } from './driver';

function attemptIds(driver: Driver): string[] {
  return driver.starts().map(({ start }) => start.attemptId);
}

describe('a job', () => {
  it('is complete with the result of each task when all have succeeded', () => {
    const driver = Driver.ready([4]);
    const call = driver.submit(job(3));
    attemptIds(driver).forEach((id) => driver.succeed(id));
    const [answer] = driver.answers(call);
    expect(answer?.outcome).toEqual('complete');
    expect(answer?.tasks.map((task) => [task.id, task.state])).toEqual([
      ['t0', 'succeeded'],
      ['t1', 'succeeded'],
      ['t2', 'succeeded'],
    ]);
    expect(answer?.tasks.map((task) => task.result).sort()).toEqual(attemptIds(driver).sort());
  });

  it('fails at once with the state of each task when one has failed, and stops the others', () => {
    const driver = Driver.ready([2]);
    const call = driver.submit(job(3));
    const [first = '', second = ''] = attemptIds(driver);
    driver.result(first, { state: 'failed', error: 'no', runTimeMs: 5 });
    const [answer] = driver.answers(call);
    expect(answer?.outcome).toEqual('failed');
    expect(answer?.notRun).toEqual(false);
    expect(answer?.tasks.map((task) => task.state)).toEqual(['failed', 'unknown', 'notRun']);
    expect(driver.all('stopTask').map((action) => action.attemptId)).toEqual([second]);
    driver.succeed(second);
    driver.advance(2000);
    expect(driver.answers(call).length).toEqual(1);
    expect(driver.starts().length).toEqual(2);
  });

  it('ignores results that are late, repeated or of another job', () => {
    const driver = Driver.ready([2]);
    const call = driver.submit(job(2));
    const [first = ''] = attemptIds(driver);
    driver.succeed(first);
    driver.succeed(first);
    driver.succeed('other.key~0.1');
    expect(driver.answers(call)).toEqual([]);
    expect(driver.counted('results.late')).toEqual(2);
  });

  it('that has not begun by half of its deadline is refused as not run', () => {
    const driver = Driver.ready([1]);
    driver.submit(job(1));
    const call = driver.submit(job(1, { deadlineMs: 1000 }));
    driver.advance(499);
    const [answer] = driver.answers(call);
    expect(answer?.outcome).toEqual('refused');
    expect(answer?.notRun).toEqual(true);
    attemptIds(driver).forEach((id) => driver.succeed(id));
    driver.advance(1000);
    expect(driver.starts().length).toEqual(1);
  });

  it('that has begun fails at its deadline and is not reported as not run', () => {
    const driver = Driver.ready([1]);
    const call = driver.submit(job(2, { deadlineMs: 1000 }));
    driver.advance(990);
    expect(driver.answers(call)).toEqual([]);
    driver.advance(20);
    expect(driver.answers(call).map(({ outcome, notRun }) => [outcome, notRun])).toEqual([
      ['failed', false],
    ]);
  });

  it('that arrives before the members are known waits for a scheduler', () => {
    const driver = new Driver('a1');
    driver.send({ type: 'configuration', configuration: CONFIGURATION });
    const call = driver.submit(job(1));
    expect(driver.answers(call)).toEqual([]);
    driver.send({ type: 'members', members: [member('a1', 'd1')] });
    driver.statuses.set('w0', status('w0', 1));
    driver.setWorkers(['w0']);
    driver.advance(100);
    expect(driver.starts().length).toEqual(1);
  });

  it('that no worker could ever run is refused at once', () => {
    const driver = Driver.ready([4]);
    const call = driver.submit(job(1, { resources: { cores: 1, memoryMb: 1, accelerators: 1 } }));
    expect(driver.answers(call)[0]?.reason).toEqual('impossible-job');
    expect(driver.answers(call)[0]?.notRun).toEqual(true);
  });
});

describe('an unclear start', () => {
  it('is revoked and never started elsewhere while its outcome is unknown', () => {
    const driver = Driver.ready([1, 1]);
    const call = driver.submit(job(1));
    const [first = ''] = attemptIds(driver);
    driver.result(first, { state: 'unclear', error: 'reset' });
    expect(driver.all('revokeTask').map((action) => action.attemptId)).toEqual([first]);
    driver.result(first, { state: 'unclear', error: 'no answer' }, 'revoke');
    driver.advance(1400);
    expect(driver.answers(call)).toEqual([]);
    driver.advance(400);
    expect(driver.starts().length).toEqual(1);
    expect(driver.answers(call).map(({ outcome, notRun }) => [outcome, notRun])).toEqual([
      ['failed', false],
    ]);
  });

  it('is retried after the worker has confirmed that it never started', () => {
    const driver = Driver.ready([1, 1]);
    const call = driver.submit(job(1));
    const [first = ''] = attemptIds(driver);
    driver.result(first, { state: 'unclear', error: 'reset' });
    driver.result(first, { state: 'notStarted', reason: 'revoked' }, 'revoke');
    const second = attemptIds(driver)[1] ?? '';
    expect(second).not.toEqual(first);
    driver.succeed(second);
    expect(driver.answers(call)[0]?.outcome).toEqual('complete');
  });

  it('fails the job at once when the worker process that received it is gone', () => {
    const driver = Driver.ready([1, 1]);
    const call = driver.submit(job(1));
    const [first = ''] = attemptIds(driver);
    driver.result(first, { state: 'unclear', error: 'reset' });
    driver.result(first, { state: 'unclear', error: 'refused', gone: true }, 'revoke');
    expect(driver.answers(call).map(({ outcome, notRun }) => [outcome, notRun])).toEqual([
      ['failed', false],
    ]);
    expect(driver.starts().length).toEqual(1);
  });

  it('gives its result when the worker still has the task', () => {
    const driver = Driver.ready([1]);
    const call = driver.submit(job(1));
    const [first = ''] = attemptIds(driver);
    driver.result(first, { state: 'unclear', error: 'reset' });
    driver.result(first, { state: 'running' }, 'revoke');
    expect(driver.all('inquireTask').length).toEqual(1);
    driver.succeed(first);
    expect(driver.answers(call)[0]?.outcome).toEqual('complete');
  });
});

describe('a refused start', () => {
  it('leaves the job not run when no start has happened', () => {
    const driver = Driver.ready([1], { retryBurst: 1, retryFraction: 0 });
    const call = driver.submit(job(1, { deadlineMs: 400 }));
    driver.result(attemptIds(driver)[0] ?? '', { state: 'notStarted', reason: 'full' });
    driver.advance(200);
    expect(driver.answers(call)[0]?.notRun).toEqual(true);
  });

  it('is retried no more often than the retry budget allows', () => {
    const driver = Driver.ready([100], { retryBurst: 3, retryFraction: 0 });
    driver.submit(job(1));
    for (let step = 0; step < 50; step += 1) {
      const last = attemptIds(driver).at(-1) ?? '';
      driver.result(last, { state: 'notStarted', reason: 'full' });
    }
    expect(driver.starts().length).toEqual(4);
  });
});

describe('a key', () => {
  it('is required for work that is not idempotent', () => {
    const driver = Driver.ready([1]);
    const call = driver.submit(job(1, { kind: 'once' }));
    expect(driver.answers(call)[0]?.reason).toEqual('key-required');
  });

  it('joins a resubmission to the first submission, running or finished', () => {
    const driver = Driver.ready([2]);
    const key = driver.key();
    const spec = job(1, { kind: 'once' });
    const first = driver.submit(spec, key);
    const second = driver.submit(spec, key);
    driver.succeed(attemptIds(driver)[0] ?? '');
    const third = driver.submit(spec, key);
    expect(driver.starts().length).toEqual(1);
    const outcomes = [first, second, third].map((call) => driver.answers(call)[0]?.outcome);
    expect(outcomes).toEqual(['complete', 'complete', 'complete']);
  });

  it('joins a resubmission that has another deadline', () => {
    const driver = Driver.ready([2]);
    const key = driver.key();
    driver.submit(job(1), key);
    const call = driver.submit(job(1, { deadlineMs: 5000 }), key);
    driver.succeed(attemptIds(driver)[0] ?? '');
    expect(driver.answers(call)[0]?.outcome).toEqual('complete');
  });

  it('is refused with another body, and the refusal does not say not run', () => {
    const driver = Driver.ready([2]);
    const key = driver.key();
    driver.submit(job(1), key);
    const call = driver.submit(job(2), key);
    expect(driver.answers(call)[0]?.reason).toEqual('key-reused');
    expect(driver.answers(call)[0]?.notRun).toEqual(false);
  });

  it('of another incarnation or after its expiry never starts a task', () => {
    const driver = Driver.ready([2], { keyLifetimeMs: 1000 });
    const other = new Driver('b1').key();
    const late = driver.key();
    driver.advance(1010);
    const calls = [driver.submit(job(1), other), driver.submit(job(1), late)];
    expect(calls.map((call) => driver.answers(call)[0]?.notRun)).toEqual([false, false]);
    expect(calls.map((call) => driver.answers(call)[0]?.outcome)).toEqual(['unknown', 'unknown']);
    expect(driver.starts()).toEqual([]);
  });

  it('that was refused as not run never runs later, when its team has been configured', () => {
    const driver = Driver.ready([2]);
    const key = driver.key();
    const spec = job(1, { team: 'green' });
    const first = driver.submit(spec, key);
    const red = CONFIGURATION.teams.get('red');
    if (!red) throw new Error('no team red');
    const teams = new Map([...CONFIGURATION.teams, ['green', { ...red, name: 'green' }] as const]);
    driver.send({ type: 'configuration', configuration: { ...CONFIGURATION, teams } });
    const second = driver.submit(spec, key);
    const answers = [first, second].map((call) => driver.answers(call)[0]);
    expect(answers.map((answer) => [answer?.reason, answer?.notRun])).toEqual([
      ['unknown-team', true],
      ['unknown-team', true],
    ]);
    expect(driver.starts()).toEqual([]);
  });

  it('whose results were dropped to save memory is answered so and never runs again', () => {
    const driver = Driver.ready([4], { answerBytesLimit: 300 });
    const keys = Array.from({ length: 3 }, () => driver.key());
    keys.forEach((key) => {
      driver.submit(job(1, { kind: 'once' }), key);
      driver.succeed(attemptIds(driver).at(-1) ?? '');
    });
    const again = keys.map((key) => driver.submit(job(1, { kind: 'once' }), key));
    const [first, , last] = again.map((call) => driver.answers(call)[0]);
    expect([first?.outcome, first?.reason, first?.notRun]).toEqual([
      'unknown',
      'answer-dropped',
      false,
    ]);
    expect(last?.outcome).toEqual('complete');
    expect(driver.starts().length).toEqual(3);
  });

  it('with a damaged signature is refused', () => {
    const driver = Driver.ready([2]);
    const key = driver.key();
    const call = driver.submit(job(1), `${key.slice(0, -1)}${key.endsWith('A') ? 'B' : 'A'}`);
    expect(driver.answers(call)[0]?.reason).toEqual('invalid-key');
  });

  it('cancelled before its job arrives keeps the job from running', () => {
    const driver = Driver.ready([2]);
    const key = driver.key();
    const cancelled = driver.cancel(key);
    const call = driver.submit(job(1), key);
    expect(driver.answers(cancelled)[0]?.notRun).toEqual(true);
    expect(driver.answers(call)[0]?.outcome).toEqual('cancelled');
    expect(driver.starts()).toEqual([]);
  });
});

describe('a cancellation', () => {
  it('of a queued job reports it as not run and cancels its slot requests', () => {
    const driver = Driver.ready([1]);
    driver.submit(job(1));
    const key = driver.key();
    const call = driver.submit(job(5), key);
    driver.cancel(key);
    expect(driver.answers(call).map(({ outcome, notRun }) => [outcome, notRun])).toEqual([
      ['cancelled', true],
    ]);
    driver.succeed(attemptIds(driver)[0] ?? '');
    driver.advance(100);
    expect(driver.starts().length).toEqual(1);
  });

  it('of a job that has begun reports it failed and stops its tasks', () => {
    const driver = Driver.ready([1]);
    const key = driver.key();
    const call = driver.submit(job(2), key);
    driver.cancel(key);
    expect(driver.answers(call).map(({ outcome, notRun }) => [outcome, notRun])).toEqual([
      ['failed', false],
    ]);
    expect(driver.all('stopTask').length).toEqual(1);
  });
});

describe('a paused process', () => {
  it('refuses overdue jobs before it starts any task', () => {
    const driver = Driver.ready([1]);
    driver.submit(job(1));
    const call = driver.submit(job(1, { deadlineMs: 2000 }));
    driver.nowMs += 5000;
    driver.succeed(attemptIds(driver)[0] ?? '');
    expect(driver.answers(call)[0]?.notRun).toEqual(true);
    expect(driver.starts().length).toEqual(1);
  });

  it('grants nothing until membership has confirmed it', () => {
    const driver = Driver.ready([1]);
    driver.nowMs += 5000;
    driver.submit(job(1));
    driver.advance(50);
    expect(driver.starts().length).toEqual(0);
    driver.send({ type: 'confirmed' });
    expect(driver.starts().length).toEqual(1);
  });

  it('does not use grants that were made before the pause', () => {
    const driver = new Driver('b1');
    driver.send({ type: 'configuration', configuration: CONFIGURATION });
    driver.send({ type: 'members', members: [member('a1', 'd1'), member('b1', 'd1')] });
    driver.submit(job(1));
    const [request] = driver.sent('slotRequest');
    driver.nowMs += 2000;
    const worker = { id: 'w0', address: 'w0:1', incarnation: 'w0-1' };
    driver.receive('a1', {
      type: 'slotGrant',
      requestId: request?.requestId ?? 0,
      grants: [{ grantId: 7, worker }],
    });
    expect(driver.starts()).toEqual([]);
    expect(driver.sent('slotRelease').map(({ outcome }) => outcome)).toEqual(['unused']);
    expect(driver.sent('slotRequest').length).toEqual(2);
  });
});

describe('a draining host', () => {
  it('refuses new jobs as not run and answers those in progress', () => {
    const driver = Driver.ready([1]);
    const first = driver.submit(job(1));
    driver.send({ type: 'drain' });
    const second = driver.submit(job(1));
    expect(driver.answers(second).map(({ reason, notRun }) => [reason, notRun])).toEqual([
      ['draining', true],
    ]);
    driver.succeed(attemptIds(driver)[0] ?? '');
    expect(driver.answers(first)[0]?.outcome).toEqual('complete');
    expect(driver.core.pending()).toEqual(0);
  });
});
