/** Guards membership rules whose mutations in scripts/mutants.ts no other test detects. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { MemberState, type Member } from '../../src/core/messages';
import { schedulerOf } from '../../src/membership';
import { MemberTable } from '../../src/membership/memberTable';
import { Probes } from '../../src/membership/probes';

function member(hostId: string, state: MemberState = 'alive'): Member {
  const incarnation = `${hostId}-1`;
  return { hostId, incarnation, domain: 'd', peerAddress: `${hostId}:1`, state, sequence: 0 };
}

describe('MemberTable', () => {
  it('does not add a dead member again that was removed and is still in gossip', () => {
    const table = new MemberTable(member('a'));
    expect(table.apply(member('b', 'dead'), 0)).toEqual(null);
    expect(table.others()).toEqual([]);
  });

  it('removes members that have been dead for long, so that the table stays bounded', () => {
    const table = new MemberTable(member('a'));
    table.apply(member('b'), 0);
    table.apply({ ...member('b', 'dead'), sequence: 1 }, 100);
    table.forget(1000, 1000);
    expect(table.others().length).toEqual(1);
    table.forget(1100, 1000);
    expect(table.others()).toEqual([]);
  });
});

describe('Probes', () => {
  it('accepts the answer of the target or a helper, not of any other member', () => {
    const probes = new Probes({ next: () => 0.5 });
    const nonce = probes.start('b', true, 0);
    expect(probes.complete(nonce, 'c')).toEqual(null);
    const [probe] = probes.olderThan(0, 0);
    if (probe) probes.setHelpers(probe, ['d']);
    expect(probes.complete(nonce, 'd')?.hostId).toEqual('b');
  });
});

describe('scheduler role', () => {
  const hosts = ['h1', 'h2', 'h3'];

  // Several domains, because in a single one the hash may happen to prefer another host anyway.
  const moves = (state: MemberState) =>
    Array.from({ length: 20 }, (_, index) => `domain-${index}`).every((domain) => {
      const members = hosts.map((hostId) => ({ ...member(hostId), domain }));
      const first = schedulerOf(domain, members)?.hostId;
      const changed = members.map((m) => (m.hostId === first ? { ...m, state } : m));
      const next = schedulerOf(domain, changed)?.hostId;
      return next !== undefined && next !== first;
    });

  it('moves away from a leaving host', () => {
    expect(moves('leaving')).toEqual(true);
  });

  it('moves away from a dead host', () => {
    expect(moves('dead')).toEqual(true);
  });
});
