/** What the fleet promises when hosts drain, are upgraded, and workers leave. */
import { test } from 'node:test';
import { expect } from 'earl';
import { request } from 'undici';
import type { CallRecord } from '../../src/standins/deploymentCaller';
import { countAnswers } from '../../src/standins/deploymentCheck';
import { jobOf, SETTLE, UNLOCK, until, withSystem, type SystemUnderTest } from './fixtures';

/** Forwarded tasks run on when a closing transport no longer waits, so the drain itself must wait. */
const LONG_TASK_MS = 3500;
const LEAVE_GRACE_MS = 3000;
const LOAD_AFTER_GRACE_MS = 1000;

function statusCodes(calls: readonly CallRecord[]): readonly unknown[] {
  return calls.map(({ answer }) =>
    answer === null || answer === 'broken' ? answer : answer.statusCode,
  );
}

async function submitTo(
  system: SystemUnderTest,
  count: number,
  issuer: number,
  host: number,
  runMs: number,
): Promise<readonly CallRecord[]> {
  const keys = await Promise.all(Array.from({ length: count }, () => system.keyOf(issuer)));
  return Promise.all(
    keys.map((key) =>
      system.caller.submit(system.address(host), key, jobOf(SETTLE, [runMs, runMs])),
    ),
  );
}

// Guards against a shutdown that cuts requests in progress, at the host itself or at the host that
// forwarded a job to it.
test('drain answers all requests in progress, forwarded ones too', async () => {
  await withSystem({ hosts: 1, workers: 4 }, async (system) => {
    const direct = submitTo(system, 5, 0, 0, 500);
    const forwarded = submitTo(system, 5, 0, 1, LONG_TASK_MS);
    await until('all tasks have started', () => system.starts.length === 20);
    const drained = system.deployment.drainHost(0);
    expect(await system.caller.ready(system.address(0))).toEqual(false);
    const calls = [...(await direct), ...(await forwarded)];
    await drained;
    expect(statusCodes(calls)).toEqual(calls.map(() => 200));
    system.check();
  });
});

// Guards against a host that leaves while another host's forwarded job runs on a third one: the
// drained host's own callers wait for the issuer's answer.
test('drain waits for the answers of jobs that the host has forwarded', async () => {
  await withSystem({ hosts: 1, workers: 4 }, async (system) => {
    const forwarded = submitTo(system, 5, 1, 0, 1000);
    await until('all tasks have started', () => system.starts.length === 10);
    await system.deployment.drainHost(0);
    const calls = await forwarded;
    expect(statusCodes(calls)).toEqual(calls.map(() => 200));
    system.check();
  });
});

// Guards against a lost answer that can be had only at the one host that the balancer may not choose.
test('any host tells the answer of a finished job by its key', async () => {
  await withSystem({ hosts: 1, workers: 2 }, async (system) => {
    const key = await system.keyOf(0);
    await system.caller.submit(system.address(0), key, jobOf(SETTLE, [20]));
    const answers = await Promise.all(
      [0, 1, 2].map(async (index) => {
        const { statusCode, body } = await request(
          `http://${system.address(index)}/v1/jobs/${encodeURIComponent(key)}`,
        );
        return [statusCode, ((await body.json()) as { outcome?: string }).outcome];
      }),
    );
    expect(answers).toEqual(Array(3).fill([200, 'complete']));
  });
});

async function upgrade(system: SystemUnderTest, index: number): Promise<void> {
  if (index >= system.hosts.length) return;
  await system.deployment.drainHost(index);
  await system.deployment.startHost(index);
  await system.settled();
  await system.progress(10);
  await upgrade(system, index + 1);
}

// Guards against requests that are lost, failed or left without an outcome when all hosts are
// replaced one by one. A draining host may refuse a job as not run; the caller takes the next host.
test('an upgrade of all hosts one by one loses no request', async (t) => {
  await withSystem({ hosts: 2, workers: 6 }, async (system) => {
    const load = system.load({ checkReady: true, forwarded: 0, doubled: 0 });
    load.start();
    await upgrade(system, 0);
    await load.stop();
    t.diagnostic(JSON.stringify(countAnswers(system.caller.calls)));
    const lost = system.caller.calls.filter(
      ({ answer }) =>
        answer === null ||
        answer === 'broken' ||
        (answer.statusCode !== 200 && answer.body.notRun !== true),
    );
    expect(lost).toEqual([]);
    system.check();
  });
});

// Guards against tasks that are still sent to a worker after it was announced as leaving. The worker
// itself takes all of them, so only the dispatcher keeps them away.
test('a leaving worker gets no start from 3 s after it appears in the host list', async () => {
  await withSystem({ hosts: 1, workers: 2 }, async (system) => {
    const { deployment } = system;
    const leaving = deployment.workers[0];
    const load = system.load({ callers: 16, kinds: [UNLOCK] });
    load.start();
    await until('the worker has work', () => (leaving?.model.record.length ?? 0) > 10);
    deployment.hostList.set(
      deployment.workers.map(({ hostListEntry }) => ({
        ...hostListEntry,
        state: hostListEntry.id === leaving?.model.id ? 'leaving' : 'live',
      })),
    );
    const limitMs = performance.now() + LEAVE_GRACE_MS;
    await until(
      'load goes on after the grace time',
      () => performance.now() > limitMs + LOAD_AFTER_GRACE_MS,
    );
    await load.stop();
    const late = leaving?.model.record.filter(({ startedAtMs }) => startedAtMs > limitMs);
    expect(late).toEqual([]);
    const others = system.starts.filter(({ startedAtMs }) => startedAtMs > limitMs);
    expect(others.length).toBeGreaterThan(0);
    system.check();
  });
});
