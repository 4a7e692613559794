/** Tests of submitter rules that the mutation check (scripts/mutants.ts) found to be untested. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { KeyIssuer } from '../../src/core/submissionKey';
import { CONFIGURATION, Driver, job, member } from './driver';

function attemptIds(driver: Driver): string[] {
  return driver.starts().map(({ start }) => start.attemptId);
}

/** A host of domain d1 whose scheduler is another host, so that its messages are recorded. */
function submitterOf(scheduler = 'a1'): Driver {
  const driver = new Driver('b1');
  driver.send({ type: 'configuration', configuration: CONFIGURATION });
  driver.send({ type: 'members', members: [member(scheduler, 'd1'), member('b1', 'd1')] });
  return driver;
}

function grantFirstRequest(driver: Driver, grantId = 7): void {
  const worker = { id: 'w0', address: 'w0:1', incarnation: 'w0-1' };
  const requestId = driver.sent('slotRequest')[0]?.requestId ?? 0;
  const grants = [{ grantId, worker }];
  driver.receive('a1', { type: 'slotGrant', requestId, grants });
}

describe('an answered job', () => {
  it('is not answered again when a second task fails, and no longer counts as pending', () => {
    const driver = Driver.ready([2]);
    driver.submit(job(2));
    attemptIds(driver).forEach((id) =>
      driver.result(id, { state: 'failed', error: 'no', runTimeMs: 5 }),
    );
    expect(driver.counted('jobs.answered')).toEqual(1);
    expect(driver.core.pending()).toEqual(0);
  });

  it('has no leases renewed, so that its tasks stop even if the stop call is lost', () => {
    const driver = Driver.ready([2]);
    driver.submit(job(2));
    driver.result(attemptIds(driver)[0] ?? '', { state: 'failed', error: 'no', runTimeMs: 5 });
    driver.advance(3000);
    expect(driver.all('renewLeases')).toEqual([]);
  });

  it('requests no slots for retries that were waiting for the retry budget', () => {
    const driver = Driver.ready([9], { retryBurst: 1, retryFraction: 0 });
    const key = driver.key();
    driver.submit(job(1), key);
    const refuse = () =>
      driver.result(attemptIds(driver).at(-1) ?? '', { state: 'notStarted', reason: 'full' });
    refuse();
    refuse();
    driver.cancel(key);
    driver.advance(1000);
    expect(driver.starts().length).toEqual(2);
    expect(driver.core.inspect().submitter.waitingRequests).toEqual(0);
    expect(driver.counted('grants.unused')).toEqual(0);
  });

  it('cancels its slot requests at the scheduler', () => {
    const driver = submitterOf();
    const key = driver.key();
    driver.submit(job(3), key);
    driver.cancel(key);
    expect(driver.sent('slotCancel').map(({ count }) => count)).toEqual([3]);
  });

  it('is removed after its key has expired, also when it ran for longer than that', () => {
    const driver = Driver.ready([1], { keyLifetimeMs: 1000 });
    driver.submit(job(1));
    driver.advance(1500);
    driver.succeed(attemptIds(driver)[0] ?? '');
    driver.advance(4000);
    expect(driver.core.inspect().submitter.submissions).toEqual(0);
  });
});

describe('an attempt', () => {
  it('is revoked again when its revocation got no answer', () => {
    const driver = Driver.ready([1]);
    driver.submit(job(1));
    const [first = ''] = attemptIds(driver);
    driver.result(first, { state: 'unclear', error: 'reset' });
    driver.result(first, { state: 'unclear', error: 'reset' }, 'revoke');
    driver.advance(300);
    expect(driver.all('revokeTask').length).toEqual(2);
  });

  it('ignores the late result of an earlier attempt of the same task', () => {
    const driver = Driver.ready([1, 1]);
    const call = driver.submit(job(1));
    const [first = ''] = attemptIds(driver);
    driver.result(first, { state: 'notStarted', reason: 'full' });
    driver.succeed(first);
    expect(driver.starts().length).toEqual(2);
    expect(driver.answers(call)).toEqual([]);
    expect(driver.counted('results.late')).toEqual(1);
  });

  it('has its lease renewed while the task runs', () => {
    const driver = Driver.ready([1]);
    driver.submit(job(1));
    driver.advance(4000);
    expect(driver.all('renewLeases').length >= 5).toEqual(true);
  });

  it('is not renewed once its lease has lapsed, because the worker may have stopped it', () => {
    const driver = Driver.ready([1]);
    driver.submit(job(1));
    driver.nowMs += 2000;
    driver.send({ type: 'tick' });
    expect(driver.all('renewLeases')).toEqual([]);
  });

  it('is made first for the task with the longest declared time, so that it does not end last', () => {
    const driver = Driver.ready([1]);
    const tasks = [10, 1000, 100].map((declaredMs, index) => ({
      id: `t${index}`,
      payload: index,
      declaredMs,
    }));
    driver.submit(job(3, { tasks }));
    expect(driver.starts().map(({ start }) => start.task)).toEqual(['t1']);
  });
});

describe('a late grant', () => {
  it('starts no task after half of the deadline, even before the next tick', () => {
    const driver = submitterOf();
    const call = driver.submit(job(1, { deadlineMs: 400 }));
    driver.nowMs += 250;
    grantFirstRequest(driver);
    expect(driver.starts()).toEqual([]);
    expect(driver.answers(call).map(({ outcome, notRun }) => [outcome, notRun])).toEqual([
      ['refused', true],
    ]);
  });

  it('starts no further task of a job whose deadline passed during a pause of the process', () => {
    const driver = Driver.ready([1]);
    const call = driver.submit(job(2, { deadlineMs: 2000 }));
    driver.nowMs += 5000;
    driver.succeed(attemptIds(driver)[0] ?? '');
    driver.send({ type: 'confirmed' });
    expect(driver.starts().length).toEqual(1);
    expect(driver.answers(call).map(({ outcome }) => outcome)).toEqual(['failed']);
  });
});

describe('claims', () => {
  it('are sent at once to a new scheduler', () => {
    const driver = submitterOf();
    driver.submit(job(1));
    grantFirstRequest(driver);
    const members = [member('a1', 'd1', 'dead'), member('c1', 'd1'), member('b1', 'd1')];
    driver.actions = [];
    driver.send({ type: 'members', members });
    const sent = driver.all('send').filter(({ to }) => to === 'c1');
    const claims = sent.flatMap(({ messages }) => messages).filter((m) => m.type === 'slotClaims');
    expect(claims.map((message) => message.claims.map(({ grantId }) => grantId))).toEqual([[7]]);
  });

  it('list only the grants of the domain of the receiving scheduler', () => {
    const driver = Driver.ready([1]);
    driver.send({ type: 'members', members: [member('a1', 'd1'), member('z1', 'd2')] });
    driver.submit(job(1));
    driver.actions = [];
    driver.advance(6000);
    const claims = driver.sent('slotClaims');
    expect(claims.length > 0).toEqual(true);
    expect(claims.flatMap((message) => message.claims)).toEqual([]);
  });
});

describe('a key', () => {
  it('of another host or incarnation is never reported as not run, even with the same secret', () => {
    const issuer = new KeyIssuer('a1', 'x1', 'secret', 1000);
    const others = [
      new KeyIssuer('b1', 'x1', 'secret', 1000),
      new KeyIssuer('a1', 'x2', 'secret', 1000),
    ];
    const verified = others.map((other) => issuer.verify(other.issue(0), 1));
    expect(verified.map((each) => each.err && each.val)).toEqual([
      'issuer-unreachable',
      'issuer-unreachable',
    ]);
  });
});
