/** The report of a bench run: figures and targets side by side for each policy, as Markdown. */
import type { ScenarioFigures } from './figures';
import type { Percentiles } from './ratios';
import type { TargetCheck } from './targets';
import { checkTargets } from './targets';

function round(value: number, digits: number): string {
  return Number.isFinite(value) ? value.toFixed(digits) : 'never';
}

function row(cells: readonly string[]): string {
  return `| ${cells.join(' | ')} |`;
}

function table(head: readonly string[], rows: readonly (readonly string[])[]): string {
  return [row(head), row(head.map(() => '---')), ...rows.map(row), ''].join('\n');
}

function listOf(counts: Readonly<Record<string, number>>): string {
  const parts = Object.entries(counts).map(([name, count]) => `${name} ${count}`);
  return parts.length === 0 ? '-' : parts.join(', ');
}

function ratioCell(ratio: Percentiles | null): string {
  return ratio === null
    ? '-'
    : [ratio.median, ratio.p99, ratio.p999].map((each) => round(each, 2)).join(' / ');
}

function optional(value: number | null, digits: number): string {
  return value === null ? '-' : round(value, digits);
}

function figureRows(all: readonly ScenarioFigures[]) {
  return all.map((each) => [
    each.scenario,
    each.policy,
    ratioCell(each.ratio),
    ratioCell(each.bestRatio),
    round(each.waste.perStart, 4),
    optional(each.throughputKept, 3),
    round(each.fleetUse, 3),
    optional(each.recoveryMs, 0),
    listOf(each.outcomes),
    listOf(each.violations),
  ]);
}

function kindRows(all: readonly ScenarioFigures[]) {
  return all.flatMap((each) =>
    Object.entries(each.ratioByKind).map(([kind, ratio]) => [
      each.scenario,
      each.policy,
      kind,
      ratioCell(ratio),
    ]),
  );
}

function wasteRows(all: readonly ScenarioFigures[]) {
  return all.map(({ scenario, policy, waste }) => [
    scenario,
    policy,
    ...[
      waste.refusedStarts,
      waste.retries,
      waste.unwantedResults,
      waste.probesWithoutEffect,
      waste.movedRequests,
      waste.unusedGrants,
    ].map(String),
    round(waste.perStart, 4),
  ]);
}

function refusalRows(all: readonly ScenarioFigures[]) {
  return all.flatMap(({ scenario, policy, refusals }) =>
    refusals.map(({ reason, count, slowestMs, late, untrue }) => [
      scenario,
      policy,
      reason,
      String(count),
      round(slowestMs, 1),
      String(late),
      String(untrue),
    ]),
  );
}

function targetRows(all: readonly ScenarioFigures[]) {
  const policies = [...new Set(all.map(({ policy }) => policy))];
  const checks = all.flatMap(checkTargets);
  const places = new Map<string, TargetCheck>();
  checks.forEach((check) => places.set(`${check.target}\n${check.scenario}`, check));
  return [...places.values()].map(({ target, scenario, bound }) => [
    target,
    scenario,
    String(bound),
    ...policies.map((policy) => {
      const check = checks.find(
        (each) => each.target === target && each.scenario === scenario && each.policy === policy,
      );
      return check === undefined
        ? '-'
        : `${round(check.figure, 3)} ${check.met ? 'met' : '**not met**'}`;
    }),
  ]);
}

/** The report; `heading` says what was run. */
export function reportOf(heading: string, all: readonly ScenarioFigures[]): string {
  const policies = [...new Set(all.map(({ policy }) => policy))];
  return [
    `# Bench\n\n${heading}\n`,
    'Ratios are response over ideal: median / 99th / 99.9th percentile of complete jobs. The pool is an',
    'unattainable reference: all slots in one queue without delays or faults.\n',
    '## Targets\n',
    table(['target', 'scenario', 'bound', ...policies], targetRows(all)),
    '## Figures\n',
    table(
      [
        'scenario',
        'policy',
        'ratio',
        'pool',
        'waste per start',
        'throughput kept',
        'fleet use',
        'recovery ms',
        'outcomes',
        'broken invariants',
      ],
      figureRows(all),
    ),
    '## Ratios by kind\n',
    table(['scenario', 'policy', 'kind', 'ratio'], kindRows(all)),
    '## Wasted messages\n',
    table(
      [
        'scenario',
        'policy',
        'refused starts',
        'retries',
        'unwanted results',
        'probes without effect',
        'moved requests',
        'unused grants',
        'per start',
      ],
      wasteRows(all),
    ),
    '## Refusals\n',
    table(
      ['scenario', 'policy', 'reason', 'count', 'slowest ms', 'late', 'untrue'],
      refusalRows(all),
    ),
  ].join('\n');
}
