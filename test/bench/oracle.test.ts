/**
 * Cores that break one rule each: the oracle must see it. Without these tests, a fuzzer that finds
 * nothing would prove nothing.
 */
import { test } from 'node:test';
import { expect } from 'earl';
import type { CoreContext, CoreFactory } from '../../src/bench/entryHost';
import { checkRun } from '../../src/bench/oracle';
import { createBaselineCore } from '../../src/bench/baseline';
import type { Core, CoreAction } from '../../src/core/events';
import type { JobAnswer } from '../../src/core/job';
import { plan, smallHarness } from './support';

type Break = (action: CoreAction) => readonly CoreAction[];

/** The baseline with changed actions. */
function broken(change: Break): CoreFactory {
  return (context: CoreContext): Core => {
    const core = createBaselineCore(context);
    return {
      handle: (event, nowMs) => core.handle(event, nowMs).flatMap(change),
      issueKeys: (count, nowMs) => core.issueKeys(count, nowMs),
      pending: () => core.pending(),
      inspect: (nowMs) => core.inspect(nowMs),
    };
  };
}

function answering(change: (answer: JobAnswer) => readonly JobAnswer[]): CoreFactory {
  return broken((action) =>
    action.type === 'answer'
      ? change(action.answer).map((answer) => ({ ...action, answer }))
      : [action],
  );
}

function rulesBrokenBy(createCore: CoreFactory): readonly string[] {
  const harness = smallHarness(createCore);
  harness.runUntil(500);
  harness.submit(plan([50, 80]));
  harness.submit(plan([120]));
  harness.runUntil(20_000);
  const rules = checkRun(harness.record, { settled: true }).map(({ rule }) => rule);
  return [...new Set(rules)];
}

test('a correct core breaks no rule', () => {
  expect(rulesBrokenBy(createBaselineCore)).toEqual([]);
});

test('a task that is started under a second attempt id is a double start', () => {
  const core = broken((action) =>
    action.type === 'startTask'
      ? [action, { ...action, start: { ...action.start, attemptId: `${action.start.attemptId}b` } }]
      : [action],
  );
  expect(rulesBrokenBy(core)).toEqual(['doubleStart']);
});

test('an answer that denies a start is a false "not run"', () => {
  const core = answering((answer) => [
    { outcome: 'refused', key: answer.key, notRun: true, tasks: [] },
  ]);
  expect(rulesBrokenBy(core)).toEqual(['falseNotRun']);
});

test('a report that denies the start of one task is a false "not run"', () => {
  const core = answering((answer) => [
    {
      outcome: 'failed',
      key: answer.key,
      notRun: false,
      tasks: answer.tasks.map(({ id }) => ({ id, state: 'notRun' })),
    },
  ]);
  expect(rulesBrokenBy(core)).toEqual(['falseNotRun']);
});

test('a complete answer without a task, or with one twice, is incomplete', () => {
  const short = answering((answer) => [{ ...answer, tasks: answer.tasks.slice(1) }]);
  const twice = answering((answer) => [{ ...answer, tasks: [...answer.tasks, ...answer.tasks] }]);
  expect(rulesBrokenBy(short)).toEqual(['incomplete']);
  expect(rulesBrokenBy(twice)).toEqual(['incomplete']);
});

test("a complete answer with another job's result is incomplete", () => {
  const core = answering((answer) => [
    { ...answer, tasks: answer.tasks.map((task) => ({ ...task, result: '99/t0' })) },
  ]);
  expect(rulesBrokenBy(core)).toEqual(['incomplete']);
});

test('a second answer to one call, and a call without an answer, are seen', () => {
  expect(rulesBrokenBy(answering((answer) => [answer, answer]))).toEqual(['secondAnswer']);
  expect(rulesBrokenBy(answering(() => []))).toEqual(['noAnswer']);
});
