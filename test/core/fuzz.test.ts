/**
 * Runs random sequences of submissions, cancellations and faults against the real cores and checks
 * each run with the oracle. Guards against tasks that start twice, answers that falsely say "not
 * run", answers with results of another job, and calls with several answers or none. FUZZ_RUNS and
 * FUZZ_SEED set the number of sequences and the seed.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { checkRun, type CoreContext, type Harness } from '../../src/bench';
import { HostCore } from '../../src/core';
import { plan, SMALL_FLEET, smallHarness } from '../bench/support';

const RUNS = Number(process.env.FUZZ_RUNS ?? 1000);
const SEED = Number(process.env.FUZZ_SEED ?? 20261204);
const DEADLINE_MS = 3000;
const SETTLE_MS = 12_000;

function createCore(context: CoreContext): HostCore {
  return new HostCore({
    ...context,
    secret: context.incarnation,
    chooseScheduler: (name, members) => {
      const candidates = members.filter((m) => m.domain === name && m.state !== 'dead');
      return candidates.find((m) => m.state !== 'leaving') ?? candidates[0] ?? null;
    },
  });
}

interface Command {
  readonly name: string;
  readonly at: number;
  readonly run: (harness: Harness) => void;
}

function command(name: string, run: (harness: Harness, at: number) => void) {
  return fc
    .nat(1000)
    .map((at): Command => ({ name: `${name}(${at})`, at, run: (harness) => run(harness, at) }));
}

function hostId(harness: Harness, at: number): string {
  return harness.hosts[at % harness.hosts.length]?.id ?? '';
}

function workerId(harness: Harness, at: number): string {
  return [...harness.workers.keys()][at % harness.workers.size] ?? '';
}

function domainName(at: number): string {
  return SMALL_FLEET.domains[at % SMALL_FLEET.domains.length] ?? '';
}

/** One of the last four jobs with a key, because these may still be in progress. */
function keyedJob(harness: Harness, at: number): number | null {
  const keyed = harness.record.jobs.filter(({ key }) => key !== null);
  return keyed[keyed.length - 1 - (at % 4)]?.jobId ?? null;
}

function onJob(run: (harness: Harness, jobId: number) => void) {
  return (harness: Harness, at: number) => {
    const jobId = keyedJob(harness, at);
    if (jobId !== null) run(harness, jobId);
  };
}

const submit = command('submit', (harness, at) => {
  const tasks = Array.from({ length: 1 + (at % 9) }, (_, index) => 20 + ((at * 7 + index) % 900));
  harness.submit(plan(tasks, { deadlineMs: DEADLINE_MS, keyed: at % 5 !== 0 }));
});
const wait = command('wait', (harness, at) => harness.runUntil(harness.nowMs + at));
const faults = [
  command(
    'cancel',
    onJob((harness, jobId) => harness.callers.cancel(jobId)),
  ),
  command(
    'resubmit',
    onJob((harness, jobId) => harness.callers.resubmit(jobId)),
  ),
  command('killHost', (harness, at) => harness.killHost(hostId(harness, at))),
  command('startHost', (harness, at) => harness.startHost(hostId(harness, at))),
  command('pauseHost', (harness, at) => harness.pauseHost(hostId(harness, at))),
  command('resumeHost', (harness, at) => harness.resumeHost(hostId(harness, at))),
  command('drainHost', (harness, at) => harness.drainHost(hostId(harness, at))),
  command('cut', (harness, at) => harness.cutDomain(domainName(at))),
  command('heal', (harness, at) => harness.healDomain(domainName(at))),
  command('killWorker', (harness, at) =>
    harness.killWorker(workerId(harness, at), at % 2 ? 'dead' : 'silent'),
  ),
  command('restartWorker', (harness, at) => harness.restartWorker(workerId(harness, at))),
  command('freezeWorker', (harness, at) => harness.freezeWorker(workerId(harness, at))),
  command('thawWorker', (harness, at) => harness.thawWorker(workerId(harness, at))),
  command('leaving', (harness, at) => harness.setLeaving(workerId(harness, at), at % 2 === 0)),
  command('slow', (harness, at) => harness.setWorker(workerId(harness, at), { slowFactor: 20 })),
  command('failing', (harness, at) =>
    harness.setWorker(workerId(harness, at), { failEveryTask: true }),
  ),
  command('losing', (harness, at) =>
    harness.setWorker(workerId(harness, at), { loseAnswers: 0.5 }),
  ),
];

function recover(harness: Harness): void {
  SMALL_FLEET.domains.forEach((name) => harness.healDomain(name));
  harness.hosts.forEach(({ id }) => harness.resumeHost(id));
  harness.runUntil(harness.nowMs + SETTLE_MS);
}

describe('random commands and faults', () => {
  it(`violate no invariant (${RUNS} sequences, seed ${SEED})`, () => {
    const commands = fc.array(
      fc.oneof(
        { arbitrary: submit, weight: 12 },
        { arbitrary: wait, weight: 8 },
        ...faults.map((arbitrary) => ({ arbitrary, weight: 1 })),
      ),
      { minLength: 5, maxLength: 40 },
    );
    let answers = 0;
    let starts = 0;
    fc.assert(
      fc.property(commands, fc.nat(), (sequence, seed) => {
        const harness = smallHarness(createCore, seed);
        harness.runUntil(200);
        sequence.forEach(({ run }) => run(harness));
        recover(harness);
        answers += harness.record.calls.filter(({ answer }) => answer !== null).length;
        starts += harness.record.starts.length;
        expect(checkRun(harness.record, { settled: true })).toEqual([]);
      }),
      { numRuns: RUNS, seed: SEED },
    );
    // A harness that starts or answers nothing would pass the checks above.
    expect(starts > RUNS).toEqual(true);
    expect(answers > RUNS).toEqual(true);
  });
});
