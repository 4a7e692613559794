/** A small fleet for the tests of the bench. */
import type { CoreFactory } from '../../src/bench/entryHost';
import type { FleetShape } from '../../src/bench/fleet';
import { Harness } from '../../src/bench/harness';
import type { JobPlan } from '../../src/bench/records';
import { CHADAR, configurationOf } from '../../src/bench/workload';
import { DEFAULT_OPTIONS } from '../../src/core/options';

export const SMALL_FLEET: FleetShape = {
  domains: ['north', 'south'],
  hosts: 4,
  workers: 6,
  slots: 4,
  rackSize: 2,
  resources: { cores: 60, memoryMb: 250_000, accelerators: 0 },
  sameDomainMs: 0.25,
  betweenDomainsMs: 0.5,
  clientMs: 1,
};

export function smallHarness(createCore: CoreFactory, seed = 1): Harness {
  return new Harness({
    seed,
    shape: SMALL_FLEET,
    createCore,
    coreOptions: DEFAULT_OPTIONS,
    configuration: configurationOf(CHADAR),
  });
}

export function plan(runMs: readonly number[], change: Partial<JobPlan> = {}): JobPlan {
  return {
    team: 'payments',
    kind: 'settle',
    deadlineMs: 10_000,
    tasks: runMs.map((each) => ({ runMs: each, declaredMs: each })),
    resources: { cores: 1, memoryMb: 100, accelerators: 0 },
    keyed: true,
    flood: false,
    ...change,
  };
}
