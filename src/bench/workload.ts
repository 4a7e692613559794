/**
 * Workloads: kinds of work with their sizes and run times, and arrival processes. Loads are given as
 * a fraction of the fleet's slot-time. The sizes follow the users' descriptions in docs/design.md,
 * section 1: most tasks take 50 ms to 1 s, a few per cent several seconds, and most jobs are small.
 */
import type { Configuration, TeamPolicy } from '../configuration/policy';
import type { Resources } from '../core/job';
import type { SeededRandom } from './random';
import type { JobPlan, PlannedTask } from './records';

/** Jobs of one kind. Each field is drawn anew for each job or task. */
export interface KindModel {
  readonly team: string;
  readonly kind: string;
  readonly urgency: number;
  readonly idempotent: boolean;
  readonly deadlineMs: number;
  /** Fraction of the fleet's slot-time at a load of 1. */
  readonly fraction: number;
  /** Job sizes as weighted log-uniform ranges. */
  readonly sizes: readonly {
    readonly weight: number;
    readonly low: number;
    readonly high: number;
  }[];
  /** Log-uniform run time of most tasks. */
  readonly runMs: readonly [low: number, high: number];
  /** Fraction of tasks that take 2 to 6 s instead. */
  readonly longFraction: number;
}

/** A user's workload. */
export interface WorkloadModel {
  readonly name: string;
  readonly shares: Readonly<Record<string, number>>;
  readonly kinds: readonly KindModel[];
  readonly betweenDomainsMs: number;
}

const SMALL = [{ weight: 1, low: 1, high: 3 }] as const;
const MIXED = [
  { weight: 0.7, low: 1, high: 2 },
  { weight: 0.22, low: 2, high: 6 },
  { weight: 0.07, low: 6, high: 20 },
  { weight: 0.01, low: 21, high: 100 },
] as const;
const LONG_MS = [2000, 6000] as const;
const TASK_RESOURCES: Resources = { cores: 1, memoryMb: 1024, accelerators: 0 };

/** Chadar Franchise Holding, `kiosk-dispatch`. */
export const CHADAR: WorkloadModel = {
  name: 'chadar',
  shares: { kiosk: 0.33, payments: 0.33, logistics: 0.33 },
  betweenDomainsMs: 0.5,
  kinds: [
    {
      team: 'kiosk',
      kind: 'unlock',
      urgency: 0,
      idempotent: true,
      deadlineMs: 5000,
      fraction: 0.3,
      sizes: SMALL,
      runMs: [50, 500],
      longFraction: 0,
    },
    {
      team: 'payments',
      kind: 'settle',
      urgency: 3,
      idempotent: false,
      deadlineMs: 15_000,
      fraction: 0.33,
      sizes: MIXED,
      runMs: [50, 1000],
      longFraction: 0.02,
    },
    {
      team: 'logistics',
      kind: 'restock',
      urgency: 8,
      idempotent: true,
      deadlineMs: 30_000,
      fraction: 0.37,
      sizes: MIXED,
      runMs: [100, 1000],
      longFraction: 0.03,
    },
  ],
};

/** Addis Shuckers Collective, `booking-desk`. */
export const ADDIS: WorkloadModel = {
  name: 'addis',
  shares: { judges: 0.33, stations: 0.33, contest: 0.33 },
  betweenDomainsMs: 1,
  kinds: [
    {
      team: 'judges',
      kind: 'scorecard',
      urgency: 1,
      idempotent: true,
      deadlineMs: 15_000,
      fraction: 0.33,
      sizes: MIXED,
      runMs: [50, 1000],
      longFraction: 0.01,
    },
    {
      team: 'stations',
      kind: 'assign',
      urgency: 3,
      idempotent: false,
      deadlineMs: 10_000,
      fraction: 0.3,
      sizes: SMALL,
      runMs: [50, 500],
      longFraction: 0,
    },
    {
      team: 'contest',
      kind: 'tally',
      urgency: 8,
      idempotent: true,
      deadlineMs: 30_000,
      fraction: 0.37,
      sizes: MIXED,
      runMs: [100, 1000],
      longFraction: 0.03,
    },
  ],
};

