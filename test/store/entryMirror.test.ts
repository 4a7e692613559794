/** Updates of a copy of entries: by changes, and by reading all of them again. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Err, Ok, type Result } from 'ts-results';
import {
  EntryMirror,
  type Changes,
  type MirroredStore,
  type Snapshot,
} from '../../src/store/entryMirror';
import { StoreErrorCode, type Change, type Entry, type StoreError } from '../../src/store/store';

const MAX_AGE_MS = 1000;
const AWAY: StoreError = { code: StoreErrorCode.unavailable, message: 'away' };

/** A store that can lose its history, and its connection. */
class HistoryStore implements MirroredStore {
  readonly reads: string[] = [];

  isAway = false;

  /** Changes up to this revision are forgotten. */
  forgottenRevision = 0;

  readonly #entries = new Map<string, Entry>();

  readonly #changes: (Change & { readonly revision: number })[] = [];

  #revision = 1;

  set(key: string, value: string | null): void {
    this.#revision += 1;
    const revision = this.#revision;
    const entry = value === null ? null : { key, value, modRevision: revision };
    if (entry) this.#entries.set(key, entry);
    else this.#entries.delete(key);
    this.#changes.push({ key, entry, revision });
  }

  forget(): void {
    this.forgottenRevision = this.#revision + 1;
    this.#revision += 1;
  }

  async snapshot(): Promise<Result<Snapshot, StoreError>> {
    this.reads.push('all');
    if (this.isAway) return Err(AWAY);
    return Ok({ entries: [...this.#entries.values()], revision: this.#revision });
  }

  async changesAfter(_: string, after: number): Promise<Result<Changes | null, StoreError>> {
    this.reads.push('changes');
    if (this.isAway) return Err(AWAY);
    if (after < this.forgottenRevision) return Ok(null);
    const changes = this.#changes.filter(({ revision }) => revision > after);
    return Ok({ changes, revision: this.#revision });
  }
}

describe('a mirror of entries', () => {
  function mirrorOf(store: MirroredStore): { mirror: EntryMirror; pass(elapsedMs: number): void } {
    let nowMs = 0;
    const mirror = new EntryMirror({
      store,
      prefix: '',
      maxAgeMs: MAX_AGE_MS,
      nowMs: () => nowMs,
    });
    const pass = (elapsedMs: number) => {
      nowMs += elapsedMs;
    };
    return { mirror, pass };
  }

  async function valuesOf(mirror: EntryMirror): Promise<string> {
    const entries = (await mirror.update()).unwrap();
    return entries.map(({ key, value }) => `${key}=${value}`).join(' ');
  }

  // Guards against an entry that stays after its removal, or with an earlier value.
  it('follows changes and removals without reading all entries again', async () => {
    const store = new HistoryStore();
    const { mirror, pass } = mirrorOf(store);
    store.set('a', '1');
    store.set('b', '1');
    expect(await valuesOf(mirror)).toEqual('a=1 b=1');
    store.set('a', '2');
    store.set('b', null);
    store.set('c', '1');
    pass(500);
    expect(await valuesOf(mirror)).toEqual('a=2 c=1');
    expect(store.reads).toEqual(['all', 'changes']);
  });

  // Guards against changes that are missed because the store has dropped them.
  it('reads all entries when the store has lost the history', async () => {
    const store = new HistoryStore();
    const { mirror, pass } = mirrorOf(store);
    store.set('a', '1');
    await mirror.update();
    store.set('a', null);
    store.forget();
    pass(500);
    expect(await valuesOf(mirror)).toEqual('');
    expect(store.reads).toEqual(['all', 'changes', 'all']);
  });

  // Guards against a host that has long not needed the entries and transfers each heartbeat since.
  it('reads all entries when the copy is old', async () => {
    const store = new HistoryStore();
    const { mirror, pass } = mirrorOf(store);
    await mirror.update();
    store.set('a', '1');
    pass(MAX_AGE_MS + 1);
    expect(await valuesOf(mirror)).toEqual('a=1');
    expect(store.reads).toEqual(['all', 'all']);
  });

  // Guards against changes that are lost because the read of them failed.
  it('goes on from the copy that it has after a failure', async () => {
    const store = new HistoryStore();
    const { mirror, pass } = mirrorOf(store);
    store.set('a', '1');
    await mirror.update();
    store.set('b', '1');
    store.isAway = true;
    pass(300);
    expect((await mirror.update()).err).toEqual(true);
    store.isAway = false;
    pass(300);
    expect(await valuesOf(mirror)).toEqual('a=1 b=1');
    expect(store.reads).toEqual(['all', 'changes', 'changes']);
  });

  // Guards against two updates at a time, of which the one with the older changes ends last.
  it('makes updates one after the other', async () => {
    const store = new HistoryStore();
    const { mirror } = mirrorOf(store);
    store.set('a', '1');
    const first = mirror.update();
    store.set('a', '2');
    const second = mirror.update();
    await first;
    expect((await second).unwrap().map(({ value }) => value)).toEqual(['2']);
    expect(store.reads).toEqual(['all', 'changes']);
  });
});
