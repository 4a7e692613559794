/** Figures of one scenario under one policy, over all seeds. */
import { checkRun } from './oracle';
import type { Violation } from './oracle';
import type { Percentiles } from './ratios';
import { callsOf, Ratios } from './ratios';
import type { CallRecord, RunRecord } from './records';
import { resultOf } from './records';
import type { ScenarioClass } from './scenarios';
import type { ScenarioRun } from './scenarioRun';
import { recoveryMs, SlotTime, usefulStarts } from './slotTime';

/** Refusals for one reason; `late` took over 20 ms and over half of the deadline. */
export interface RefusalFigures {
  readonly reason: string;
  readonly count: number;
  readonly slowestMs: number;
  readonly late: number;
  /** Says "not run", but a task started. */
  readonly untrue: number;
}

/** Messages without use, by kind. A request counts once when it moves, for any number of slots. */
export interface WasteFigures {
  readonly refusedStarts: number;
  readonly retries: number;
  readonly unwantedResults: number;
  readonly probesWithoutEffect: number;
  readonly movedRequests: number;
  readonly unusedGrants: number;
  readonly perStart: number;
}

/** All figures of one scenario under one policy. */
export interface ScenarioFigures {
  readonly scenario: string;
  readonly class: ScenarioClass;
  readonly load: number;
  readonly policy: string;
  readonly seeds: readonly number[];
  /** Jobs sent in the window, by outcome; the flood's apart. */
  readonly outcomes: Readonly<Record<string, number>>;
  readonly floodOutcomes: Readonly<Record<string, number>>;
  readonly ratio: Percentiles | null;
  readonly ratioByKind: Readonly<Record<string, Percentiles | null>>;
  /** The same of the pool without delays. */
  readonly bestRatio: Percentiles | null;
  readonly calmRatio: Percentiles | null;
  /** Useful slot-time of other work over that without the flood. */
  readonly throughputKept: number | null;
  readonly fleetUse: number;
  readonly usefulUse: number;
  readonly waste: WasteFigures;
  readonly refusals: readonly RefusalFigures[];
  /** Most failed tasks of one failing worker. */
  readonly failedPerWorker: number;
  /** Unknown tasks that were lost or never started, and starts that died with their worker. */
  readonly unknownTasks: number;
  readonly lostStarts: number;
  /** Longest time to recover from a loss; null if nothing was lost. */
  readonly recoveryMs: number | null;
  readonly violations: Readonly<Record<string, number>>;
  readonly violationExamples: readonly Violation[];
}

const REFUSAL_LIMIT_MS = 20;
/** Fleet use in a flood is measured once the flood has filled the queues. */
const FILL_MS = 1000;
const RAIN_MS = 5000;

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function tally(names: readonly string[]): Readonly<Record<string, number>> {
  const counts = new Map<string, number>();
  names.forEach((name) => counts.set(name, (counts.get(name) ?? 0) + 1));
  return Object.fromEntries([...counts].sort());
}

function outcomeOf({ answer, lost }: CallRecord): string {
  return answer?.outcome ?? (lost ? 'lost' : 'unanswered');
}

function windowCalls(run: ScenarioRun, record: RunRecord, flood: boolean): readonly CallRecord[] {
  return callsOf(record, run.fromMs, run.untilMs, flood);
}

function ratiosOf(runs: readonly ScenarioRun[], pick: (run: ScenarioRun) => RunRecord | null) {
  const ratios = new Ratios();
  runs.forEach((run) => {
    const record = pick(run);
    if (record !== null) {
      ratios.add(record, windowCalls(run, record, false), run.clientMs);
    }
  });
  return ratios;
}

/** Slot-time of complete jobs sent in the window, without the flood's. */
function usefulMs(run: ScenarioRun, record: RunRecord): number {
  const complete = windowCalls(run, record, false).filter(
    ({ answer }) => answer?.outcome === 'complete',
  );
  return sum(complete.flatMap(({ jobId }) => record.job(jobId).plan.tasks.map((t) => t.runMs)));
}

function wasteOf(runs: readonly ScenarioRun[]): WasteFigures {
  const of = (...names: Parameters<RunRecord['messages']>[0][]): number =>
    sum(runs.flatMap(({ record }) => names.map((name) => record.messages(name))));
  const ofCore = (name: string): number =>
    sum(runs.map(({ record }) => record.coreCountings.get(name) ?? 0));
  const parts = {
    refusedStarts: of('startsRefused', 'startsUnreachable'),
    retries: of('taskRetries'),
    unwantedResults: of('unwantedResults'),
    probesWithoutEffect: of('probesWithoutEffect', 'pollsFailed'),
    movedRequests: ofCore('requests.moved'),
    unusedGrants: ofCore('grants.unused'),
  };
  const starts = sum(runs.map(({ record }) => record.startsCounted));
  return { ...parts, perStart: starts === 0 ? 0 : sum(Object.values(parts)) / starts };
}

interface Refusal {
  readonly reason: string;
  readonly tookMs: number;
  readonly late: boolean;
  readonly untrue: boolean;
}

function refusalsOfRun({ record }: ScenarioRun): readonly Refusal[] {
  const started = new Set(record.starts.map(({ jobId }) => jobId));
  return record.calls.flatMap(({ type, answer, jobId, arrivedAtMs, decidedAtMs }) => {
    if (type !== 'submit' || answer?.outcome !== 'refused') {
      return [];
    }
    const tookMs = (decidedAtMs ?? 0) - (arrivedAtMs ?? 0);
    const half = record.job(jobId).plan.deadlineMs / 2;
    return [
      {
        reason: answer.reason ?? '',
        tookMs,
        late: tookMs > REFUSAL_LIMIT_MS && tookMs > half,
        untrue: answer.notRun && started.has(jobId),
      },
    ];
  });
}

