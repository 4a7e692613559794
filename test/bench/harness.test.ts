import { test } from 'node:test';
import { expect } from 'earl';
import { createBaselineCore } from '../../src/bench/baseline';
import type { Harness } from '../../src/bench/harness';
import { checkRun } from '../../src/bench/oracle';
import { SeededRandom } from '../../src/bench/random';
import { CHADAR, mix } from '../../src/bench/workload';
import { plan, SMALL_FLEET, smallHarness } from './support';

const SLOTS = SMALL_FLEET.workers * SMALL_FLEET.slots;

function loaded(seed: number): Harness {
  const harness = smallHarness(createBaselineCore, seed);
  const span = { fromMs: 500, untilMs: 3500, load: 0.9 };
  mix(CHADAR, SLOTS, span, new SeededRandom(seed, 'workload')).forEach(({ atMs, plan: job }) =>
    harness.timeline.at(atMs, () => harness.submit(job)),
  );
  return harness;
}

/** A run with every fault that the harness has. */
function faulty(seed: number): Harness {
  const harness = loaded(seed);
  const steps: readonly [number, () => void][] = [
    [800, () => harness.killWorker('worker-0')],
    [900, () => harness.setWorker('worker-1', { loseAnswers: 0.5, slowFactor: 3 })],
    [1000, () => harness.freezeWorker('worker-2')],
    [1100, () => harness.pauseHost('host-0')],
    [1200, () => harness.killHost('host-1')],
    [1300, () => harness.cutDomain('south')],
    [1400, () => harness.setLeaving('worker-3')],
    [1500, () => harness.killWorker('worker-4', 'silent')],
    [2600, () => harness.healDomain('south')],
    [2700, () => harness.startHost('host-1')],
    [2800, () => harness.resumeHost('host-0')],
    [2900, () => harness.thawWorker('worker-2')],
    [3000, () => harness.restartWorker('worker-0')],
    [3000, () => harness.setWorker('worker-5', { failEveryTask: true })],
    [3100, () => harness.drainHost('host-2')],
  ];
  steps.forEach(([atMs, step]) => harness.timeline.at(atMs, step));
  return harness;
}

test('one seed gives one run, with every kind of fault', () => {
  const [first, second, other] = [faulty(7), faulty(7), faulty(8)].map((harness) => {
    harness.runUntil(40_000);
    return JSON.stringify([harness.record.calls, harness.record.starts]);
  });
  expect(first === second).toEqual(true);
  expect(first === other).toEqual(false);
});

test('the baseline keeps the invariants and answers every call, with every kind of fault', () => {
  [1, 2, 3].forEach((seed) => {
    const harness = faulty(seed);
    harness.runUntil(60_000);
    expect(checkRun(harness.record, { settled: true })).toEqual([]);
  });
});

test('a resubmission with the same key joins the first and gets its answer', () => {
  const harness = smallHarness(createBaselineCore);
  harness.runUntil(500);
  harness.submit(plan([100, 200]));
  harness.runUntil(550);
  harness.callers.resubmit(0);
  harness.runUntil(5000);
  expect(harness.record.calls.map(({ answer }) => answer?.outcome)).toEqual([
    'complete',
    'complete',
  ]);
  expect(harness.record.starts.length).toEqual(2);
});

test('a key whose issuer has died gets an unknown outcome', () => {
  const harness = smallHarness(createBaselineCore);
  harness.runUntil(500);
  harness.submit(plan([1000]));
  harness.runUntil(600);
  harness.killHost(harness.record.job(0).issuerId ?? '');
  harness.callers.resubmit(0);
  harness.runUntil(5000);
  expect(harness.record.call(1).answer?.outcome).toEqual('unknown');
});

test('a cancellation before any start is answered as not run', () => {
  const harness = smallHarness(createBaselineCore);
  harness.runUntil(500);
  Array.from({ length: 40 }, () => harness.submit(plan([1000])));
  harness.runUntil(550);
  const started = new Set(harness.record.starts.map(({ jobId }) => jobId));
  const queued = harness.record.jobs.find(({ jobId }) => !started.has(jobId))?.jobId ?? -1;
  const callId = harness.callers.cancel(queued);
  harness.runUntil(600);
  const { answer } = harness.record.call(callId);
  expect([answer?.outcome, answer?.notRun]).toEqual(['cancelled', true]);
});
