/**
 * Guards against member lists that do not converge after random faults, and against hosts that
 * consider themselves suspect or dead.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { Simulation } from '../../src/membership/simulation';

const HOSTS = ['h0', 'h1', 'h2', 'h3', 'h4', 'h5'];
const host = fc.constantFrom(...HOSTS);

type Step =
  | { type: 'pause'; hostId: string; durationMs: number }
  | { type: 'partition'; groups: readonly number[] }
  | { type: 'lose'; fraction: number }
  | { type: 'restart'; hostId: string }
  | { type: 'kill'; hostId: string }
  | { type: 'leave'; hostId: string };

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    type: fc.constant('pause' as const),
    hostId: host,
    durationMs: fc.integer({ min: 100, max: 6000 }),
  }),
  fc.record({
    type: fc.constant('partition' as const),
    groups: fc.array(fc.integer({ min: 0, max: 2 }), { minLength: 6, maxLength: 6 }),
  }),
  fc.record({
    type: fc.constant('lose' as const),
    fraction: fc.double({ min: 0, max: 0.4, noNaN: true }),
  }),
  fc.record({ type: fc.constant('restart' as const), hostId: host }),
  fc.record({ type: fc.constant('kill' as const), hostId: host }),
  fc.record({ type: fc.constant('leave' as const), hostId: host }),
);

const perform = (simulation: Simulation, action: Step, index: number): void => {
  switch (action.type) {
    case 'pause':
      simulation.pause(action.hostId, action.durationMs);
      break;
    case 'partition':
      simulation.partition(new Map(HOSTS.map((id, at) => [id, action.groups[at] ?? 0])));
      break;
    case 'lose':
      simulation.setLossFraction(action.fraction);
      break;
    case 'restart':
      simulation.start(action.hostId, `${action.hostId}-${(index * 7) % 10}-${index}`, HOSTS);
      break;
    case 'kill':
      simulation.kill(action.hostId);
      break;
    default:
      simulation.callMembership(action.hostId, (membership) => membership.leave(simulation.nowMs));
  }
};

describe('membership under faults', () => {
  it('converges on the running hosts once the faults have ended', () => {
    const steps = fc.array(fc.tuple(step, fc.integer({ min: 50, max: 3000 })), { maxLength: 12 });
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 1_000_000 }), steps, (seed, sequence) => {
        let lastOwnState = 'alive';
        const simulation = new Simulation(seed, (hostId, action) => {
          if (action.type !== 'membersChanged') return;
          const own = action.members.find((member) => member.hostId === hostId);
          lastOwnState = own?.state ?? 'missing';
          expect(['alive', 'leaving'].includes(lastOwnState)).toEqual(true);
        });
        HOSTS.forEach((hostId) => simulation.start(hostId, `${hostId}-first`, HOSTS));
        sequence.forEach(([action, waitMs], index) => {
          perform(simulation, action, index);
          simulation.run(waitMs);
        });
        simulation.partition(new Map());
        simulation.setLossFraction(0);
        // Waits for the longest pause to end, then for failure detection and probes of dead
        // members.
        simulation.run(6000);
        simulation.run(60_000, () => simulation.agreed());
        expect(simulation.agreed()).toEqual(true);
        simulation.run(3000);
        expect(simulation.agreed()).toEqual(true);
      }),
      { seed: 20261204, numRuns: 300 },
    );
  });
});