function refusalFigures(runs: readonly ScenarioRun[]): readonly RefusalFigures[] {
  const all = runs.flatMap(refusalsOfRun);
  return [...new Set(all.map(({ reason }) => reason))].sort().map((reason) => {
    const same = all.filter((each) => each.reason === reason);
    return {
      reason,
      count: same.length,
      slowestMs: same.reduce((most, { tookMs }) => Math.max(most, tookMs), 0),
      late: same.filter(({ late }) => late).length,
      untrue: same.filter(({ untrue }) => untrue).length,
    };
  });
}

function failedPerWorker({ record }: ScenarioRun): number {
  const failed = record.starts.filter(({ end }) => end === 'failed').map((each) => each.workerId);
  return Math.max(0, ...Object.values(tally(failed)));
}

/**
 * Tasks reported as unknown that were lost with a worker or never started. Siblings that ran elsewhere
 * and were stopped when their job failed are a consequence of these and don't count.
 */
function unknownTasks({ record }: ScenarioRun): number {
  const ends = new Map(
    record.starts.map(({ jobId, taskId, end }) => [resultOf(jobId, taskId), end]),
  );
  const gone = (task: string): boolean => ['lost', undefined].includes(ends.get(task) ?? undefined);
  return sum(
    record.calls
      .filter(({ type }) => type === 'submit')
      .map(
        ({ answer, jobId }) =>
          answer?.tasks.filter(({ id, state }) => state === 'unknown' && gone(resultOf(jobId, id)))
            .length ?? 0,
      ),
  );
}

function recoveryOf(run: ScenarioRun): number | null {
  const { record, best, untilMs } = run;
  const losses = record.faults.filter(({ name }) => /^kill(Worker|Host)/.test(name));
  if (best === null || losses.length === 0 || run.scenario.class !== 'loss') {
    return null;
  }
  const actual = new SlotTime(usefulStarts(record), untilMs);
  const ideal = new SlotTime(usefulStarts(best), untilMs);
  return Math.max(...losses.map(({ atMs }) => recoveryMs(actual, ideal, atMs, untilMs)));
}

/** Busy slot-time over that of the workers that were there. */
function fleetUse(run: ScenarioRun): number {
  const isRain = run.scenario.name.includes('rain');
  const fromMs = run.fromMs + FILL_MS;
  const untilMs = isRain ? run.fromMs + RAIN_MS : run.untilMs;
  const busy = new SlotTime(run.record.starts, run.untilMs).between(fromMs, untilMs);
  const changed = run.changes.map(
    ({ atMs, slots }) => slots * Math.max(0, untilMs - Math.max(atMs, fromMs)),
  );
  return busy / (run.slots * (untilMs - fromMs) + sum(changed));
}

function mean(values: readonly number[]): number {
  return values.length === 0 ? 0 : sum(values) / values.length;
}

function keptThroughput(runs: readonly ScenarioRun[]): number | null {
  const compared = runs.filter(({ calm }) => calm !== null);
  const without = sum(compared.map((run) => usefulMs(run, run.calm ?? run.record)));
  return without === 0 ? null : sum(compared.map((run) => usefulMs(run, run.record))) / without;
}

/** Computes the figures of the runs of one scenario under one policy. */
export function figuresOf(policy: string, runs: readonly ScenarioRun[]): ScenarioFigures {
  const [first] = runs;
  if (first === undefined) {
    throw new Error('figures need a run');
  }
  const ratios = ratiosOf(runs, ({ record }) => record);
  const violations = runs.flatMap(({ record }) => checkRun(record, { settled: true }));
  const recoveries = runs.map(recoveryOf).filter((each): each is number => each !== null);
  const outcomes = (flood: boolean) =>
    tally(runs.flatMap((run) => windowCalls(run, run.record, flood).map(outcomeOf)));
  return {
    scenario: first.scenario.name,
    class: first.scenario.class,
    load: first.scenario.load,
    policy,
    seeds: runs.map(({ seed }) => seed),
    outcomes: outcomes(false),
    floodOutcomes: outcomes(true),
    ratio: ratios.all(),
    ratioByKind: ratios.byKind(),
    bestRatio: first.scenario.class === 'flood' ? null : ratiosOf(runs, ({ best }) => best).all(),
    calmRatio: ratiosOf(runs, ({ calm }) => calm).all(),
    throughputKept: keptThroughput(runs),
    fleetUse: mean(runs.map(fleetUse)),
    usefulUse: mean(
      runs.map((run) => usefulMs(run, run.record) / (run.slots * (run.untilMs - run.fromMs))),
    ),
    waste: wasteOf(runs),
    refusals: refusalFigures(runs),
    failedPerWorker: Math.max(...runs.map(failedPerWorker)),
    unknownTasks: sum(runs.map(unknownTasks)),
    lostStarts: sum(
      runs.map(({ record }) => record.starts.filter(({ end }) => end === 'lost').length),
    ),
    recoveryMs: recoveries.length === 0 ? null : Math.max(...recoveries),
    violations: tally(violations.map(({ rule }) => rule)),
    violationExamples: violations.slice(0, 5),
  };
}
