/** A fleet under load through the loss of a host, a cut-off domain and an outage of the store. */
import { test } from 'node:test';
import { expect } from 'earl';
import { countAnswers } from '../../src/standins/deploymentCheck';
import { DOMAINS, until, withSystem } from './fixtures';

const JOBS_PER_PHASE = 60;
const CUT = DOMAINS[1];

// Guards against second starts, wrong "not run" claims, foreign or partial answers and calls without
// an end when an entry host dies, a domain is cut off and the store is down in one run.
test('a fleet keeps its invariants through the loss of a host, a cut and a store outage', async (t) => {
  await withSystem({ hosts: 3, workers: 10 }, async (system) => {
    const { deployment } = system;
    const load = system.load();
    load.start();
    await system.progress(JOBS_PER_PHASE);

    const killedId = deployment.hosts[0]?.settings.host.id ?? '';
    await system.deployment.killHost(0);
    await until('the others take the killed host for dead', async () => {
      const known = await Promise.all(system.running().map((index) => system.aliveAt(index)));
      return known.every((alive) => !alive.includes(killedId));
    });
    await system.progress(JOBS_PER_PHASE);

    deployment.cutDomain(CUT);
    await until('both sides of the cut take the other for dead', async () => {
      const known = await Promise.all([1, 3].map((index) => system.aliveAt(index)));
      return known.every((alive) => new Set(alive.map((id) => id.startsWith(CUT))).size === 1);
    });
    await system.progress(JOBS_PER_PHASE);
    deployment.partition.heal();
    await system.settled();

    deployment.store.cut();
    await system.progress(JOBS_PER_PHASE);
    await deployment.store.mend();
    await deployment.startHost(0);
    await system.settled();
    await system.progress(JOBS_PER_PHASE);

    await load.stop();
    await load.resubmitAll();
    t.diagnostic(JSON.stringify(countAnswers(system.caller.calls)));
    t.diagnostic(`${system.starts.length} task starts`);
    system.check();
    expect(system.caller.calls.length).toBeGreaterThan(2 * 5 * JOBS_PER_PHASE);
  });
});
