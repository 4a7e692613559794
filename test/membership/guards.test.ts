/** Guards membership rules that scripts/mutants.ts breaks and that no other test noticed. */
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

describe('the table of members', () => {
  it('does not take back a dead member that was forgotten, which gossip repeats', () => {
    const table = new MemberTable(member('a'));
    expect(table.apply(member('b', 'dead'), 0)).toEqual(null);
    expect(table.others()).toEqual([]);
  });

  it('forgets a member that has been dead for long, so that the list does not grow for ever', () => {
    const table = new MemberTable(member('a'));
    table.apply(member('b'), 0);
    table.apply({ ...member('b', 'dead'), sequence: 1 }, 100);
    table.forget(1000, 1000);
    expect(table.others().length).toEqual(1);
    table.forget(1100, 1000);
    expect(table.others()).toEqual([]);
  });
});

describe('a probe', () => {
  it('is answered by its target or a helper, not by any other member', () => {
    const probes = new Probes({ next: () => 0.5 });
    const nonce = probes.start('b', true, 0);
    expect(probes.answer(nonce, 'c')).toEqual(null);
    const [probe] = probes.olderThan(0, 0);
    if (probe) probes.help(probe, ['d']);
    expect(probes.answer(nonce, 'd')?.hostId).toEqual('b');
  });
});

describe('the role of scheduler', () => {
  const hosts = ['h1', 'h2', 'h3'];

  // Several domains, because the hash may by chance prefer another host anyway.
  const moves = (state: MemberState) =>
    Array.from({ length: 20 }, (_, index) => `domain-${index}`).every((domain) => {
      const members = hosts.map((hostId) => ({ ...member(hostId), domain }));
      const first = schedulerOf(domain, members)?.hostId;
      const changed = members.map((m) => (m.hostId === first ? { ...m, state } : m));
      const next = schedulerOf(domain, changed)?.hostId;
      return next !== undefined && next !== first;
    });

  it('leaves a host that is leaving', () => {
    expect(moves('leaving')).toEqual(true);
  });

  it('leaves a host that is dead', () => {
    expect(moves('dead')).toEqual(true);
  });
});
