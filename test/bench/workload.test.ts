/** Offered loads must be what a scenario says, or every figure belongs to another load. */
import { test } from 'node:test';
import { expect } from 'earl';
import { SeededRandom } from '../../src/bench/random';
import { arrivalsOf, SCENARIOS, scenarioOf } from '../../src/bench/scenarios';
import type { Arrival } from '../../src/bench/workload';
import { ADDIS, CHADAR, mix } from '../../src/bench/workload';

const SLOTS = 240;

function offered(arrivals: readonly Arrival[], durationMs: number): number {
  const workMs = arrivals.reduce(
    (sum, { plan }) => sum + plan.tasks.reduce((each, { runMs }) => each + runMs, 0),
    0,
  );
  return workMs / (SLOTS * durationMs);
}

test('the mixes of both users offer the load that was asked for', () => {
  [CHADAR, ADDIS].forEach((model) => {
    const span = { fromMs: 0, untilMs: 600_000, load: 0.7 };
    const load = offered(mix(model, SLOTS, span, new SeededRandom(1)), 600_000);
    expect(Math.abs(load - 0.7) < 0.02).toEqual(true);
  });
});

test('most jobs are small and most tasks take 50 ms to 1 s', () => {
  const span = { fromMs: 0, untilMs: 60_000, load: 0.7 };
  const jobs = mix(CHADAR, SLOTS, span, new SeededRandom(1)).map(({ plan }) => plan);
  const tasks = jobs.flatMap((job) => job.tasks);
  const small = jobs.filter((job) => job.tasks.length <= 6).length / jobs.length;
  const long = tasks.filter(({ runMs }) => runMs > 1000).length / tasks.length;
  expect(small > 0.9).toEqual(true);
  expect(long > 0.005 && long < 0.05).toEqual(true);
  expect(Math.max(...jobs.map((job) => job.tasks.length)) <= 100).toEqual(true);
});

test('a joined scenario has the faults and the load of both', () => {
  const joined = scenarioOf('steady-90+workers-die');
  expect(joined.load).toEqual(0.9);
  expect(joined.faults).not.toEqual(undefined);
  const stage = {
    model: CHADAR,
    slots: SLOTS,
    random: new SeededRandom(1),
    fromMs: 4000,
    untilMs: 6000,
  };
  const { base, flood } = arrivalsOf(scenarioOf('rain+cancellations'), stage);
  expect([...base, ...flood].every(({ plan }) => plan.keyed)).toEqual(true);
  expect(flood.length > base.length).toEqual(true);
  expect(() => scenarioOf('steady-90+nothing')).toThrow('unknown scenario nothing');
  expect(new Set(SCENARIOS.map(({ name }) => name)).size).toEqual(SCENARIOS.length);
});
