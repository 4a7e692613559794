/** Hosts exchange their records of lost workers through the store and with their status. */
import { describe, it } from 'node:test';
import { setImmediate as settled } from 'node:timers/promises';
import { expect } from 'earl';
import { Err, Ok, type Result } from 'ts-results';
import { CrashHistory, CrashVerdict } from '../../src/cells/crashHistory';
import { decodeEntry, type HostIdentity } from '../../src/dispatcher/ownership/cellRecord';
import { CrashExchange } from '../../src/dispatcher/peers/crashExchange';
import { StoreErrorCode, type StoreError, type SwapOutcome } from '../../src/store/store';

const TASK = 'job.0.0.0';
const RUN = { task: TASK, run: 1 };
const NEXT_RUN = { task: TASK, run: 2 };

/** A store with conditional writes, which tests can make unavailable. */
class FakeStore {
  isDown = false;

  /** The next write is applied, and its answer is lost. */
  losesAnswer = false;

  writes = 0;

  readonly #items = new Map<string, { readonly value: string; readonly modRevision: number }>();

  async swap(
    key: string,
    value: string,
    expectedRevision: number,
  ): Promise<Result<SwapOutcome, StoreError>> {
    const error = Err({ code: StoreErrorCode.unclear, message: 'no answer' });
    if (this.isDown) return error;
    const known = this.#items.get(key);
    if ((known?.modRevision ?? 0) !== expectedRevision) {
      return Ok({ applied: false, current: known ? { key, ...known } : null });
    }
    this.writes += 1;
    this.#items.set(key, { value, modRevision: this.writes });
    if (this.losesAnswer) {
      this.losesAnswer = false;
      return error;
    }
    return Ok({ applied: true, current: { key, value, modRevision: this.writes } });
  }

  /** Passes all stored records to a host, as its watch does. */
  deliverTo({ exchange }: Pick<Host, 'exchange'>): void {
    this.#items.forEach((item, key) => {
      const stored = decodeEntry({ key, ...item });
      if (stored?.type !== 'crashes') throw new Error(`unexpected key ${key}`);
      exchange.applyStored(stored.hostId, stored.records);
    });
  }
}

/** One host, with the time that it goes by. */
interface Host {
  nowMs: number;
  readonly decisions: string[];
  readonly history: CrashHistory;
  readonly exchange: CrashExchange;
}

function hostOn(store: FakeStore, hostId: string, incarnation = '1'): Host {
  const clock = { nowMs: 1_000_000 };
  const decisions: string[] = [];
  const history = new CrashHistory(() => clock.nowMs, 120_000);
  const place = { domain: 'sofia-a', address: `${hostId}:1`, cores: 1 };
  const self: HostIdentity = { hostId, incarnation, ...place };
  const exchange = new CrashExchange({
    self,
    crashes: history,
    store,
    clock: { nowMs: () => clock.nowMs },
    journal: { logDecision: (decision) => decisions.push(decision) },
  });
  return Object.assign(clock, { decisions, history, exchange });
}

describe('records of lost workers', () => {
  it('are written at once, those of one worker together', async () => {
    const store = new FakeStore();
    const host = hostOn(store, 'a');
    host.history.workerLost('w0', 1, [RUN, { task: 'other.0.0.0', run: 1 }]);
    await settled();
    expect(store.writes).toEqual(1);
    const other = hostOn(store, 'b');
    store.deliverTo(other);
    expect(other.history.verdict(TASK)).toEqual(CrashVerdict.isolate);
    expect(other.decisions).toEqual(['crashes-learned']);
  });

  it('are not written again by the hosts that learn them', async () => {
    const store = new FakeStore();
    hostOn(store, 'a').history.workerLost('w0', 1, [RUN]);
    await settled();
    const other = hostOn(store, 'b');
    store.deliverTo(other);
    other.exchange.tick();
    await settled();
    expect(store.writes).toEqual(1);
  });

  // Guards against a count that a restarted process overwrites with its own, shorter one.
  it('survive the loss of all hosts', async () => {
    const store = new FakeStore();
    const before = hostOn(store, 'a');
    before.history.workerLost('w0', 1, [RUN]);
    before.history.workerReplaced('w0');
    await settled();
    const after = hostOn(store, 'a', '2');
    after.history.workerLost('w1', 1, [NEXT_RUN]);
    after.history.workerReplaced('w1');
    await settled();
    expect(after.history.verdict(TASK)).toEqual(CrashVerdict.giveUp);
    const other = hostOn(store, 'b');
    store.deliverTo(other);
    expect(other.history.verdict(TASK)).toEqual(CrashVerdict.giveUp);
  });

  it('are written when the store is available again, and the failure is logged', async () => {
    const store = new FakeStore();
    const host = hostOn(store, 'a');
    store.isDown = true;
    host.history.workerLost('w0', 1, [RUN]);
    await settled();
    store.isDown = false;
    host.nowMs += 299;
    host.exchange.tick();
    expect(store.writes).toEqual(0);
    host.nowMs += 1;
    host.exchange.tick();
    expect(store.writes).toEqual(1);
    expect(host.decisions).toEqual(['crashes-unwritten']);
  });

  it('are complete in the store after a write whose answer was lost', async () => {
    const store = new FakeStore();
    const host = hostOn(store, 'a');
    store.losesAnswer = true;
    host.history.workerLost('w0', 1, [RUN]);
    await settled();
    host.history.workerReplaced('w0');
    host.nowMs += 300;
    host.exchange.tick();
    await settled();
    const other = hostOn(store, 'b');
    store.deliverTo(other);
    expect(other.history.changedSince(0).map(({ state }) => state)).toEqual(['confirmed']);
  });

  // Guards against records that a host misses because the process that it polls has restarted.
  it('are sent with the status from the position that the other host has reached', () => {
    const host = hostOn(new FakeStore(), 'a', '7');
    host.history.workerLost('w0', 1, [RUN]);
    const first = host.exchange.changesSince(undefined);
    expect(first.records.length).toEqual(1);
    expect(host.exchange.changesSince(first.position).records).toEqual([]);
    const earlier = { ...first.position, incarnation: '6' };
    expect(host.exchange.changesSince(earlier).records.length).toEqual(1);
  });
});