/** The configuration that belongs to a workload. */
export function configurationOf(model: WorkloadModel): Configuration {
  const teams = Object.entries(model.shares).map(([name, share]): [string, TeamPolicy] => {
    const kinds = model.kinds.filter(({ team }) => team === name);
    return [
      name,
      {
        name,
        template: name,
        share,
        quotaSlots: null,
        kinds: new Map(
          kinds.map(({ kind, urgency, idempotent, deadlineMs }) => [
            kind,
            { name: kind, urgency, idempotent, deadlineMs },
          ]),
        ),
      },
    ];
  });
  return { generation: 1, publicationId: 'bench', teams: new Map(teams) };
}

/** Mean of a log-uniform variable. */
function logMean(low: number, high: number): number {
  return low === high ? low : (high - low) / Math.log(high / low);
}

/** Mean of the floor of a log-uniform variable on [low, high + 1). */
function meanSize(low: number, high: number): number {
  const width = Math.log((high + 1) / low);
  return Array.from({ length: high - low + 1 }, (_, index) => low + index).reduce(
    (sum, size) => sum + (size * Math.log((size + 1) / size)) / width,
    0,
  );
}

/** Mean slot-time of one job. */
export function meanJobMs(kind: KindModel): number {
  const size = kind.sizes.reduce(
    (sum, { weight, low, high }) => sum + weight * meanSize(low, high),
    0,
  );
  const short = logMean(...kind.runMs) * (1 - kind.longFraction);
  return size * (short + logMean(...LONG_MS) * kind.longFraction);
}

function drawSize(kind: KindModel, random: SeededRandom): number {
  let left = random.next();
  const range =
    kind.sizes.find(({ weight }) => {
      left -= weight;
      return left < 0;
    }) ?? kind.sizes[0];
  return range === undefined ? 1 : Math.floor(random.logBetween(range.low, range.high + 1));
}

function drawTask(kind: KindModel, random: SeededRandom): PlannedTask {
  const [low, high] = random.next() < kind.longFraction ? LONG_MS : kind.runMs;
  const runMs = Math.round(random.logBetween(low, high));
  return { runMs, declaredMs: Math.round(runMs * random.between(0.8, 1.25)) };
}

/** One job of a kind. Jobs of non-idempotent kinds carry a key. */
export function drawJob(kind: KindModel, random: SeededRandom): JobPlan {
  return {
    team: kind.team,
    kind: kind.kind,
    deadlineMs: kind.deadlineMs,
    tasks: Array.from({ length: drawSize(kind, random) }, () => drawTask(kind, random)),
    resources: TASK_RESOURCES,
    keyed: !kind.idempotent,
    flood: false,
  };
}

/** A job and when its caller submits it. */
export interface Arrival {
  readonly atMs: number;
  readonly plan: JobPlan;
}

/** A time span with a load. */
export interface Span {
  readonly fromMs: number;
  readonly untilMs: number;
  /** Fraction of the fleet's slot-time. */
  readonly load: number;
}

/** Poisson arrivals of one kind at a constant load. */
export function poisson(
  kind: KindModel,
  slots: number,
  span: Span,
  random: SeededRandom,
): readonly Arrival[] {
  const gapMs = meanJobMs(kind) / (slots * span.load);
  const arrivals: Arrival[] = [];
  let atMs = span.fromMs + random.exponential(gapMs);
  while (atMs < span.untilMs) {
    arrivals.push({ atMs, plan: drawJob(kind, random) });
    atMs += random.exponential(gapMs);
  }
  return arrivals;
}

/** Poisson arrivals of every kind of a model at the model's mix; `load` is that of all together. */
export function mix(
  model: WorkloadModel,
  slots: number,
  span: Span,
  random: SeededRandom,
): readonly Arrival[] {
  return model.kinds.flatMap((kind) =>
    poisson(
      kind,
      slots,
      { ...span, load: span.load * kind.fraction },
      random.stream(`${kind.team} ${kind.kind}`),
    ),
  );
}

/** Marks arrivals as extra load, whose fate doesn't count as other work's. */
export function asFlood(arrivals: readonly Arrival[]): readonly Arrival[] {
  return arrivals.map(({ atMs, plan }) => ({ atMs, plan: { ...plan, flood: true } }));
}
