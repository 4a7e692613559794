/**
 * Guards against roles that move unnecessarily, concentrate on one host, or are assigned to leaving
 * or dead hosts.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Member, MemberState } from '../../src/core/messages';
import { relaysOf, schedulerOf } from '../../src/membership';

const member = (index: number, state: MemberState = 'alive', domain = 'x'): Member => ({
  hostId: `host-${index}`,
  incarnation: 'i',
  domain,
  peerAddress: `127.0.0.1:${index}`,
  state,
  sequence: 0,
});

const fleet = Array.from({ length: 9 }, (_, index) => member(index));

describe('rendezvous', () => {
  it('does not depend on the order of the members', () => {
    expect(schedulerOf('x', fleet.toReversed())).toEqual(schedulerOf('x', fleet));
    expect(relaysOf('x', fleet.toReversed())).toEqual(relaysOf('x', fleet));
  });

  it('moves a role only when its holder is removed', () => {
    const holder = schedulerOf('x', fleet);
    fleet
      .filter((gone) => gone !== holder)
      .forEach((gone) => {
        const rest = fleet.filter((other) => other !== gone);
        expect(schedulerOf('x', rest)).toEqual(holder);
      });
    const rest = fleet.filter((other) => other !== holder);
    expect(schedulerOf('x', rest)).not.toEqual(holder);
  });

  it('keeps a suspect holder, skips a dead or leaving one, and uses a leaving one last', () => {
    const holder = schedulerOf('x', fleet);
    const withState = (state: MemberState): readonly Member[] =>
      fleet.map((other) => (other === holder ? { ...other, state } : other));
    expect(schedulerOf('x', withState('suspect'))?.hostId).toEqual(holder?.hostId);
    expect(schedulerOf('x', withState('dead'))?.hostId).not.toEqual(holder?.hostId);
    expect(schedulerOf('x', withState('leaving'))?.hostId).not.toEqual(holder?.hostId);
    const last = [member(1, 'leaving'), member(2, 'dead'), member(3, 'alive', 'y')];
    expect(schedulerOf('x', last)?.hostId).toEqual('host-1');
    expect(schedulerOf('z', last)).toEqual(null);
  });

  it('chooses two relays, and distributes the roles of many domains over the hosts', () => {
    expect(new Set(relaysOf('x', fleet).map(({ hostId }) => hostId)).size).toEqual(2);
    expect(relaysOf('x', [member(1)]).length).toEqual(1);
    const counts = new Map<string, number>();
    Array.from({ length: 900 }, (_, index) => `domain-${index}`).forEach((domain) => {
      const members = fleet.map((other) => ({ ...other, domain }));
      const hostId = schedulerOf(domain, members)?.hostId ?? '';
      counts.set(hostId, (counts.get(hostId) ?? 0) + 1);
    });
    expect(counts.size).toEqual(9);
    // The expected count is 100 with a standard deviation of 9.4; the bounds are 5 deviations away.
    expect([...counts.values()].every((count) => count > 53 && count < 147)).toEqual(true);
  });
});
