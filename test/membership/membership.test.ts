/**
 * Guards against hosts that are not found, are wrongly declared dead, or do not become alive again.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Member } from '../../src/core/messages';
import { Membership, type MembershipAction } from '../../src/membership';
import { Simulation, seededRandom } from '../../src/membership/simulation';

interface Record {
  readonly hostId: string;
  readonly action: MembershipAction;
  readonly nowMs: number;
}

/** Starts hosts h0 to h(n-1) with h0 as seed, and runs until their member lists have converged. */
const startFleet = (count: number, seed = 1): { simulation: Simulation; records: Record[] } => {
  const records: Record[] = [];
  const simulation = new Simulation(seed, (hostId, action, nowMs) => {
    records.push({ hostId, action, nowMs });
  });
  Array.from({ length: count }, (_, index) => `h${index}`).forEach((hostId) =>
    simulation.start(hostId, `${hostId}-1`, ['h0']),
  );
  simulation.run(10_000, () => simulation.agreed());
  expect(simulation.agreed()).toEqual(true);
  return { simulation, records };
};

const everyoneSees = (simulation: Simulation, hostId: string, state: Member['state']): boolean =>
  simulation.hostIds
    .filter((other) => other !== hostId)
    .every((other) => simulation.view(other, hostId)?.state === state);

const member = (hostId: string, more: Partial<Member> = {}): Member => ({
  hostId,
  incarnation: `${hostId}-1`,
  domain: 'd',
  peerAddress: `${hostId}:1`,
  state: 'alive',
  sequence: 0,
  ...more,
});

const origin = (hostId: string): { hostId: string; incarnation: string } => ({
  hostId,
  incarnation: `${hostId}-1`,
});

describe('membership over a network', () => {
  it('finds all hosts from one seed within 2 s', () => {
    expect(startFleet(9).simulation.nowMs < 2000).toEqual(true);
  });

  it('declares a killed host dead everywhere within 3 s and keeps probing it', () => {
    const { simulation, records } = startFleet(9);
    simulation.kill('h4');
    simulation.run(3000);
    expect(everyoneSees(simulation, 'h4', 'dead')).toEqual(true);
    const mark = records.length;
    simulation.run(10_000);
    const probes = records
      .slice(mark)
      .filter(({ action }) => action.type === 'send' && action.address === 'h4:1');
    // Each of the eight hosts probes a dead member every 2 s.
    expect(probes.length >= 32 && probes.length <= 48).toEqual(true);
  });

  it('readmits a host paused for 5 s, which suspects nobody and emits confirmed again', () => {
    const { simulation, records } = startFleet(9);
    simulation.run(1000);
    simulation.pause('h4', 5000);
    simulation.run(4900);
    expect(everyoneSees(simulation, 'h4', 'dead')).toEqual(true);
    const mark = records.length;
    simulation.run(1500);
    expect(simulation.agreed()).toEqual(true);
    const own = records.slice(mark).filter(({ hostId }) => hostId === 'h4');
    expect(own.filter(({ action }) => action.type === 'confirmed').length).toEqual(1);
    own.forEach(({ action }) => {
      if (action.type !== 'membersChanged') return;
      expect(action.members.every(({ state }) => state === 'alive')).toEqual(true);
    });
  });

  it('declares the other side of a partition dead and merges both sides after healing', () => {
    const { simulation } = startFleet(9);
    simulation.partition(new Map(['h0', 'h1', 'h2'].map((hostId) => [hostId, 1])));
    simulation.run(5000);
    expect(simulation.view('h0', 'h5')?.state).toEqual('dead');
    expect(simulation.view('h5', 'h0')?.state).toEqual('dead');
    expect(simulation.view('h0', 'h1')?.state).toEqual('alive');
    simulation.partition(new Map());
    simulation.run(10_000, () => simulation.agreed());
    expect(simulation.agreed()).toEqual(true);
  });

  it('rarely declares hosts dead at 10 % message loss, and converges afterwards', () => {
    const { simulation, records } = startFleet(9, 7);
    simulation.setLossFraction(0.1);
    const mark = records.length;
    simulation.run(60_000);
    const changes = records
      .slice(mark)
      .flatMap(({ action }) => (action.type === 'membersChanged' ? [action.members] : []));
    const withDead = changes.filter((members) => members.some(({ state }) => state === 'dead'));
    expect(withDead.length / Math.max(1, changes.length) < 0.05).toEqual(true);
    simulation.setLossFraction(0);
    simulation.run(5000);
    expect(simulation.agreed()).toEqual(true);
  });

  it('replaces a restarted host by its new incarnation, even at a lower sequence number', () => {
    const { simulation } = startFleet(5);
    simulation.pause('h2', 3000);
    simulation.run(5000);
    expect((simulation.view('h0', 'h2')?.sequence ?? 0) > 0).toEqual(true);
    simulation.kill('h2');
    simulation.start('h2', 'a-later-incarnation', ['h1']);
    simulation.run(3000);
    expect(simulation.agreed()).toEqual(true);
    simulation.hostIds.forEach((hostId) => {
      expect(simulation.view(hostId, 'h2')?.incarnation).toEqual('a-later-incarnation');
    });
  });

  it('shows a host as leaving everywhere within 1 s, and as dead once it has stopped', () => {
    const { simulation } = startFleet(9);
    simulation.callMembership('h3', (membership) => membership.leave(simulation.nowMs));
    simulation.run(1000);
    expect(everyoneSees(simulation, 'h3', 'leaving')).toEqual(true);
    simulation.kill('h3');
    simulation.run(3000);
    expect(everyoneSees(simulation, 'h3', 'dead')).toEqual(true);
  });

  it('continues alone and emits confirmed when all peers are dead', () => {
    const { simulation, records } = startFleet(3);
    simulation.kill('h0');
    simulation.kill('h1');
    simulation.run(5000);
    expect(simulation.view('h2', 'h0')?.state).toEqual('dead');
    const mark = records.length;
    simulation.pause('h2', 1000);
    simulation.run(3000);
    const confirmed = records.slice(mark).filter(({ action }) => action.type === 'confirmed');
    expect(confirmed.length).toEqual(1);
    simulation.start('h0', 'h0-2', []);
    simulation.run(6000);
    expect(simulation.agreed()).toEqual(true);
  });
});

