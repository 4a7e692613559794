/** What the fleet promises about its configuration and about hosts that start without the store. */
import { test } from 'node:test';
import { expect } from 'earl';
import { ExitCode } from '../../src/cli/exitCode';
import {
  CONFIGURATION,
  configurationWithShare,
  jobOf,
  SETTLE,
  shown,
  until,
  withSystem,
  type SystemUnderTest,
} from './fixtures';

/** docs/design.md, section 2: an accepted configuration is in force everywhere within 7 s. */
const IN_FORCE_MS = 7000;
const KEY = '/wasabiyoke/kiosk-dispatch/configuration';

async function inForceEverywhere(system: SystemUnderTest, generation: number): Promise<void> {
  await until(
    `generation ${generation} is in force on every host`,
    async () => {
      const indices = system.running();
      const all = await Promise.all(indices.map((index) => system.generation(index)));
      return all.every((found) => found >= generation);
    },
    IN_FORCE_MS,
  );
}

async function publishAtEach(system: SystemUnderTest, index: number): Promise<void> {
  if (index >= system.hosts.length) return;
  const generation = await system.publish(index, configurationWithShare(0.1 + index / 100));
  await inForceEverywhere(system, generation);
  await publishAtEach(system, index + 1);
}

async function relays(system: SystemUnderTest): Promise<readonly number[]> {
  const found = await Promise.all(
    system.running().map(async (index) => {
      const status = await system.operator(index).status();
      return status.ok && status.val.relay ? [index] : [];
    }),
  );
  return found.flat();
}

// Guards against hosts that keep an old configuration because of where it was published or because a
// relay is lost while it spreads the change.
test('a change is in force on every host within 7 s, also when a relay is killed', async () => {
  await withSystem({ hosts: 3, workers: 1 }, async (system) => {
    await publishAtEach(system, 0);
    const [relay = 0] = await relays(system);
    const publisher = system.running().find((index) => index !== relay) ?? 0;
    const [generation] = await Promise.all([
      system.publish(publisher, configurationWithShare(0.5)),
      system.deployment.killHost(relay),
    ]);
    await inForceEverywhere(system, generation);
  });
});

// Guards against a new host that can't serve until the store is back.
test('a host that starts while the store is down gets configuration and members from peers', async () => {
  await withSystem({ hosts: 1, workers: 2 }, async (system) => {
    await system.deployment.killHost(0);
    system.deployment.store.cut();
    await system.deployment.startHost(0);
    await system.settled();
    expect(await system.generation(0)).toEqual(1);
    const key = await system.keyOf(0);
    const call = await system.caller.submit(system.address(0), key, jobOf(SETTLE, [20, 20]));
    expect(shown(call)).toEqual('200 complete');
    system.check();
  });
});

// Guards against a configuration that reverts when the store comes back with older state.
test('a store that is rolled back changes no host and gets the newer record back', async () => {
  await withSystem({ hosts: 2, workers: 1 }, async (system) => {
    const { store } = system.deployment;
    const { revision } = store.state;
    const generation = await system.publish(1, configurationWithShare(0.4));
    await inForceEverywhere(system, generation);
    const published = store.state.current(KEY)?.value;
    store.cut();
    store.state.rollBack(revision);
    expect(store.state.current(KEY)?.value).not.toEqual(published);
    await store.mend();
    const seen = new Set<number>();
    await until('the store holds the newer record', async () => {
      const all = await Promise.all(system.running().map((index) => system.generation(index)));
      all.forEach((found) => seen.add(found));
      return store.state.current(KEY)?.value === published;
    });
    expect([...seen]).toEqual([generation]);
    const next = await system.publish(0, CONFIGURATION);
    expect(next).toEqual(generation + 1);
  });
});

// Guards against a resubmission that is taken for another job because the default deadline of its
// kind, which the caller leaves out, was changed between the two calls.
test('a job without a deadline is recognized after its kind got another default', async () => {
  await withSystem({ hosts: 1, workers: 1 }, async (system) => {
    const key = await system.keyOf(0);
    const job = { ...jobOf(SETTLE, [20]), deadlineMs: undefined };
    expect(shown(await system.caller.submit(system.address(0), key, job))).toEqual('200 complete');
    const changed = CONFIGURATION.replaceAll('deadlineMs = 10000', 'deadlineMs = 9000');
    await inForceEverywhere(system, await system.publish(0, changed));
    const again = await system.caller.submit(system.address(1), key, job, true);
    expect(shown(again)).toEqual('200 complete');
  });
});

// Guards against two operators who both believe that their change is in force. The store is held
// until both have read it, so that they really race.
test('of two operators who race, one wins and the other is told what won', async () => {
  await withSystem({ hosts: 1, workers: 1 }, async (system) => {
    const { store } = system.deployment;
    store.faults.freeze();
    const outcomes = Promise.all(
      [0, 1].map((index) =>
        system.operator(index).publishConfiguration({
          file: 'race.ini',
          text: configurationWithShare(0.2 + index / 10),
          publishedBy: `operator ${index}`,
          expectedGeneration: 1,
        }),
      ),
    );
    const before = store.faults.counts().range ?? 0;
    await until(
      'both have asked the store',
      () => (store.faults.counts().range ?? 0) >= before + 2,
    );
    store.faults.thaw();
    const [first, second] = await outcomes;
    const winner = [first, second].find((outcome) => outcome?.ok);
    const loser = [first, second].find((outcome) => outcome?.err);
    const told = loser?.err ? loser.val : null;
    const winnerIndex = winner === first ? 0 : 1;
    expect(told?.exitCode).toEqual(ExitCode.lostRace);
    expect(told?.message ?? '').toMatchRegex(
      new RegExp(`generation 2 was published by operator ${winnerIndex}`),
    );
    await inForceEverywhere(system, 2);
    const view = (await system.operator(2).configuration()).unwrap();
    expect(view?.publishedBy).toEqual(`operator ${winnerIndex}`);
  });
});
