/**
 * Tests of the scheduler: shares, urgency, worker health, leaving workers, claims and admission.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { CONFIGURATION, Driver, job, member, request, RESOURCES, status } from './driver';

/** Time after which the moving averages equal the slots in use. */
const AVERAGE_SETTLED_MS = 20_000;

/** Number of grants sent to other hosts so far, by request id. */
function granted(driver: Driver): Map<number, number> {
  const counts = new Map<number, number>();
  driver.sent('slotGrant').forEach(({ requestId, grants }) => {
    counts.set(requestId, (counts.get(requestId) ?? 0) + grants.length);
  });
  return counts;
}

/** Releases the grant at `index` of a request. */
function releaseOne(
  driver: Driver,
  requestId: number,
  outcome: 'succeeded' | 'failed',
  index = 0,
): void {
  const grants = driver
    .sent('slotGrant')
    .filter((message) => message.requestId === requestId)
    .flatMap((message) => message.grants);
  driver.receive('b1', {
    type: 'slotRelease',
    grantId: grants[index]?.grantId ?? 0,
    outcome,
    runTimeMs: 100,
  });
}

describe('shares', () => {
  it('give a freed slot to the team below its share, even if a flood is more urgent', () => {
    const driver = Driver.ready([10]);
    driver.receive('b1', request(1, 'blue', 500));
    expect(granted(driver).get(1)).toEqual(10);
    driver.receive('b1', request(2, 'red', 3));
    releaseOne(driver, 1, 'succeeded');
    expect(granted(driver).get(2)).toEqual(1);
  });

  it('lend idle capacity, except for the reserve', () => {
    const driver = Driver.ready(Array(10).fill(8));
    driver.receive('b1', request(1, 'blue', 60));
    driver.advance(AVERAGE_SETTLED_MS);
    driver.receive('b1', request(2, 'blue', 500));
    expect([granted(driver).get(1), granted(driver).get(2)]).toEqual([60, 17]);
    driver.receive('b1', request(3, 'red', 4));
    expect(granted(driver).get(3)).toEqual(3);
  });

  it('let a team that has recently used less than its share exceed it for one large job', () => {
    const driver = Driver.ready(Array(10).fill(8));
    driver.receive('b1', request(1, 'blue', 60));
    driver.advance(AVERAGE_SETTLED_MS);
    driver.receive('b1', request(2, 'blue', 500), request(3, 'red', 60));
    const beyondShare = 41;
    for (let step = 0; step < beyondShare; step += 1) releaseOne(driver, 1, 'succeeded', step);
    expect(granted(driver).get(3)).toEqual(beyondShare + 3);
  });

  it('leave slots that are not guaranteed to the most urgent work', () => {
    const driver = Driver.ready([10]);
    driver.receive('b1', request(1, 'red', 5), request(2, 'blue', 5));
    driver.advance(AVERAGE_SETTLED_MS);
    driver.receive('b1', request(3, 'red', 5), request(4, 'blue', 5));
    releaseOne(driver, 1, 'succeeded');
    releaseOne(driver, 2, 'succeeded');
    expect([granted(driver).get(3), granted(driver).get(4)]).toEqual([1, 1]);
  });

  it('are limited by the quota of a team', () => {
    const driver = Driver.ready([10]);
    const blue = CONFIGURATION.teams.get('blue');
    if (!blue) throw new Error('no team blue');
    const teams = new Map([['blue', { ...blue, quotaSlots: 4 }]]);
    driver.send({ type: 'configuration', configuration: { ...CONFIGURATION, teams } });
    driver.receive('b1', request(1, 'blue', 10));
    expect(granted(driver).get(1)).toEqual(4);
  });
});

