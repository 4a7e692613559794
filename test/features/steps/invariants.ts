/** Expectations on the invariants of docs/design.md, section 2. */
import { Then } from '@cucumber/cucumber';
import { expect } from 'earl';
import { Rule } from '../../../src/bench';
import { endOf, startsSentTo, submissions } from '../support/figures';
import { toMs } from '../support/names';
import { broken, fleet } from '../support/scenario';

const LIST_PERIOD_MS = 1000;

Then('no task has started twice', () => {
  expect(broken(Rule.doubleStart, false)).toEqual([]);
});

Then('every answer is complete or failed', () => {
  fleet().settle();
  expect([...broken(Rule.incomplete, true), ...broken(Rule.noAnswer, true)]).toEqual([]);
});

Then('every caller has the whole answer to its own request, once', () => {
  const rules = [Rule.incomplete, Rule.secondAnswer, Rule.noAnswer];
  expect(rules.flatMap((rule) => broken(rule, true))).toEqual([]);
});

Then('every refusal that says "not run" is true', () => {
  expect(broken(Rule.falseNotRun, false)).toEqual([]);
});

Then('no call has broken off', () => {
  expect(fleet().harness.record.calls.filter(({ lost }) => lost).length).toEqual(0);
});

Then(/^each task has run (?:at most )?once$/, () => {
  const { starts } = fleet().harness.record;
  const tasks = starts.map(({ jobId, taskId }) => `${jobId}/${taskId}`);
  expect(tasks.length).toEqual(new Set(tasks).size);
});

Then(
  /^worker (\d+) of domain (\w+) gets no task from (\d+) (ms|seconds?) after it is listed as leaving$/,
  (ordinal: string, domain: string, value: string, unit: string) => {
    const id = fleet().workerId(Number(ordinal), domain);
    const { record } = fleet().harness;
    const left = record.faults.find(({ name, target }) => name === 'leaving' && target === id);
    if (left === undefined) throw new Error(`${id} has not left`);
    const fromMs = left.atMs + LIST_PERIOD_MS + toMs(value, unit);
    expect(fleet().nowMs > fromMs).toEqual(true);
    expect(startsSentTo(record, id, fromMs)).toEqual(0);
  },
);

Then(/^worker (\d+) of domain (\w+) gets tasks again$/, (ordinal: string, domain: string) => {
  const id = fleet().workerId(Number(ordinal), domain);
  const { record } = fleet().harness;
  const back = record.faults.filter(({ target }) => target === id).at(-1);
  expect(startsSentTo(record, id, back?.atMs ?? 0) > 0).toEqual(true);
});

Then(
  /^(?:all jobs|the jobs of team (\w+)) are (complete|failed|refused|cancelled|unknown)$/,
  (team: string | null, end: string) => {
    const ends = submissions(fleet().harness.record, team).map(endOf);
    expect(ends.length > 0).toEqual(true);
    expect(ends.filter((each) => each !== end)).toEqual([]);
  },
);

Then(
  /^job (\d+) is (complete|failed|refused|cancelled|unknown)$/,
  (ordinal: string, end: string) => {
    const { calls } = fleet().harness.record;
    const call = calls.find(
      ({ jobId, type }) => type === 'submit' && jobId === Number(ordinal) - 1,
    );
    expect(call && endOf(call)).toEqual(end);
  },
);

Then(/^the last call is answered (complete|failed|refused|cancelled|unknown)$/, (end: string) => {
  const call = fleet().harness.record.calls.at(-1);
  expect(call && endOf(call)).toEqual(end);
});

Then(
  /^(?:no|at most (\d+)) jobs? (?:is|are) (failed|refused|lost|unknown)$/,
  (limit: string | null, end: string) => {
    const ends = submissions(fleet().harness.record, null).map(endOf);
    expect(ends.filter((each) => each === end).length <= Number(limit ?? 0)).toEqual(true);
  },
);

Then(/^each job is (\w+) or (\w+)$/, (one: string, other: string) => {
  const ends = submissions(fleet().harness.record, null).map(endOf);
  expect(ends.filter((each) => each !== one && each !== other)).toEqual([]);
});

Then(/^at least (\d+) % of the jobs are complete$/, (percent: string) => {
  const ends = submissions(fleet().harness.record, null).map(endOf);
  const complete = ends.filter((each) => each === 'complete').length;
  expect(complete >= (ends.length * Number(percent)) / 100).toEqual(true);
});
