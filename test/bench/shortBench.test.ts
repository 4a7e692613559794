/**
 * A short deterministic part of the bench with the real cores. Guards against decisions that depend on
 * anything but events, clock and seed, and against a policy that loses, refuses or wastes work without
 * need. It checks decisions and counts, never times.
 */
import { createHash } from 'node:crypto';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { checkRun } from '../../src/bench';
import { policyOf } from '../../src/bench/policies';
import { runScenario, todaysShape, type ScenarioRun } from '../../src/bench/scenarioRun';
import { scenarioOf } from '../../src/bench/scenarios';
import { CHADAR } from '../../src/bench/workload';
import { DEFAULT_OPTIONS } from '../../src/core/options';

const DURATION_MS = 6000;
const FAILED_TASKS_LIMIT = 20;

function run(name: string, seed = 1): ScenarioRun {
  return runScenario(scenarioOf(name), policyOf('wasabiyoke'), seed, {
    shape: todaysShape(CHADAR),
    model: CHADAR,
    coreOptions: DEFAULT_OPTIONS,
    durationMs: DURATION_MS,
    traceDecisions: true,
  });
}

function outcomes({ record }: ScenarioRun): readonly string[] {
  return [...new Set(record.calls.map(({ answer }) => answer?.outcome ?? 'none'))].sort();
}

function fingerprint({ record }: ScenarioRun): string {
  return createHash('sha256').update(JSON.stringify(record.decisions)).digest('hex');
}

describe('the bench with the real cores', () => {
  it('makes the same decisions for the same seed, and others for another', () => {
    const [first, again, other] = [run('steady-70'), run('steady-70'), run('steady-70', 2)];
    expect(first.record.decisions.length > 1000).toEqual(true);
    expect(fingerprint(first)).toEqual(fingerprint(again));
    expect(fingerprint(first) === fingerprint(other)).toEqual(false);
  });

  it('completes every job of a steady load without a refused start', () => {
    const steady = run('steady-70');
    expect(outcomes(steady)).toEqual(['complete']);
    expect(steady.record.messages('startsRefused')).toEqual(0);
    expect(checkRun(steady.record, { settled: true })).toEqual([]);
  });

  it('avoids a worker that fails every task within 20 tasks', () => {
    const failing = run('failing-worker');
    const failed = failing.record.starts.filter(({ end }) => end === 'failed').length;
    expect(failed > 0 && failed <= FAILED_TASKS_LIMIT).toEqual(true);
    expect(checkRun(failing.record, { settled: true })).toEqual([]);
  });

  it('keeps the invariants when the scheduler dies in a flood', () => {
    const { record } = run('scheduler-killed+flood-least');
    expect(checkRun(record, { settled: true })).toEqual([]);
  });
});
