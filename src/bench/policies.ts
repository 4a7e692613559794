/** Policies that the bench compares, by name. */
import { HostCore } from '../core';
import type { SchedulerSelector } from '../core/roles';
import { createBaselineCore } from './baseline';
import type { CoreFactory } from './entryHost';
import { SeededRandom } from './random';

/** Rendezvous hashing: the live host with the highest weight for the domain. */
const chooseScheduler: SchedulerSelector = (domain, members) => {
  const weighted = members
    .filter((member) => member.domain === domain && member.state === 'alive')
    .map((member) => ({
      member,
      weight: new SeededRandom(0, `${domain} ${member.hostId}`).next(),
    }))
    .sort((left, right) => right.weight - left.weight);
  return weighted[0]?.member ?? null;
};

/** The project's own decision code. */
const createProjectCore: CoreFactory = ({ hostId, incarnation, domain, options, random }) =>
  new HostCore({
    hostId,
    incarnation,
    secret: incarnation,
    domain,
    options,
    random,
    chooseScheduler,
  });

/** Creates the cores of one policy. */
export const POLICIES: ReadonlyMap<string, CoreFactory> = new Map([
  ['wasabiyoke', createProjectCore],
  ['baseline', createBaselineCore],
]);

/** The factory of a policy; throws for an unknown name. */
export function policyOf(name: string): CoreFactory {
  const policy = POLICIES.get(name);
  if (policy === undefined) {
    throw new Error(`unknown policy ${name}; known are ${[...POLICIES.keys()].join(', ')}`);
  }
  return policy;
}
