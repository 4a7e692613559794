/** Expectations on the metrics of docs/design.md, section 2. */
import { Then } from '@cucumber/cucumber';
import { expect } from 'earl';
import {
  endOf,
  lateRefusals,
  movesPerStart,
  ratioAt,
  slotsInUse,
  slowestRecoveryMs,
  submissions,
  usefulMs,
  wastePerStart,
} from '../support/figures';
import { toMs } from '../support/names';
import { fleet } from '../support/scenario';

const CLIENT_MS = 1;

/** Says by how much a figure misses its bound. */
function expectAtMost(what: string, value: number, limit: number): void {
  expect(value <= limit ? 'within' : `${what} is ${value}, above ${limit}`).toEqual('within');
}

function expectAtLeast(what: string, value: number, limit: number): void {
  expect(value >= limit ? 'within' : `${what} is ${value}, below ${limit}`).toEqual('within');
}

Then(
  /^at least (\d+) % of the slots were in use over the last (\d+) seconds?$/,
  (percent: string, seconds: string) => {
    const { nowMs } = fleet();
    const used = slotsInUse(fleet(), nowMs - Number(seconds) * 1000, nowMs);
    expectAtLeast('use', used, Number(percent) / 100);
  },
);

Then('at least {int} % of the slots are in use', (percent: number) => {
  const { nowMs } = fleet();
  expectAtLeast('use', slotsInUse(fleet(), nowMs - 1000, nowMs), percent / 100);
});

Then('at most {int} % of the slots are in use', (percent: number) => {
  const { nowMs } = fleet();
  expectAtMost('use', slotsInUse(fleet(), nowMs - 1000, nowMs), percent / 100);
});

Then('wasted messages are at most {float} per task start', (limit: number) => {
  expectAtMost('waste', wastePerStart(fleet().harness.record), limit);
});

Then('wasted messages and moved requests are at most {float} per task start', (limit: number) => {
  const { record } = fleet().harness;
  expectAtMost('waste', wastePerStart(record) + movesPerStart(record), limit);
});

Then('every refusal came within {int} ms or before half of the deadline', (limit: number) => {
  expect(lateRefusals(fleet().harness.record, limit)).toEqual([]);
});

Then('every refusal that says when to come back gives a time above 0', () => {
  const answers = fleet().harness.record.calls.map(({ answer }) => answer);
  const refused = answers.filter((answer) => answer?.reason === 'overloaded');
  expect(refused.filter((answer) => !((answer?.retryAfterMs ?? 0) > 0))).toEqual([]);
});

Then(
  /^the (\d+)(?:st|nd|rd|th) percentile of response over ideal is at most ([\d.]+)$/,
  (percentile: string, limit: string) => {
    const ratio = ratioAt(fleet().harness.record, null, Number(percentile), CLIENT_MS);
    expectAtMost('ratio', ratio, Number(limit));
  },
);

Then(
  'team {word} keeps {int} % of its throughput without the flood',
  (team: string, percent: number) => {
    const calm = fleet().withoutFloods();
    expect(usefulMs(calm.harness.record, team) > 0).toEqual(true);
    const kept = usefulMs(fleet().harness.record, team) / usefulMs(calm.harness.record, team);
    expectAtLeast(`throughput of ${team}`, kept, percent / 100);
  },
);

Then(
  'the 99th percentile of other work is at most {float} times that without the flood',
  (times: number) => {
    const calm = ratioAt(fleet().withoutFloods().harness.record, null, 99, CLIENT_MS);
    const ratio = ratioAt(fleet().harness.record, null, 99, CLIENT_MS);
    expectAtMost('99th percentile of other work', ratio / calm, times);
  },
);

Then(
  'worker {int} of domain {word} has failed at most {int} tasks',
  (ordinal: number, domain: string, limit: number) => {
    const id = fleet().workerId(ordinal, domain);
    const failed = fleet().harness.record.starts.filter(
      ({ workerId, end }) => workerId === id && end === 'failed',
    );
    expect(failed.length > 0).toEqual(true);
    expectAtMost('failures', failed.length, limit);
  },
);

Then('at most {int} tasks are of unknown outcome', (limit: number) => {
  const answers = submissions(fleet().harness.record, null).map(({ answer }) => answer);
  const unknown = answers
    .flatMap((answer) => answer?.tasks ?? [])
    .filter(({ state }) => state === 'unknown');
  expectAtMost('unknown tasks', unknown.length, limit);
});

Then('at most {int} tasks were lost with their worker', (limit: number) => {
  const lost = fleet().harness.record.starts.filter(({ end }) => end === 'lost');
  expectAtMost('lost tasks', lost.length, limit);
});

Then(
  /^goodput is back at 95 % of the best possible within (\d+) (ms|seconds?) of each loss$/,
  (value: string, unit: string) => {
    expectAtMost('recovery', slowestRecoveryMs(fleet(), fleet().nowMs), toMs(value, unit));
  },
);

Then('each refused job was refused as {word}', (reason: string) => {
  const refused = submissions(fleet().harness.record, null).filter((c) => endOf(c) === 'refused');
  expect(refused.length > 0).toEqual(true);
  expect(refused.filter(({ answer }) => answer?.reason !== reason)).toEqual([]);
});

Then('every refusal came within {int} ms of its arrival', (limit: number) => {
  const refused = fleet().harness.record.calls.filter((call) => endOf(call) === 'refused');
  const tookMs = refused.map(
    ({ arrivedAtMs, decidedAtMs }) => (decidedAtMs ?? Infinity) - (arrivedAtMs ?? 0),
  );
  expect(tookMs.filter((each) => each > limit)).toEqual([]);
});
