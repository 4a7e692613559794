/** The targets of docs/design.md, section 2, and whether the figures of a scenario meet them. */
import type { ScenarioFigures } from './figures';

/** One target measured in one scenario. */
export interface TargetCheck {
  readonly target: string;
  readonly scenario: string;
  readonly policy: string;
  readonly figure: number;
  readonly bound: number;
  readonly met: boolean;
}

interface Target {
  readonly name: string;
  readonly bound: number;
  /** Whether the figure may not fall below the bound; otherwise it may not exceed it. */
  readonly least?: boolean;
  /** The figure, or null where the target doesn't apply. */
  readonly figure: (figures: ScenarioFigures) => number | null;
}

function total(counts: Readonly<Record<string, number>>): number {
  return Object.values(counts).reduce((sum, each) => sum + each, 0);
}

function steadyUpTo(load: number, figure: (figures: ScenarioFigures) => number | null) {
  return (figures: ScenarioFigures): number | null =>
    figures.class === 'steady' && figures.load <= load ? figure(figures) : null;
}

function inFlood(figure: (figures: ScenarioFigures) => number | null) {
  return (figures: ScenarioFigures): number | null =>
    figures.class === 'flood' ? figure(figures) : null;
}

const TARGETS: readonly Target[] = [
  {
    name: 'median response over ideal up to 70 % load',
    bound: 1.05,
    figure: steadyUpTo(0.7, ({ ratio }) => ratio?.median ?? Infinity),
  },
  {
    name: '99th percentile of response over ideal up to 70 % load',
    bound: 1.25,
    figure: steadyUpTo(0.7, ({ ratio }) => ratio?.p99 ?? Infinity),
  },
  {
    name: '99th percentile of response over ideal at 90 % load',
    bound: 2,
    figure: (figures) =>
      figures.class === 'steady' && figures.load > 0.7 ? (figures.ratio?.p99 ?? Infinity) : null,
  },
  {
    name: 'throughput of other work in a flood',
    bound: 0.97,
    least: true,
    figure: inFlood(({ throughputKept }) => throughputKept),
  },
  {
    name: '99th percentile of other work in a flood, over that without',
    bound: 1.5,
    figure: inFlood(({ ratio, calmRatio }) =>
      calmRatio === null ? null : (ratio?.p99 ?? Infinity) / calmRatio.p99,
    ),
  },
  {
    name: 'fleet use in a flood',
    bound: 0.95,
    least: true,
    figure: inFlood(({ fleetUse }) => fleetUse),
  },
  {
    name: 'wasted messages per start in steady load',
    bound: 0.01,
    figure: steadyUpTo(1, ({ waste }) => waste.perStart),
  },
  {
    name: 'wasted messages per start with one fault',
    bound: 0.05,
    figure: (figures) =>
      figures.class === 'fault' || figures.class === 'loss' ? figures.waste.perStart : null,
  },
  {
    name: 'late refusals',
    bound: 0,
    figure: ({ refusals }) => refusals.reduce((sum, { late }) => sum + late, 0),
  },
  {
    name: 'untrue refusals',
    bound: 0,
    figure: ({ refusals }) => refusals.reduce((sum, { untrue }) => sum + untrue, 0),
  },
  {
    name: 'failed tasks per failing worker',
    bound: 20,
    figure: ({ scenario, failedPerWorker }) =>
      scenario.includes('failing-worker') ? failedPerWorker : null,
  },
  {
    name: 'unknown tasks beyond those in progress on dead workers',
    bound: 0,
    figure: ({ scenario, unknownTasks, lostStarts }) =>
      scenario === 'workers-die' || scenario === 'rack-lost'
        ? Math.max(0, unknownTasks - lostStarts)
        : null,
  },
  {
    name: 'recovery of goodput after a loss, ms',
    bound: 2000,
    figure: ({ recoveryMs }) => recoveryMs,
  },
  { name: 'broken invariants', bound: 0, figure: ({ violations }) => total(violations) },
];

/** Measures every target that applies to a scenario. */
export function checkTargets(figures: ScenarioFigures): readonly TargetCheck[] {
  return TARGETS.flatMap(({ name, bound, least = false, figure }) => {
    const value = figure(figures);
    if (value === null) {
      return [];
    }
    const met = least ? value >= bound : value <= bound;
    const { scenario, policy } = figures;
    return [{ target: name, scenario, policy, figure: value, bound, met }];
  });
}
