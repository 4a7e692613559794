/** Policies that the bench compares, by name. */
import { createBaselineCore } from './baseline';
import type { CoreFactory } from './entryHost';

/** Creates the cores of one policy. */
export const POLICIES: ReadonlyMap<string, CoreFactory> = new Map([
  ['baseline', createBaselineCore],
]);

export function policyOf(name: string): CoreFactory {
  const policy = POLICIES.get(name);
  if (policy === undefined) {
    throw new Error(`unknown policy ${name}; known are ${[...POLICIES.keys()].join(', ')}`);
  }
  return policy;
}
