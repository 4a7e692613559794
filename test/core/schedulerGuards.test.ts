/** Tests of scheduler rules that the mutation check (scripts/mutants.ts) found to be untested. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Configuration, TeamPolicy } from '../../src/configuration/policy';
import { WorkerHealth, WorkerState } from '../../src/core/health';
import type { GrantOutcome } from '../../src/core/messages';
import { DEFAULT_OPTIONS } from '../../src/core/options';
import { CONFIGURATION, Driver, job, member, request, status } from './driver';

function grantIds(driver: Driver, requestId: number): readonly number[] {
  return driver
    .sent('slotGrant')
    .filter((message) => message.requestId === requestId)
    .flatMap(({ grants }) => grants.map(({ grantId }) => grantId));
}

function release(
  driver: Driver,
  from: string,
  grantId: number,
  outcome: GrantOutcome = 'succeeded',
  runTimeMs = 100,
): void {
  driver.receive(from, { type: 'slotRelease', grantId, outcome, runTimeMs });
}

/** The common test configuration with this share for every team. */
function withShare(share: number): Configuration {
  const teams = [...CONFIGURATION.teams].map(([name, team]): [string, TeamPolicy] => [
    name,
    { ...team, share },
  ]);
  return { ...CONFIGURATION, teams: new Map(teams) };
}

describe('a scheduler', () => {
  it('grants nothing while another host is the scheduler and grants the same slots', () => {
    const driver = Driver.ready([2]);
    driver.send({ type: 'members', members: [member('b1', 'd1'), member('a1', 'd1')] });
    driver.advance(100);
    driver.receive('b1', request(1, 'red', 1));
    driver.advance(100);
    expect(driver.sent('slotGrant')).toEqual([]);
  });

  it('waits for claims after it has become active, because slots may be in use', () => {
    const driver = new Driver('a1');
    driver.send({ type: 'configuration', configuration: CONFIGURATION });
    driver.setWorkers(['w0']);
    driver.send({ type: 'workerStatus', workerId: 'w0', status: status('w0', 1) });
    driver.send({ type: 'members', members: [member('a1', 'd1'), member('b1', 'd1')] });
    driver.submit(job(1));
    driver.advance(20);
    expect(driver.starts()).toEqual([]);
    driver.advance(30);
    expect(driver.starts().length).toEqual(1);
  });

  /** Ids of grants to a host that dies while its request waits for the only slot. */
  function grantsAfterDeath(hadGrantBefore: boolean): readonly number[] {
    const driver = Driver.ready([1]);
    driver.send({ type: 'members', members: [member('a1', 'd1'), member('b1', 'd1')] });
    if (hadGrantBefore) {
      driver.receive('b1', request(1, 'red', 1));
      release(driver, 'b1', grantIds(driver, 1)[0] ?? 0);
    }
    const call = driver.submit(job(1));
    driver.receive('b1', request(2, 'red', 1));
    driver.send({ type: 'members', members: [member('a1', 'd1'), member('b1', 'd1', 'dead')] });
    driver.succeed(driver.starts()[0]?.start.attemptId ?? '');
    driver.advance(100);
    expect(driver.answers(call)[0]?.outcome).toEqual('complete');
    return grantIds(driver, 2);
  }

  it('drops the requests of a dead host, because it would not use the grants', () => {
    expect(grantsAfterDeath(true)).toEqual([]);
  });

  it('drops the requests of a dead host that never had a grant', () => {
    expect(grantsAfterDeath(false)).toEqual([]);
  });

  it('limits long tasks to half of the slots while short tasks wait', () => {
    const driver = Driver.ready([8]);
    driver.send({ type: 'configuration', configuration: withShare(0.1) });
    driver.receive('b1', request(1, 'blue', 5));
    driver.receive('b1', request(2, 'red', 3));
    // Until the moving averages of slots in use have settled, both teams count as below their
    // share.
    driver.advance(20_000);
    driver.receive('b1', request(3, 'blue', 5));
    driver.receive('b1', request(4, 'red', 5));
    release(driver, 'b1', grantIds(driver, 1)[0] ?? 0, 'succeeded', 3000);
    expect([grantIds(driver, 3).length, grantIds(driver, 4).length]).toEqual([0, 1]);
  });
});

describe('a grant', () => {
  it('can be released by its holder only', () => {
    const driver = Driver.ready([1]);
    driver.receive('b1', request(1, 'red', 1));
    driver.receive('c1', request(2, 'red', 1));
    const [grantId = 0] = grantIds(driver, 1);
    release(driver, 'c1', grantId);
    expect(grantIds(driver, 2)).toEqual([]);
    release(driver, 'b1', grantId);
    expect(grantIds(driver, 2).length).toEqual(1);
  });

  it('that has not reached its host yet is not dropped as unclaimed', () => {
    const driver = Driver.ready([1]);
    driver.receive('b1', request(1, 'red', 1));
    driver.receive('c1', request(2, 'red', 1));
    driver.receive('b1', { type: 'slotClaims', claims: [] });
    expect(grantIds(driver, 2)).toEqual([]);
  });
});

describe('a worker', () => {
  it('that was restarted gets tasks again at once', () => {
    const driver = Driver.ready([1]);
    Array.from({ length: 5 }).forEach((_, index) => {
      driver.receive('b1', request(index, 'red', 1));
      release(driver, 'b1', grantIds(driver, index)[0] ?? 0, 'failed');
    });
    driver.receive('b1', request(9, 'red', 1));
    expect(grantIds(driver, 9)).toEqual([]);
    const restarted = status('w0', 1, { incarnation: 'w0-2' });
    driver.send({ type: 'workerStatus', workerId: 'w0', status: restarted });
    expect(grantIds(driver, 9).length).toEqual(1);
  });

  it('that is new gets two tasks at a time until some have succeeded', () => {
    const driver = Driver.ready([1], { guards: DEFAULT_OPTIONS.guards });
    driver.setWorkers(['w0', 'w1']);
    driver.send({ type: 'workerStatus', workerId: 'w1', status: status('w1', 8) });
    driver.receive('b1', request(1, 'red', 9));
    expect(grantIds(driver, 1).length).toEqual(3);
  });

  it('that is slow has its task limit at least halved, but not below 1', () => {
    const health = new WorkerHealth({ health: true, slowStart: false });
    expect(health.limit(8)).toEqual(8);
    Array.from({ length: 30 }).forEach(() => health.observeRunTime(500, 100));
    expect(health.limit(8) <= 4 && health.limit(8) >= 1).toEqual(true);
    expect(health.limit(1)).toEqual(1);
  });

  it('that fails again is avoided for twice as long', () => {
    const health = new WorkerHealth({ health: true, slowStart: false });
    const states: WorkerState[] = [];
    const recordState = (nowMs: number) => {
      health.tick(nowMs);
      states.push(health.state);
    };
    Array.from({ length: 5 }).forEach(() => health.observe('failed', false, 0, 0));
    recordState(1000);
    health.observe('failed', false, 1000, 1000);
    recordState(2500);
    recordState(3000);
    expect(states).toEqual([WorkerState.probation, WorkerState.avoided, WorkerState.probation]);
  });
});
