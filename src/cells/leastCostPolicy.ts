/**
 * Overload policy that delays or refuses first what costs its caller least. What misses its
 * objective is served after all that can still meet theirs, as long as its answer is of use to the
 * caller. Queues are ordered as under equal shares. Only as much room is left free as a wide job
 * would lack.
 */
import { EqualSharesPolicy } from './equalSharesPolicy';
import { OverloadPolicyName, type OverloadPolicy, type QueueStanding } from './overloadPolicy';

/** The policy of least cost. */
export class LeastCostPolicy implements OverloadPolicy {
  readonly name = OverloadPolicyName.leastCost;

  readonly servesLate = true;

  readonly #shares = new EqualSharesPolicy();

  precedes(queue: QueueStanding, other: QueueStanding): boolean {
    return this.#shares.precedes(queue, other);
  }

  reserveFraction(shortfall: () => number): number {
    return Math.min(this.#shares.reserveFraction(), shortfall());
  }
}
