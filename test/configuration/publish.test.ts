/**
 * Guards against a publication that reports a wrong outcome, overwrites a newer one on a retry, or
 * is based on a record that the store has lost.
 */
import { beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import {
  decodeRecord,
  findPublication,
  publish,
  type Candidate,
  type ConfigurationRecord,
} from '../../src/configuration';
import { MemoryStore } from '../../src/standins/storeMemory';
import { sampleText } from './samples';

const KEY = '/wasabiyoke/x/configuration';

describe('publish', () => {
  let store: MemoryStore;
  /** Called before the nth step of the store calls. Each call has two steps. */
  let onStep: (step: number) => void | Promise<void>;
  let steps: number;

  beforeEach(() => {
    steps = 0;
    onStep = () => {};
    const wait = async () => {
      steps += 1;
      await onStep(steps);
    };
    store = new MemoryStore({ clock: { nowMs: () => 0 }, wait });
  });

  function run(
    publicationId: string,
    more: Partial<Candidate> = {},
    inForce: ConfigurationRecord | null = null,
    newestHeard = 0,
  ) {
    const text = sampleText();
    const candidate = { text, file: 'c.ini', publicationId, publishedBy: 'op', publishedAtMs: 7 };
    return publish({ store, key: KEY, inForce, newestHeard }, { ...candidate, ...more });
  }

  function stored(): ConfigurationRecord {
    return decodeRecord(store.state.current(KEY)?.value ?? '').unwrap();
  }

  it('numbers generations and keeps the last 64 ids', async () => {
    const ids = Array.from({ length: 70 }, (_, index) => `p${index}`);
    await ids.reduce((before, id) => before.then(() => run(id)).then(() => {}), Promise.resolve());
    const { generation, history } = stored();
    expect(generation).toEqual(70);
    expect(history).toEqual(ids.slice(6));
    expect(await run('p10')).toEqual({
      outcome: 'published',
      publicationId: 'p10',
      generation: 11,
      record: stored(),
    });
    expect(stored().generation).toEqual(70);
  });

  it('reports findings without a call to the store', async () => {
    const outcome = await run('a', { text: '[x]' });
    expect(outcome.outcome).toEqual('invalid');
    expect(store.faults.total()).toEqual(0);
  });

  it('returns the winning record to the loser of a race', async () => {
    const [first, second] = await Promise.all([run('a', { publishedBy: 'ann' }), run('b')]);
    expect(first.outcome).toEqual('published');
    expect(second.outcome === 'lostRace' && second.winner).toEqual({
      generation: 1,
      publicationId: 'a',
      publishedBy: 'ann',
      publishedAtMs: 7,
    });
    expect(stored().history).toEqual(['a']);
  });

  it('does not publish an edit of an older generation over a newer one', async () => {
    await run('a');
    await run('b', { basedOnGeneration: 1 });
    const late = await run('c', { basedOnGeneration: 1 });
    expect(late.outcome).toEqual('lostRace');
    const early = await run('d', { basedOnGeneration: 9 });
    expect(early.outcome).toEqual('unavailable');
    expect(stored().history).toEqual(['a', 'b']);
  });

  it('finds its own change after a lost response', async () => {
    onStep = (step) => {
      if (step === 3) store.faults.loseAnswers(1);
    };
    const outcome = await run('a');
    expect(outcome.outcome).toEqual('published');
    expect(stored().generation).toEqual(1);
  });

  it('finds its change in the history of a newer record after a lost response', async () => {
    let other: Promise<unknown> = Promise.resolve();
    onStep = async (step) => {
      if (step === 3) store.faults.loseAnswers(1);
      if (step !== 4) return;
      // The change has taken effect; another is published before the publisher reads back.
      other = run('b');
      store.faults.mend();
      await other;
      store.faults.loseAnswers(1);
    };
    const outcome = await run('a');
    expect(outcome.outcome === 'published' && outcome.generation).toEqual(1);
    expect(stored().history).toEqual(['a', 'b']);
  });

  it('does not overwrite the winner of a race on a retry after a lost response', async () => {
    onStep = async (step) => {
      if (step !== 3) return;
      await run('b');
      store.faults.loseAnswers(1);
    };
    const outcome = await run('a');
    expect(outcome.outcome === 'lostRace' && outcome.winner.publicationId).toEqual('b');
    expect(stored().history).toEqual(['b']);
  });

  it('does not publish below a generation that was read before the store lost it', async () => {
    await run('y');
    const { revision } = store.state;
    await run('z');
    onStep = (step) => {
      if (step === 2 + 8) store.state.rollBack(revision);
    };
    expect((await run('a')).outcome).toEqual('unavailable');
    expect(stored().history).toEqual(['y']);
  });

  it('returns unknown while the store is frozen; a later lookup finds it', async () => {
    onStep = (step) => {
      if (step === 3) store.faults.freeze();
    };
    const outcome = await run('a');
    expect(outcome.outcome === 'unknown' && outcome.publicationId).toEqual('a');
    store.faults.thaw();
    await Promise.resolve();
    const found = await findPublication({ store, key: KEY, inForce: null }, 'a');
    expect(found.outcome).toEqual('published');
    expect(stored().history).toEqual(['a']);
    const missing = await findPublication({ store, key: KEY, inForce: null }, 'z');
    expect(missing.outcome).toEqual('unknown');
  });

  it('returns unavailable when nothing was written', async () => {
    store.cut();
    expect((await run('a')).outcome).toEqual('unavailable');
    store.faults.mend();
    onStep = (step) => {
      if (step === 2) store.cut();
    };
    steps = 0;
    expect((await run('a')).outcome).toEqual('unavailable');
    expect(store.state.current(KEY)).toEqual(null);
  });

  it('restores the writes that the store lost before it publishes', async () => {
    await run('a');
    const { revision } = store.state;
    await run('b');
    const inForce = stored();
    store.state.rollBack(revision);
    const outcome = await run('c', {}, inForce);
    expect(outcome.outcome === 'published' && outcome.generation).toEqual(3);
    expect(stored().history).toEqual(['a', 'b', 'c']);
  });

  it('does not treat a stale read as lost writes', async () => {
    await run('a');
    const { revision } = store.state;
    await run('b');
    const inForce = stored();
    store.state.readAt(revision);
    const outcome = await run('c', {}, inForce);
    expect(outcome.outcome === 'published' && outcome.generation).toEqual(3);
    store.state.readAt(revision);
    const blind = await run('d');
    expect(blind.outcome === 'lostRace' && blind.winner.generation).toEqual(3);
    expect(stored().history).toEqual(['a', 'b', 'c']);
  });

  it('does not overwrite a record that replaced a lost one at the same revision', async () => {
    await run('a');
    const { revision } = store.state;
    await run('b');
    onStep = async (step) => {
      if (step !== 2 + 8) return;
      onStep = () => {};
      store.state.rollBack(revision);
      await run('c');
    };
    const outcome = await run('d');
    expect(stored().history).toEqual(['a', 'c']);
    expect(outcome.outcome === 'lostRace' && outcome.winner.publicationId).toEqual('c');
  });

  it('does not publish below a generation that peers have', async () => {
    await run('a');
    expect((await run('b', {}, null, 2)).outcome).toEqual('unavailable');
    expect(stored().generation).toEqual(1);
  });

  it('does not overwrite a malformed record', async () => {
    await store.swap(KEY, '{"generation":"7"}', 0);
    expect((await run('a')).outcome).toEqual('unavailable');
    expect(store.state.current(KEY)?.value).toEqual('{"generation":"7"}');
  });
});
