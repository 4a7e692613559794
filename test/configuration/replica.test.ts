/** Guards against hosts that revert to an older configuration or do not converge. */
import { beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { ConfigurationReplica, encodeRecord, toPush } from '../../src/configuration';
import { sampleRecord } from './samples';

const KEY = '/c';
const FIRST = sampleRecord(null, 'a');
const SECOND = sampleRecord(FIRST, 'b');
const THIRD = sampleRecord(SECOND, 'c');

function entry(record: typeof FIRST, modRevision = 5) {
  return { key: KEY, value: encodeRecord(record), modRevision };
}

describe('ConfigurationReplica', () => {
  let replica: ConfigurationReplica;

  beforeEach(() => {
    replica = new ConfigurationReplica({ next: () => 0.6 });
  });

  function types(actions: readonly { type: string }[]): readonly string[] {
    return actions.map(({ type }) => type);
  }

  it('puts each record in force once and pushes it if the host is a relay', () => {
    expect(types(replica.onStoreEntry(entry(FIRST)))).toEqual(['putInForce']);
    replica.setRelay(true);
    expect(types(replica.onPush('h', toPush(SECOND)))).toEqual(['putInForce', 'pushToDomain']);
    expect(replica.onPush('h', toPush(SECOND))).toEqual([]);
    expect(types(replica.onPublished(THIRD))).toEqual(['putInForce', 'pushToDomain']);
    expect(replica.generation).toEqual(3);
  });

  it('responds to an older push with its own record and keeps it', () => {
    replica.onPublished(SECOND);
    expect(replica.onPush('h', toPush(FIRST))).toEqual([
      { type: 'sendToPeer', hostId: 'h', message: toPush(SECOND) },
    ]);
    expect(replica.inForce).toEqual(SECOND);
  });

  it('writes back once per read when the store is behind, and only as a relay', () => {
    replica.onPublished(SECOND);
    expect(replica.onStoreEntry(entry(FIRST))).toEqual([]);
    replica.setRelay(true);
    const value = encodeRecord(SECOND);
    expect(replica.onStoreEntry(entry(FIRST))).toEqual([
      { type: 'writeBack', value, expectedRevision: 5, expectedValue: encodeRecord(FIRST) },
    ]);
    expect(replica.onStoreEntry(null)).toEqual([
      { type: 'writeBack', value, expectedRevision: 0, expectedValue: undefined },
    ]);
    expect(replica.onStoreEntry(entry(FIRST), false)).toEqual([]);
    expect(replica.onStoreEntry(entry(SECOND))).toEqual([]);
    expect(replica.generation).toEqual(2);
  });

  it('prefers the higher publication id and reports the overridden record', () => {
    const low = sampleRecord(FIRST, 'k');
    const high = sampleRecord(FIRST, 'l');
    replica.setRelay(true);
    replica.onPublished(low);
    const actions = replica.onPush('h', toPush(high));
    expect(types(actions)).toEqual(['putInForce', 'pushToDomain', 'reportConflict']);
    expect(actions[2]).toEqual({ type: 'reportConflict', overridden: low, by: high });
    expect(types(replica.onStoreEntry(entry(low)))).toEqual(['writeBack']);
    expect(replica.inForce).toEqual(high);
    const late = new ConfigurationReplica({ next: () => 0 });
    late.setRelay(true);
    late.onPublished(high);
    expect(types(late.onStoreEntry(entry(low)))).toEqual(['reportConflict', 'writeBack']);
    expect(types(late.onStoreEntry(entry(FIRST)))).toEqual(['writeBack']);
  });

  it('pulls from a peer with a higher generation, with a rate limit', () => {
    const pull = { type: 'configurationPull', generation: 0 } as const;
    expect(replica.onGeneration('h', 2, 0)).toEqual([
      { type: 'sendToPeer', hostId: 'h', message: pull },
    ]);
    expect(replica.onGeneration('h', 2, 100)).toEqual([]);
    expect(replica.onGeneration('h', 2, 300).length).toEqual(1);
    replica.onPublished(SECOND);
    expect(replica.onGeneration('h', 2, 900)).toEqual([]);
    expect(replica.newestHeard(901)).toEqual(2);
    expect(replica.newestHeard(99_000)).toEqual(0);
  });

  it('compares with a random peer, which responds or pulls if the records differ', () => {
    const other = new ConfigurationReplica({ next: () => 0 });
    const [low, high] = [sampleRecord(FIRST, 'k'), sampleRecord(FIRST, 'l')];
    replica.onPublished(low);
    other.onPublished(high);
    replica.setPeers(['h', 'i']);
    const pull = { type: 'configurationPull', generation: 2, publicationId: 'k' } as const;
    expect(replica.onTick(0)).toEqual([{ type: 'sendToPeer', hostId: 'i', message: pull }]);
    expect(replica.onTick(1999)).toEqual([]);
    expect(other.onPull('g', pull)).toEqual([
      { type: 'sendToPeer', hostId: 'g', message: toPush(high) },
    ]);
    const back = { ...pull, publicationId: 'l' };
    expect(replica.onPull('i', back)).toEqual([
      { type: 'sendToPeer', hostId: 'i', message: { ...back, publicationId: 'k' } },
    ]);
    expect(other.onPull('g', back)).toEqual([]);
  });

  it('reports an invalid record once and keeps the record in force', () => {
    replica.onPublished(FIRST);
    const bad = sampleRecord(FIRST, 'x', '[team]');
    expect(types(replica.onPush('h', toPush(bad)))).toEqual(['rejectRecord']);
    expect(replica.onPush('h', toPush(bad))).toEqual([]);
    expect(replica.onGeneration('h', 2, 0)).toEqual([]);
    replica.setRelay(true);
    expect(types(replica.onStoreEntry({ key: KEY, value: '{', modRevision: 9 }))).toEqual([
      'rejectRecord',
    ]);
    expect(types(replica.onPush('h', { ...toPush(SECOND), history: [] }))).toEqual([
      'rejectRecord',
    ]);
    expect(replica.inForce).toEqual(FIRST);
  });
});
