/** Figures of a run made by hand; a wrong figure would make every comparison worthless. */
import { test } from 'node:test';
import { expect } from 'earl';
import { figuresOf } from '../../src/bench/figures';
import type { CallRecord } from '../../src/bench/records';
import { RunRecord } from '../../src/bench/records';
import type { ScenarioRun } from '../../src/bench/scenarioRun';
import type { Scenario } from '../../src/bench/scenarios';
import { scenarioOf } from '../../src/bench/scenarios';
import { recoveryMs, SlotTime } from '../../src/bench/slotTime';
import { checkTargets } from '../../src/bench/targets';
import type { JobAnswer } from '../../src/core/job';
import { plan } from './support';

const COMPLETE: JobAnswer = { outcome: 'complete', key: '', notRun: false, tasks: [] };
const REFUSED: JobAnswer = {
  outcome: 'refused',
  key: '',
  notRun: true,
  reason: 'overloaded',
  tasks: [],
};

interface HandMade {
  readonly runMs: number;
  readonly sentAtMs: number;
  readonly tookMs: number;
  readonly answer: JobAnswer;
  readonly flood?: boolean;
}

function recordOf(jobs: readonly HandMade[]): RunRecord {
  const record = new RunRecord();
  jobs.forEach(({ runMs, sentAtMs, tookMs, answer, flood = false }, jobId) => {
    const tasks = answer.outcome === 'complete' ? [{ id: 't0', state: 'succeeded' as const }] : [];
    const call: CallRecord = {
      callId: jobId,
      jobId,
      type: 'submit',
      sentAtMs,
      entryId: 'host-0',
      ownerId: 'host-0',
      arrivedAtMs: sentAtMs + 1,
      decidedAtMs: sentAtMs + tookMs - 1,
      answeredAtMs: sentAtMs + tookMs,
      answer: {
        ...answer,
        tasks: tasks.map((task) => ({ ...task, result: `${jobId}/t0` })),
      },
      coreAnswers: [],
      lost: false,
    };
    record.jobs.push({
      jobId,
      plan: plan([runMs], { flood }),
      key: null,
      issuerId: null,
      issuerIncarnation: null,
    });
    record.calls.push(call);
    if (answer.outcome === 'complete') {
      record.starts.push({
        jobId,
        taskId: 't0',
        attemptId: `a${jobId}`,
        workerId: 'worker-0',
        startedAtMs: sentAtMs,
        endedAtMs: sentAtMs + runMs,
        end: 'succeeded',
      });
    }
  });
  return record;
}

function runOf(name: string, record: RunRecord, more: Partial<ScenarioRun> = {}): ScenarioRun {
  const scenario: Scenario = scenarioOf(name);
  return {
    scenario,
    seed: 1,
    fromMs: 0,
    untilMs: 10_000,
    slots: 2,
    clientMs: 1,
    changes: [],
    record,
    calm: null,
    best: null,
    ...more,
  };
}

test('response over ideal counts complete jobs of the window with one client round trip', () => {
  const record = recordOf([
    { runMs: 98, sentAtMs: 0, tookMs: 100, answer: COMPLETE },
    { runMs: 98, sentAtMs: 100, tookMs: 100, answer: COMPLETE },
    { runMs: 198, sentAtMs: 200, tookMs: 600, answer: COMPLETE },
    { runMs: 98, sentAtMs: 300, tookMs: 15, answer: REFUSED },
    { runMs: 98, sentAtMs: 11_000, tookMs: 5000, answer: COMPLETE },
  ]);
  const { ratio, outcomes } = figuresOf('p', [runOf('steady-50', record)]);
  expect(ratio?.jobs).toEqual(3);
  expect(Math.abs((ratio?.median ?? 0) - 1) < 0.002).toEqual(true);
  expect(Math.abs((ratio?.p99 ?? 0) - 3) < 0.005).toEqual(true);
  expect(outcomes).toEqual({ complete: 3, refused: 1 });
});

test('waste adds up every useless message per start', () => {
  const record = recordOf([
    { runMs: 98, sentAtMs: 0, tookMs: 100, answer: COMPLETE },
    { runMs: 98, sentAtMs: 0, tookMs: 100, answer: COMPLETE },
  ]);
  record.startSent(0, 't0');
  record.startSent(0, 't0');
  record.count('startsRefused');
  record.count('probesWithoutEffect', 2);
  record.countOfCore('requests.moved', 30);
  record.countOfCore('requests.moved', 1);
  const { waste } = figuresOf('p', [runOf('steady-50', record)]);
  expect([waste.retries, waste.refusedStarts, waste.movedRequests]).toEqual([1, 1, 2]);
  expect(waste.perStart).toEqual(3);
});

test('kept throughput compares the slot-time of other work with the run without the flood', () => {
  const work = { sentAtMs: 0, tookMs: 500, answer: COMPLETE };
  const calm = recordOf([
    { ...work, runMs: 300 },
    { ...work, runMs: 100 },
  ]);
  const record = recordOf([
    { ...work, runMs: 300 },
    { ...work, runMs: 100, answer: REFUSED },
    { ...work, runMs: 900, flood: true },
  ]);
  expect(figuresOf('p', [runOf('flood-least', record, { calm })]).throughputKept).toEqual(0.75);
});

test('fleet use counts the slots of the workers that were there', () => {
  const record = recordOf([{ runMs: 9000, sentAtMs: 1000, tookMs: 9002, answer: COMPLETE }]);
  const changes = [{ atMs: 4000, slots: -1 }];
  const use = (run: ScenarioRun) => figuresOf('p', [run]).fleetUse;
  expect(use(runOf('steady-50', record))).toEqual(0.5);
  expect(use(runOf('steady-50', record, { changes }))).toEqual(0.75);
});

test('a refusal is late when it took over 20 ms and over half of the deadline', () => {
  const refusal = { runMs: 100, sentAtMs: 0, answer: REFUSED };
  const record = recordOf([
    { ...refusal, tookMs: 15 },
    { ...refusal, tookMs: 4000 },
    { ...refusal, tookMs: 6000 },
  ]);
  const figures = figuresOf('p', [runOf('steady-50', record)]);
  expect(figures.refusals).toEqual([
    { reason: 'overloaded', count: 3, slowestMs: 5998, late: 1, untrue: 0 },
  ]);
  const check = checkTargets(figures).find(({ target }) => target === 'late refusals');
  expect([check?.figure, check?.met]).toEqual([1, false]);
});

test('recovery is the time until useful slot-time is back at 0.95 of the best', () => {
  const start = (startedAtMs: number, endedAtMs: number) => ({
    jobId: 0,
    taskId: 't0',
    attemptId: 'a',
    workerId: 'w',
    startedAtMs,
    endedAtMs,
    end: 'succeeded' as const,
  });
  const best = new SlotTime([start(0, 10_000)], 10_000);
  const actual = new SlotTime([start(0, 2000), start(3000, 10_000)], 10_000);
  expect(best.between(0, 10_000)).toEqual(10_000);
  expect(recoveryMs(actual, best, 2000, 10_000)).toEqual(950);
  expect(recoveryMs(new SlotTime([], 10_000), best, 2000, 10_000)).toEqual(Infinity);
});
