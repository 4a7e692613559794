/**
 * State of one scenario, and the oracle at its end: a scenario fails if the run broke a rule, whatever
 * it expects besides. Cucumber's proxy of the state only passes fields on, so it has no methods.
 */
import { After, setDefaultTimeout, setWorldConstructor, world } from '@cucumber/cucumber';
import { expect } from 'earl';
import { checkRun, type Rule } from '../../../src/bench';
import type { Hosts } from './configurationHosts';
import { DEFAULT_MODEL, Fleet, type FleetSize } from './fleet';
import type { Registry } from './registry';

const STEP_TIMEOUT_MS = 60_000;

/** What the steps of one scenario share. */
export class Scenario {
  size: FleetSize = {
    domains: 1,
    hostsPerDomain: 1,
    workersPerDomain: 1,
    slots: 8,
    model: DEFAULT_MODEL,
  };

  fleet: Fleet | null = null;

  hosts: Hosts | null = null;

  registry: Registry | null = null;
}

/** The scenario that runs. */
export function scenario(): Scenario {
  return world as unknown as Scenario;
}

/** Its fleet; created at the first use, with all that the Given steps said. */
export function fleet(): Fleet {
  const state = scenario();
  state.fleet ??= new Fleet(state.size);
  return state.fleet;
}

/** The hosts of a scenario on configuration. */
export function hosts(): Hosts {
  const state = scenario();
  if (state.hosts === null) throw new Error('the scenario has no hosts around a store');
  return state.hosts;
}

/** Broken rules so far, of one kind or of all. */
export function broken(rule: Rule | null, settled: boolean): readonly string[] {
  return checkRun(fleet().harness.record, { settled })
    .filter((violation) => rule === null || violation.rule === rule)
    .map((violation) => `${violation.rule}: job ${violation.jobId + 1}: ${violation.detail}`);
}

setDefaultTimeout(STEP_TIMEOUT_MS);
setWorldConstructor(Scenario);

After(async () => {
  const state = scenario();
  if (state.fleet !== null) {
    state.fleet.recover();
    expect(broken(null, true)).toEqual([]);
    // A fleet that starts nothing would keep every rule.
    expect(state.fleet.harness.record.calls.length > 0).toEqual(true);
  }
  if (state.hosts !== null) await state.hosts.checkAtEnd();
});
