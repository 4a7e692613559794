/** Runs one scenario with one policy and one seed, with its reference runs. */
import type { CoreOptions } from '../core/options';
import type { CoreFactory } from './entryHost';
import type { FleetShape } from './fleet';
import { Harness } from './harness';
import type { CapacityChange } from './pool';
import { runPool } from './pool';
import { SeededRandom } from './random';
import type { RunRecord } from './records';
import type { Scenario, Stage } from './scenarios';
import { arrivalsOf, WARM_UP_MS } from './scenarios';
import type { Arrival, WorkloadModel } from './workload';
import { configurationOf } from './workload';

/** What all runs of a bench have in common. */
export interface RunSettings {
  readonly shape: FleetShape;
  readonly model: WorkloadModel;
  readonly coreOptions: CoreOptions;
  /** Length of the measured window. */
  readonly durationMs: number;
  readonly traceDecisions: boolean;
}

/** One run, and what it is compared with. */
export interface ScenarioRun {
  readonly scenario: Scenario;
  readonly seed: number;
  readonly fromMs: number;
  readonly untilMs: number;
  readonly slots: number;
  readonly clientMs: number;
  /** Slots lost with workers during the run. */
  readonly changes: readonly CapacityChange[];
  readonly record: RunRecord;
  /** The same work without the flood; null if there is no flood. */
  readonly calm: RunRecord | null;
  /** What the fleet can deliver at best; null if not needed. */
  readonly best: RunRecord | null;
}

/** Today's size of both users. */
export function todaysShape(model: WorkloadModel): FleetShape {
  return {
    domains: ['domain-a', 'domain-b', 'domain-c'],
    hosts: 9,
    workers: 30,
    slots: 8,
    rackSize: 8,
    resources: { cores: 60, memoryMb: 250_000, accelerators: 0 },
    sameDomainMs: 0.25,
    betweenDomainsMs: model.betweenDomainsMs,
    clientMs: 1,
  };
}

/** The window starts after the hosts have started and the fleet is at work. */
const START_MS = 1000;
/** Longer than every deadline, so that every call is answered. */
const SETTLE_MS = 35_000;

function stageOf(settings: RunSettings, seed: number): Stage {
  const fromMs = START_MS + WARM_UP_MS;
  return {
    model: settings.model,
    slots: settings.shape.workers * settings.shape.slots,
    random: new SeededRandom(seed, 'scenario'),
    fromMs,
    untilMs: fromMs + settings.durationMs,
  };
}

function drive(
  scenario: Scenario,
  createCore: CoreFactory,
  seed: number,
  settings: RunSettings,
  arrivals: readonly Arrival[],
  stage: Stage,
): RunRecord {
  const harness = new Harness({
    seed,
    shape: settings.shape,
    createCore,
    coreOptions: settings.coreOptions,
    configuration: configurationOf(settings.model),
    traceDecisions: settings.traceDecisions,
  });
  arrivals.forEach(({ atMs, plan }) => harness.timeline.at(atMs, () => harness.submit(plan)));
  scenario.faults?.(harness, stage);
  harness.runUntil(stage.untilMs);
  harness.record.stopCounting();
  harness.runUntil(stage.untilMs + SETTLE_MS);
  return harness.record;
}

/** Slots lost with workers; faults of hosts take none away. */
function capacityChanges(record: RunRecord, shape: FleetShape): readonly CapacityChange[] {
  return record.faults
    .filter(({ name }) => name.startsWith('killWorker'))
    .map(({ atMs }) => ({ atMs, slots: -shape.slots }));
}

/** Runs a scenario. */
export function runScenario(
  scenario: Scenario,
  createCore: CoreFactory,
  seed: number,
  settings: RunSettings,
): ScenarioRun {
  const stage = stageOf(settings, seed);
  const { base, flood } = arrivalsOf(scenario, stage);
  const all = [...base, ...flood];
  const record = drive(scenario, createCore, seed, settings, all, stage);
  const calm = flood.length > 0 ? drive(scenario, createCore, seed, settings, base, stage) : null;
  const { model, shape } = settings;
  const changes = capacityChanges(record, shape);
  const best = runPool(model, stage.slots, shape.clientMs, all, changes, stage.untilMs + SETTLE_MS);
  const { fromMs, untilMs, slots } = stage;
  return {
    scenario,
    seed,
    fromMs,
    untilMs,
    slots,
    clientMs: shape.clientMs,
    changes,
    record,
    calm,
    best,
  };
}