describe('workers', () => {
  it('that are leaving get no new tasks', () => {
    const driver = Driver.ready([4, 4]);
    driver.setWorkers(['w0', 'w1'], ['w0']);
    driver.receive('b1', request(1, 'red', 8));
    const workers = driver.sent('slotGrant').flatMap(({ grants }) => grants);
    expect(workers.map(({ worker }) => worker.id)).toEqual(['w1', 'w1', 'w1', 'w1']);
  });

  it('that fail every task are avoided within 20 tasks, then get one task', () => {
    const driver = Driver.ready([8, 8, 8]);
    let failed = 0;
    for (let step = 0; step < 300; step += 1) {
      const call = driver.submit(job(1));
      const last = driver.starts().at(-1);
      if (last?.worker.id === 'w0') {
        failed += 1;
        driver.result(last.start.attemptId, { state: 'failed', error: 'x', runTimeMs: 1 });
      } else if (last) driver.succeed(last.start.attemptId);
      expect(driver.answers(call).length).toEqual(1);
    }
    expect(failed <= 20).toEqual(true);
    driver.actions = [];
    driver.advance(1100);
    driver.submit(job(24));
    const tried = driver.starts().filter(({ worker }) => worker.id === 'w0');
    expect(tried.length).toEqual(1);
  });

  it('on probation are preferred, although others have more free slots', () => {
    const driver = Driver.ready([8, 8]);
    driver.submit(job(16));
    driver.starts().forEach(({ start, worker }) => {
      if (worker.id === 'w1') driver.succeed(start.attemptId);
      else driver.result(start.attemptId, { state: 'failed', error: 'x', runTimeMs: 1 });
    });
    driver.advance(1100);
    driver.actions = [];
    driver.submit(job(1));
    expect(driver.starts().map(({ worker }) => worker.id)).toEqual(['w0']);
  });

  it('that fail are not reactivated by successes of tasks granted before the failures', () => {
    const driver = Driver.ready([8, 8]);
    driver.submit(job(16));
    const early = driver.starts().filter(({ worker }) => worker.id === 'w0');
    driver.advance(10);
    early.slice(0, 5).forEach(({ start }) => {
      driver.result(start.attemptId, { state: 'failed', error: 'x', runTimeMs: 1 });
    });
    driver.advance(1100);
    early.slice(5).forEach(({ start }) => driver.succeed(start.attemptId));
    driver.actions = [];
    driver.submit(job(8));
    expect(driver.starts().filter(({ worker }) => worker.id === 'w0').length).toEqual(1);
  });

  it('are not avoided because of a kind that fails on all of them', () => {
    const driver = Driver.ready([8, 8, 8]);
    for (let step = 0; step < 200; step += 1) {
      driver.submit(job(1));
      const last = driver.starts().at(-1)?.start.attemptId ?? '';
      driver.result(last, { state: 'failed', error: 'x', runTimeMs: 1 });
    }
    const avoided = driver.all('decision').filter((a) => a.decision.decision === 'avoid-worker');
    expect(avoided.length <= 1).toEqual(true);
  });

  it('that are unreachable are avoided after the first report', () => {
    const driver = Driver.ready([1, 1]);
    driver.submit(job(1));
    const [first] = driver.starts();
    driver.result(first?.start.attemptId ?? '', { state: 'notStarted', reason: 'unreachable' });
    driver.submit(job(1));
    driver.submit(job(1));
    const later = driver.starts().slice(1);
    expect(later.every(({ worker }) => worker.id !== first?.worker.id)).toEqual(true);
  });

  it('that run tasks and do not answer polls get no more tasks until they answer', () => {
    const driver = Driver.ready([2, 2]);
    driver.submit(job(2));
    driver.statuses.delete('w0');
    driver.advance(700);
    driver.submit(job(2));
    const workers = driver.starts().map(({ worker }) => worker.id);
    expect(workers.filter((id) => id === 'w0').length).toEqual(1);
    driver.send({ type: 'workerStatus', workerId: 'w0', status: status('w0', 2) });
    expect(driver.starts().filter(({ worker }) => worker.id === 'w0').length).toEqual(2);
  });

  it('are limited by resources as well as by slots', () => {
    const driver = Driver.ready([8]);
    driver.submit(job(8, { resources: { cores: 25, memoryMb: 1, accelerators: 0 } }));
    expect(driver.starts().length).toEqual(2);
  });
});

