/**
 * Guards against sequences of faults after which a configuration reverts, an accepted change is
 * lost, or hosts disagree. The seed is fixed; a failure prints the shortest sequence found.
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

/** Constraints on the generated sequences. */
interface Limits {
  /** Publishers know the generations of all peers; the store loses only records held by a host. */
  readonly informed: boolean;
  /** The store may lose writes between the read and the write of one publication. */
  readonly rollBackAnyTime: boolean;
  readonly restarts: boolean;
}

function rollBack({ informed }: Limits, lost: number): Command {
  return named(`rollBack(${lost})`, (w) => {
    const { state } = w.store;
    if (!informed || w.isHeldElsewhere(null)) state.rollBack(state.revision - lost);
  });
}

/** Store faults, injected between calls or during a call. */
function faults(limits: Limits, midCall: boolean): fc.Arbitrary<Command> {
  const lost = fc.integer({ min: 1, max: 4 }).map((n) => rollBack(limits, n));
  const lag = (revisions: number) =>
    named(`lag(${revisions})`, ({ store: { state } }) => state.readAt(state.revision - revisions));
  return fc.oneof(
    ...(midCall && !limits.rollBackAnyTime ? [] : [lost]),
    fc.nat(3).map(lag),
    fc.nat(2).map((n) => named(`lose(${n})`, (w) => w.store.faults.loseAnswers(n))),
    fc.constantFrom(
      named('freeze', (w) => w.store.faults.freeze()),
      named('thaw', (w) => w.store.faults.thaw()),
      named('cut', (w) => w.store.cut()),
      named('refuse', (w) => w.store.faults.refuse()),
      named('mend', (w) => w.store.faults.mend()),
    ),
  );
}

function commands(limits: Limits): fc.Arbitrary<Command> {
  const publishOn = (hosts: readonly number[]) =>
    named(`publish(${hosts})`, (world) => world.publish(hosts, limits.informed));
  const restart = (one: number) =>
    named(`restart(${one})`, (w) => {
      if (!limits.informed || w.isHeldElsewhere(one)) w.restart(one);
    });
  const step = fc.integer({ min: 1, max: 12 });
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
    { weight: limits.restarts ? 1 : 0, arbitrary: host.map(restart) },
    { weight: 4, arbitrary: faults(limits, false) },
    {
      weight: 4,
      arbitrary: fc
        .tuple(step, faults(limits, true))
        .map(([steps, fault]) =>
          named(`plan(${steps},${String(fault)})`, (w) => w.plan(steps, () => fault(w))),
        ),
    },
    { weight: 3, arbitrary: fc.constant(named('mend', (w) => w.store.faults.mend())) },
  );
}

/** Checks that no host reverts to an older record between two points in time. */
function expectNoRevert(
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
    // A restarted host has no record.
    if (!String(command).startsWith('restart')) expectNoRevert(before, world.records);
  }, Promise.resolve());
  const before = world.records;
  await world.settle();
  expectNoRevert(before, world.records);
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

function check(limits: Limits, verify: (world: World) => void): Promise<void> {
  const sequences = fc.array(commands(limits), { minLength: 5, maxLength: 40, size: 'max' });
  const property = fc.asyncProperty(sequences, fc.nat(), async (sequence, seed) => {
    const world = new World(HOSTS, seed);
    await run(world, sequence);
    expectAgreement(world);
    verify(world);
  });
  return fc.assert(property, { seed: SEED, numRuns: RUNS });
}

function expectNoneOf(ids: readonly string[], set: ReadonlySet<string>): void {
  expect(ids.filter((id) => set.has(id))).toEqual([]);
}

function lostIds(world: World): readonly string[] {
  const history = new Set(world.stored?.history);
  return idsOf(world, 'published').filter((id) => !history.has(id));
}

describe('configuration under faults', () => {
  it('keeps every accepted change and applies none that was reported as not applied', () => {
    const limits = { informed: true, rollBackAnyTime: false, restarts: true };
    return check(limits, (world) => {
      expect(lostIds(world)).toEqual([]);
      expectNoneOf(idsOf(world, 'lostRace', 'unavailable'), world.seen);
    });
  });

  it('reports each accepted change that is overridden after the store lost writes', () => {
    const limits = { informed: false, rollBackAnyTime: true, restarts: false };
    return check(limits, (world) => {
      expect(lostIds(world).filter((id) => !world.overridden.has(id))).toEqual([]);
    });
  });

  it('never reverts and converges after any loss of writes, messages or hosts', () =>
    check({ informed: false, rollBackAnyTime: true, restarts: true }, () => {}));
});
