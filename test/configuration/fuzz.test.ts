/**
 * Guards against sequences of faults that make a configuration revert, lose an accepted change, or
 * leave hosts apart. Seeds are fixed; a failure prints the shortest sequence found.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { isNewer, type ConfigurationRecord } from '../../src/configuration';
import { World } from './world';

const HOSTS = 4;
const SEED = 20261204;
const RUNS = 1000;

type Command = (world: World) => void | Promise<void>;

const host = fc.nat(HOSTS - 1);
const index = fc.nat(20);

function named(name: string, command: Command): Command {
  return Object.assign(command, { toString: () => name });
}

/** `careful` keeps to what docs/design.md grants: a lost record is in force on some host. */
function commands(careful: boolean): fc.Arbitrary<Command> {
  const publishOn = (hosts: readonly number[]) =>
    named(`publish(${hosts})`, (world) => world.publish(hosts, careful));
  return fc.oneof(
    { weight: 4, arbitrary: host.map((one) => publishOn([one])) },
    { weight: 2, arbitrary: fc.uniqueArray(host, { minLength: 2 }).map(publishOn) },
    { weight: 4, arbitrary: host.map((one) => named(`read(${one})`, (w) => w.read(one))) },
    {
      weight: 4,
      arbitrary: fc
        .tuple(host, host)
        .map(([from, to]) => named(`gossip(${from},${to})`, (w) => w.gossip(from, to))),
    },
    { weight: 1, arbitrary: host.map((one) => named(`tick(${one})`, (w) => w.tick(one, 700))) },
    {
      weight: 6,
      arbitrary: fc
        .tuple(index, fc.nat(2))
        .map(([i, times]) => named(`deliver(${i},${times})`, (w) => w.deliver(i, times))),
    },
    {
      weight: 1,
      arbitrary: host.map((one) =>
        named(`restart(${one})`, (w) => {
          if (!careful || w.isHeldElsewhere(one)) w.restart(one);
        }),
      ),
    },
    {
      weight: 2,
      arbitrary: fc.integer({ min: 1, max: 4 }).map((lost) =>
        named(`rollBack(${lost})`, (w) => {
          const { state } = w.store;
          if (!careful || w.isHeldElsewhere(null)) state.rollBack(state.revision - lost);
        }),
      ),
    },
    {
      weight: 1,
      arbitrary: fc
        .nat(3)
        .map((lag) =>
          named(`lag(${lag})`, ({ store: { state } }) => state.readAt(state.revision - lag)),
        ),
    },
    {
      weight: 1,
      arbitrary: fc.nat(2).map((n) => named(`lose(${n})`, (w) => w.store.faults.loseAnswers(n))),
    },
    {
      weight: 3,
      arbitrary: fc.constantFrom(
        named('freeze', (w) => w.store.faults.freeze()),
        named('thaw', (w) => w.store.faults.thaw()),
        named('cut', (w) => w.store.cut()),
        named('refuse', (w) => w.store.faults.refuse()),
        named('mend', (w) => w.store.faults.mend()),
      ),
    },
  );
}

/** Checks that no host goes back between two points in time. */
function expectForward(
  before: readonly (ConfigurationRecord | null)[],
  after: readonly (ConfigurationRecord | null)[],
): void {
  before.forEach((old, at) => {
    const next = after[at] ?? null;
    if (old === null || next === null) expect(old).toEqual(null);
    else expect(isNewer(old, next)).toEqual(false);
  });
}

async function run(world: World, sequence: readonly Command[]): Promise<void> {
  await sequence.reduce<Promise<void>>(async (previous, command) => {
    await previous;
    const before = world.records;
    await command(world);
    // A restarted host begins again without a record.
    if (!String(command).startsWith('restart')) expectForward(before, world.records);
  }, Promise.resolve());
  const before = world.records;
  await world.settle();
  expectForward(before, world.records);
}

function expectAgreement(world: World): void {
  const { stored } = world;
  world.records.forEach((record) => expect(record).toEqual(stored));
}

function idsOf(world: World, ...outcomes: readonly string[]): readonly string[] {
  return [...world.outcomes]
    .filter(([, { outcome }]) => outcomes.includes(outcome))
    .map(([id]) => id);
}

function check(careful: boolean, verify: (world: World) => void): Promise<void> {
  const sequences = fc.array(commands(careful), { minLength: 5, maxLength: 40, size: 'max' });
  const property = fc.asyncProperty(sequences, fc.nat(), async (sequence, seed) => {
    const world = new World(HOSTS, seed);
    await run(world, sequence);
    expectAgreement(world);
    verify(world);
  });
  return fc.assert(property, { seed: SEED, numRuns: RUNS });
}

describe('configuration under faults', () => {
  it('keeps every accepted change, and none that was reported as not applied', () =>
    check(true, (world) => {
      const history = new Set(world.stored?.history);
      expect(idsOf(world, 'published').filter((id) => !history.has(id))).toEqual([]);
      const refused = idsOf(world, 'lostRace', 'unavailable');
      expect(refused.filter((id) => world.seen.has(id))).toEqual([]);
    }));

  it('never reverts and ends in agreement, even if publishers do not know what was lost', () =>
    check(false, () => {}));
});
