/**
 * Makes docs/measurements.md: all targets for both users with both policies, pairs of faults, and each
 * guard switched off in the scenarios it is meant for. Run with: npm run measurements (a few minutes).
 */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { figuresOf, type ScenarioFigures } from '../src/bench/figures';
import { POLICIES, policyOf } from '../src/bench/policies';
import { reportOf } from '../src/bench/report';
import { runScenario, todaysShape } from '../src/bench/scenarioRun';
import { SCENARIOS, scenarioOf } from '../src/bench/scenarios';
import { checkTargets } from '../src/bench/targets';
import { ADDIS, CHADAR, type WorkloadModel } from '../src/bench/workload';
import { ALL_GUARDS, DEFAULT_OPTIONS, type Guards } from '../src/core/options';

const OUT = join(__dirname, '..', 'docs', 'measurements.md');
const SEEDS = [1, 2, 3];
const DURATION_MS = 20_000;
const POLICY = 'wasabiyoke';

const PAIRS = [
  'host-killed+flood-least',
  'scheduler-killed+rain',
  'rack-lost+host-paused',
  'domain-cut+flood-most',
  'workers-die+stragglers',
  'failing-worker+cancellations',
  'scheduler-paused+workers-leave',
  'domain-cut+host-killed',
];

/** Each guard with the scenarios that it is meant for. */
const GUARD_SCENARIOS: Readonly<Record<keyof Guards, readonly string[]>> = {
  reserve: ['flood-least', 'flood-most'],
  longTaskCap: ['steady-90', 'flood-least'],
  admission: ['rain', 'cancellations'],
  health: ['failing-worker', 'stragglers', 'rack-lost'],
  slowStart: ['workers-die', 'failing-worker'],
  spill: ['steady-90', 'flood-least'],
  learnedRunTimes: ['steady-90', 'declared-off'],
  retryBudget: ['rack-lost', 'scheduler-paused'],
  pauseGuard: ['host-paused', 'scheduler-paused'],
};

function measure(
  name: string,
  policy: string,
  model: WorkloadModel,
  guards: Guards = ALL_GUARDS,
): ScenarioFigures {
  const settings = {
    shape: todaysShape(model),
    model,
    coreOptions: { ...DEFAULT_OPTIONS, guards },
    durationMs: DURATION_MS,
    traceDecisions: false,
  };
  process.stderr.write(`${name} ${policy} ${model.name}\n`);
  const scenario = scenarioOf(name);
  return figuresOf(
    policy,
    SEEDS.map((seed) => runScenario(scenario, policyOf(policy), seed, settings)),
  );
}

function cell(value: number | null | undefined, digits = 3): string {
  return value === null || value === undefined ? '-' : value.toFixed(digits);
}

function otherOverCalm({ ratio, calmRatio }: ScenarioFigures): number | null {
  return ratio && calmRatio ? ratio.p99 / calmRatio.p99 : null;
}

function guardRow(guard: string, state: string, figures: ScenarioFigures): string {
  const missed = checkTargets(figures).filter(({ met }) => !met);
  return `| ${[
    guard,
    figures.scenario,
    state,
    cell(figures.ratio?.p99),
    cell(figures.throughputKept),
    cell(otherOverCalm(figures)),
    cell(figures.waste.perStart, 4),
    missed.map(({ target }) => target).join('; ') || 'none',
  ].join(' | ')} |`;
}

function guardTable(): string {
  const rows = Object.entries(GUARD_SCENARIOS).flatMap(([guard, scenarios]) =>
    scenarios.flatMap((name) => [
      guardRow(guard, 'on', measure(name, POLICY, CHADAR)),
      guardRow(guard, 'off', measure(name, POLICY, CHADAR, { ...ALL_GUARDS, [guard]: false })),
    ]),
  );
  return [
    '| guard | scenario | state | response over ideal, 99th percentile | throughput of other work kept | 99th percentile of other work over that without the flood | wasted messages per start | targets missed |',
    '| --- | --- | --- | --- | --- | --- | --- | --- |',
    ...rows,
  ].join('\n');
}

function section(title: string, heading: string, figures: readonly ScenarioFigures[]): string {
  const report = reportOf(heading, figures)
    .replace(/^# .*\n+/, '')
    .replace(/^## /gm, '### ');
  return `## ${title}\n\n${report}`;
}

function missedOf(user: string, figures: readonly ScenarioFigures[]): readonly string[] {
  const missed = figures
    .filter(({ policy }) => policy === POLICY)
    .flatMap(checkTargets)
    .filter(({ met }) => !met);
  return missed.map(
    ({ scenario, target, figure, bound }) =>
      `- ${user}, ${scenario}: ${target} is ${cell(figure)}, target ${bound}`,
  );
}

async function main(): Promise<void> {
  const heading = `Seeds ${SEEDS.join(', ')}, ${DURATION_MS / 1000} s each, all guards on.`;
  const names = SCENARIOS.map(({ name }) => name);
  const byUser = [CHADAR, ADDIS].map((model) => ({
    model,
    figures: names.flatMap((name) =>
      [...POLICIES.keys()].map((policy) => measure(name, policy, model)),
    ),
  }));
  const pairs = PAIRS.map((name) => measure(name, POLICY, CHADAR));
  const missed = [
    ...byUser.flatMap(({ model, figures }) => missedOf(model.name, figures)),
    ...missedOf(CHADAR.name, pairs),
  ];
  const text = [
    '# Measurements',
    'Made by `npm run measurements`: real cores of nine entry hosts in virtual time against fakes of 30 workers of 8 slots (src/bench). It models delays, slots and faults, but neither CPU nor bandwidth. The baseline is a random worker with one first-in-first-out queue per host. What was tried and not kept is in docs/experiments.md.',
    `## Targets missed\n\n${missed.join('\n') || '- none'}`,
    ...byUser.map(({ model, figures }) => section(`Workload ${model.name}`, heading, figures)),
    section('Pairs of faults, workload chadar', heading, pairs),
    `## Each guard on and off, workload chadar\n\n${heading}\n\n${guardTable()}`,
  ].join('\n\n');
  await writeFile(OUT, `${text}\n`);
}

main().catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});