describe('state of other hosts', () => {
  it('is rebuilt by a new scheduler from claims', () => {
    const driver = new Driver('b1');
    driver.send({ type: 'configuration', configuration: CONFIGURATION });
    driver.send({ type: 'members', members: [member('a1', 'd1'), member('b1', 'd1')] });
    driver.setWorkers(['w0']);
    driver.send({ type: 'members', members: [member('a1', 'd1', 'dead'), member('b1', 'd1')] });
    driver.receive('c1', {
      type: 'slotClaims',
      claims: [1, 2, 3].map((grantId) => ({
        grantId,
        workerId: 'w0',
        team: 'red',
        kind: 'fast',
        resources: RESOURCES,
      })),
    });
    driver.send({ type: 'workerStatus', workerId: 'w0', status: status('w0', 4, { running: 3 }) });
    driver.advance(100);
    driver.receive('c1', request(1, 'red', 4));
    driver.advance(100);
    expect(granted(driver).get(1)).toEqual(1);
  });

  it('of a dead host is reclaimed one lease after its death', () => {
    const driver = Driver.ready([2]);
    driver.send({ type: 'members', members: [member('a1', 'd1'), member('b1', 'd1')] });
    driver.receive('b1', request(1, 'red', 2));
    driver.send({ type: 'members', members: [member('a1', 'd1'), member('b1', 'd1', 'dead')] });
    driver.submit(job(1));
    driver.advance(1400);
    expect(driver.starts().length).toEqual(0);
    driver.advance(200);
    expect(driver.starts().length).toEqual(1);
  });

  it('whose releases were lost is dropped when it is no longer claimed', () => {
    const driver = Driver.ready([2]);
    driver.receive('b1', request(1, 'red', 2));
    driver.advance(3500);
    driver.receive('b1', { type: 'slotClaims', claims: [] });
    driver.submit(job(1));
    expect(driver.starts().length).toEqual(1);
  });
});

describe('a repeated request', () => {
  it('keeps its place and is not refused, so that no slots are granted for it after its cancellation', () => {
    const driver = Driver.ready([2]);
    driver.receive('b1', request(1, 'red', 50));
    driver.receive('b1', { ...request(1, 'red', 48), deadlineMs: 100 });
    expect(driver.sent('slotRefusal')).toEqual([]);
    driver.receive('b1', { type: 'slotCancel', requestId: 1, count: 48 });
    releaseOne(driver, 1, 'succeeded');
    expect(granted(driver).get(1)).toEqual(2);
  });
});

describe('a grant that is no longer needed', () => {
  it('is returned to the scheduler that made it, also in another domain', () => {
    const driver = Driver.ready([2]);
    driver.send({ type: 'members', members: [member('a1', 'd1'), member('z1', 'd2')] });
    const worker = { id: 'w9', address: 'w9:1', incarnation: 'w9-1' };
    driver.actions = [];
    driver.receive('z1', {
      type: 'slotGrant',
      requestId: 99,
      grants: [{ grantId: 5, worker }],
    });
    const releases = driver
      .all('send')
      .filter(({ messages }) => messages.some(({ type }) => type === 'slotRelease'));
    expect(releases.map(({ to }) => to)).toEqual(['z1']);
  });
});

describe('admission', () => {
  it('refuses on arrival a job that can not start in time, with a time to retry after', () => {
    const driver = Driver.ready([2]);
    driver.receive('b1', request(1, 'red', 200));
    driver.receive('b1', { ...request(2, 'red', 1), deadlineMs: 1000 });
    const [refusal] = driver.sent('slotRefusal');
    expect(refusal?.requestId).toEqual(2);
    expect((refusal?.retryAfterMs ?? 0) >= 100).toEqual(true);
  });

  it('does not refuse requests of a job that has begun', () => {
    const driver = Driver.ready([2]);
    driver.receive('b1', request(1, 'red', 200));
    driver.receive('b1', { ...request(2, 'red', 1), deadlineMs: 1000, begun: true });
    expect(driver.sent('slotRefusal')).toEqual([]);
  });
});
