/** Lists of workers that a host can't read and learns from other hosts. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ListSources } from '../../src/dispatcher/peers/listSources';
import { workerEntry } from '../cells/simulatedWorker';
import { DOMAIN, ListReader, PERIOD_MS, type DirectoryContent } from './listReader';

/** An owner that is turned away by the directory, and a host that is not an owner and may read it. */
class Pair {
  readonly directory: DirectoryContent = { entries: [workerEntry('w0')] };

  /** The two clocks have nothing in common. */
  readonly owner = new ListReader(this.directory, 5000);

  readonly other = new ListReader(this.directory, 900_000, false);

  static async open(): Promise<Pair> {
    const pair = new Pair();
    await pair.owner.read();
    pair.owner.isTurnedAway = true;
    return pair;
  }

  async pass(durationMs: number): Promise<void> {
    this.owner.nowMs += durationMs;
    this.other.nowMs += durationMs;
    await this.owner.read();
  }
}

describe('an owner that the directory turns away', () => {
  it('wants no list while it has read its own in time', async () => {
    const pair = await Pair.open();
    await pair.pass(2 * PERIOD_MS);
    expect(pair.owner.lists.wanted(pair.owner.nowMs)).toEqual([]);
    await pair.pass(1);
    expect(pair.owner.lists.wanted(pair.owner.nowMs).length).toEqual(1);
  });

  // Guards against tasks that are placed by a capacity that has shrunk, although the directory serves
  // the other hosts.
  it('learns a capacity that has changed from a host that can read it', async () => {
    const pair = await Pair.open();
    pair.directory.entries = [workerEntry('w0', 32_000)];
    await pair.pass(1100);
    // The other host reads the directory when it is asked, and has it for the next call.
    expect(await pair.owner.ask(pair.other)).toEqual([]);
    await pair.pass(150);
    await pair.owner.ask(pair.other);
    expect([pair.owner.capacity, pair.owner.ageMs]).toEqual([32_000, 150]);
    expect(pair.owner.passed).toEqual(2);
  });

  // Guards against a load on the links by lists that have not changed.
  it('is sent the age alone while the entries are the same', async () => {
    const pair = await Pair.open();
    await pair.pass(1100);
    await pair.owner.ask(pair.other);
    await pair.pass(150);
    const [told] = await pair.owner.ask(pair.other);
    expect([told?.entries, told?.ageMs, pair.owner.ageMs]).toEqual([undefined, 150, 150]);
  });

  // Guards against an older list that replaces a newer one, whichever clock is ahead.
  it('keeps its list if the other host has read it earlier', async () => {
    const pair = await Pair.open();
    await pair.pass(1100);
    pair.directory.entries = [workerEntry('w0', 32_000)];
    await pair.other.read();
    pair.owner.isTurnedAway = false;
    pair.directory.entries = [workerEntry('w0', 48_000)];
    await pair.pass(PERIOD_MS);
    expect(pair.owner.capacity).toEqual(48_000);
    const wanted = [{ domain: DOMAIN, digest: '' }];
    const told = pair.other.lists.laterThan(wanted, pair.other.nowMs);
    pair.owner.lists.learn(told, 'other', pair.owner.nowMs);
    expect(pair.owner.capacity).toEqual(48_000);
  });

  // Guards against the age of a list that starts anew with each host that passes it on.
  it('is told the age since the read, also by a host that was told itself', async () => {
    const pair = await Pair.open();
    const between = new ListReader(pair.directory, 70_000);
    between.isTurnedAway = true;
    await pair.other.read();
    pair.other.isTurnedAway = true;
    await pair.pass(1100);
    between.nowMs += 1100;
    await between.ask(pair.other);
    await pair.pass(700);
    between.nowMs += 700;
    await pair.owner.ask(between);
    expect(pair.owner.ageMs).toEqual(1800);
  });

  it('is not read more often for other hosts than for the host itself', async () => {
    const pair = await Pair.open();
    for (let count = 0; count < 20; count += 1) {
      // eslint-disable-next-line no-await-in-loop -- one call after the other
      await pair.pass(100);
      // eslint-disable-next-line no-await-in-loop -- one call after the other
      await pair.owner.ask(pair.other);
    }
    expect(pair.other.reads).toBeLessThanOrEqual(5);
  });
});

describe('a list that comes with the status of another host', () => {
  // Guards against a list whose version is higher only because of the time of day of its reader.
  it('replaces no list that was read later, whatever its version', async () => {
    const directory = { entries: [workerEntry('w0')] };
    const host = new ListReader(directory, 5000);
    await host.read();
    const version = Date.now() + 60_000;
    const older = { version, entries: [workerEntry('w0', 16_000)], ageMs: 200 };
    host.lists.merge(DOMAIN, older, 'other', host.nowMs);
    expect(host.capacity).toEqual(64_000);
    // Hosts that know the older list are sent the newer one.
    expect(host.lists.newerThan(DOMAIN, version)?.entries[0]?.cpuMillis).toEqual(64_000);
  });
});

describe('the host that is asked for a list', () => {
  it('is the one that told of a later one last, and the next one if it tells of none', () => {
    const sources = new ListSources();
    const addresses = ['a', 'b', 'c'];
    expect(sources.next([])).toEqual(null);
    const first = sources.next(addresses);
    sources.record(first ?? '', false);
    const second = sources.next(addresses);
    expect(second).not.toEqual(first);
    sources.record(second ?? '', true);
    expect([sources.next(addresses), sources.next(addresses)]).toEqual([second, second]);
    sources.record(second ?? '', false);
    expect(sources.next(addresses)).not.toEqual(second);
    expect(sources.next([])).toEqual(null);
  });

  // Guards against an owner that asks nobody, as the store has turned it away before it has read which
  // hosts there are.
  it('may be one that has called, of which the latest are remembered', () => {
    const sources = new ListSources();
    for (let host = 0; host < 20; host += 1) sources.recordCaller(`h${host}`);
    const asked = new Set(Array.from({ length: 20 }, () => sources.next(['a'])));
    expect([...asked]).toEqual(['a', 'h12', 'h13', 'h14', 'h15', 'h16', 'h17', 'h18', 'h19']);
  });
});