describe('membership of one host', () => {
  const create = (seeds: readonly string[] = []): Membership =>
    new Membership(member('a'), seeds, seededRandom(3));
  const hello = (hostId: string, more: Partial<Member> = {}) =>
    ({ type: 'ping', nonce: 1, updates: [member(hostId, more)], generation: 0 }) as const;

  const sends = (actions: readonly MembershipAction[]) =>
    actions.flatMap((action) => (action.type === 'send' ? [action] : []));

  it('refutes a claim that it is dead and never lists itself as dead', () => {
    const membership = create();
    membership.tick(0);
    const claim = member('a', { state: 'dead', sequence: 4 });
    const ping = { ...hello('b'), updates: [member('b'), claim] };
    const ack = membership.receive(origin('b'), ping, 10).find(({ type }) => type === 'send');
    expect(membership.members()[0]).toEqual(member('a', { sequence: 5 }));
    expect(ack?.type === 'send' && ack.message.type === 'ack' && ack.message.updates[0]).toEqual(
      member('a', { sequence: 5 }),
    );
  });

  it('reports a newer generation once, and again after the repeat period or a newer one', () => {
    const membership = create();
    membership.setGeneration(3);
    membership.tick(0);
    const reports = [3, 4, 4, 5, 4].map((generation, index) => {
      const actions = membership.receive(origin('b'), { ...hello('b'), generation }, index * 10);
      return actions.some(({ type }) => type === 'generationSeen');
    });
    expect(reports).toEqual([false, true, false, true, false]);
    membership.tick(400);
    const later = membership.receive(origin('b'), { ...hello('b'), generation: 5 }, 600);
    expect(later.some(({ type }) => type === 'generationSeen')).toEqual(true);
  });

  it('probes a member at once when the connection to it breaks', () => {
    const membership = create();
    membership.tick(0);
    membership.receive(origin('b'), hello('b'), 10);
    const actions = membership.connectionLost('b', 20);
    expect(actions.map((action) => action.type === 'send' && action.address)).toEqual(['b:1']);
    expect(membership.connectionLost('b', 21)).toEqual([]);
    expect(membership.connectionLost('unknown', 22)).toEqual([]);
  });

  it('does not emit confirmed for a probe that was started before a pause', () => {
    const membership = create(['b:1']);
    const pings = (actions: readonly MembershipAction[]): number[] =>
      actions.flatMap((action) =>
        action.type === 'send' && action.message.type === 'ping' ? [action.message.nonce] : [],
      );
    const [before] = pings(membership.tick(0));
    const answer = (nonce = 0, nowMs = 0) =>
      membership
        .receive(origin('b'), { ...hello('b'), type: 'ack', nonce }, nowMs)
        .some(({ type }) => type === 'confirmed');
    expect(answer(before, 700)).toEqual(false);
    const [after] = pings(membership.tick(710));
    expect(answer(after, 711)).toEqual(true);
  });

  it('pings hosts from the store before they become members', () => {
    const membership = create();
    membership.tick(0);
    const actions = membership.learn([member('b'), member('c')], 10);
    expect(actions.map((action) => action.type === 'send' && action.address)).toEqual([
      'b:1',
      'c:1',
    ]);
    expect(membership.members().map(({ hostId }) => hostId)).toEqual(['a']);
  });

  it('probes on behalf of another member and forwards the answer', () => {
    const membership = create();
    membership.tick(0);
    membership.receive(origin('b'), hello('b'), 10);
    const request = { type: 'pingRequest', nonce: 77, target: member('c') } as const;
    const [ping] = sends(membership.receive(origin('b'), request, 20));
    expect(ping?.address).toEqual('c:1');
    const nonce = ping?.message.nonce ?? 0;
    const ack = { ...hello('c'), type: 'ack', nonce } as const;
    expect(sends(membership.receive(origin('d'), ack, 21))).toEqual([]);
    const [passed] = sends(membership.receive(origin('c'), ack, 22));
    expect([passed?.address, passed?.message.type, passed?.message.nonce]).toEqual([
      'b:1',
      'ack',
      77,
    ]);
  });

  it('keeps sending the records of all members after the queued updates have been sent', () => {
    const membership = create();
    membership.tick(0);
    const others = Array.from({ length: 20 }, (_, index) => member(`m${index}`));
    others.forEach(({ hostId }) => membership.receive(origin(hostId), hello(hostId), 10));
    const answer = (): readonly Member[] => {
      const [ack] = sends(membership.receive(origin('m0'), hello('m0'), 10));
      return ack?.message.type === 'ack' ? ack.message.updates : [];
    };
    Array.from({ length: 200 }).forEach(answer);
    const told = Array.from({ length: 21 }).flatMap(answer);
    expect(new Set(told.map(({ hostId }) => hostId)).size).toEqual(21);
    expect(answer().length <= 2).toEqual(true);
  });

  it('reports a conflict when another process uses the same host id', () => {
    const membership = create();
    const from = { hostId: 'a', incarnation: 'a-2' };
    expect(membership.receive(from, hello('a', { incarnation: 'a-2' }), 0)[0]).toEqual({
      type: 'conflict',
      incarnation: 'a-2',
    });
  });
});

describe('false suspicion', () => {
  it('is refuted before the suspect is declared dead, for any number of hosts', () => {
    [3, 9, 36, 72].forEach((count) => {
      const { simulation, records } = startFleet(count);
      // Updates caused by the start are still queued; a suspicion must not be delayed by them.
      const target = simulation.view('h0', 'h2');
      const mark = records.length;
      const updates = [{ ...(target ?? member('h2')), state: 'suspect' as const }];
      simulation.callMembership('h0', (membership) =>
        membership.receive(
          origin('h1'),
          { type: 'ping', nonce: 1, updates, generation: 0 },
          simulation.nowMs,
        ),
      );
      expect(simulation.view('h0', 'h2')?.state).toEqual('suspect');
      simulation.run(3000);
      expect(simulation.agreed()).toEqual(true);
      records.slice(mark).forEach(({ action }) => {
        if (action.type !== 'membersChanged') return;
        expect(action.members.some(({ state }) => state === 'dead')).toEqual(false);
      });
    });
  });
});
