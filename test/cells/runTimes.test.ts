/** What is expected of a task, from its declared estimate and the run times of its queue. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RunTimes } from '../../src/cells/runTimes';

const TYPICAL_MS = 100;
const LONG_MS = 700;
/** Declared divided by true run times. */
const ERRORS = [0.6, 0.8, 1, 1.25, 1.6];

/** Run times of a queue in which 3 in 100 tasks take seven times as long as the others. */
function withLongTasks(): RunTimes {
  const runTimes = new RunTimes();
  Array.from({ length: 400 }, (_, index) => {
    const runMs = index % 33 === 0 ? LONG_MS : TYPICAL_MS;

    return runTimes.learn('check', runMs, runMs * (ERRORS[index % ERRORS.length] ?? 1));
  });
  return runTimes;
}

describe('the expected run time of a task', () => {
  // Guards against a change of the forecasts of queues whose estimates are right.
  it('is the declared one where run times are regular and as declared', () => {
    const runTimes = new RunTimes();
    Array.from({ length: 100 }, () => runTimes.learn('check', TYPICAL_MS, TYPICAL_MS));
    expect(Math.round(runTimes.expectedMs('check', TYPICAL_MS))).toEqual(TYPICAL_MS);
  });

  // Guards against objectives that are set too late for all jobs because a few tasks take long.
  it('is not raised by rare long tasks of other jobs', () => {
    const expectedMs = withLongTasks().expectedMs('check', TYPICAL_MS);
    expect(Math.abs(expectedMs - TYPICAL_MS)).toBeLessThanOrEqual(0.05 * TYPICAL_MS);
  });

  // Guards against a long job that is expected to end in half its time.
  it('is near the declared one for a task that is declared as long', () => {
    const expectedMs = withLongTasks().expectedMs('check', LONG_MS);
    expect(Math.abs(expectedMs - LONG_MS)).toBeLessThanOrEqual(0.1 * LONG_MS);
  });

  // Guards against forecasts that follow estimates which are always off by the same factor.
  it('follows the observed run times where estimates are off', () => {
    const runTimes = new RunTimes();
    Array.from({ length: 400 }, () => runTimes.learn('check', TYPICAL_MS, TYPICAL_MS / 2));
    expect(runTimes.expectedMs('check', TYPICAL_MS / 2)).toBeGreaterThanOrEqual(0.9 * TYPICAL_MS);
  });
});
