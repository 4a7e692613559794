/** Operators' view of a host that tests fill in. */
import { Ok } from 'ts-results';
import type { OperatorService } from '../../src/host/operatorService';

/** A healthy host of a deployment with one host; `overrides` replace single methods. */
export function fakeService(overrides: Partial<OperatorService> = {}): OperatorService {
  return {
    status: async () => ({
      hostId: 'bole-1',
      incarnation: 'i1',
      service: 'booking-desk',
      region: 'shewa',
      domain: 'bole',
      state: 'serving',
      schedulerId: 'bole-1',
      relay: true,
      generation: 4,
      pendingSubmissions: 0,
      uptimeMs: 10,
    }),
    members: async () => [],
    workers: async () => [],
    queues: async () => [],
    configuration: async () => null,
    checkConfiguration: async () => [],
    diffConfiguration: async () => Ok([]),
    publishConfiguration: async () => ({
      outcome: 'published',
      generation: 5,
      publicationId: 'p5',
    }),
    inForce: async () => [{ hostId: 'bole-1', domain: 'bole', generation: 5 }],
    drain: async () => {},
    ...overrides,
  };
}
