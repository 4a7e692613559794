/**
 * Distinguishes a failing kind of work from a failing worker: when a kind fails on at least half of
 * the other workers that ran it, its failures do not count against the health of a worker.
 */
import { GrantOutcome } from './messages';

const SMOOTHING = 0.3;
const FAILING_RATE = 0.5;
const WORKERS_MIN = 2;

/** Moving averages of failure rates, by kind and worker. */
export class KindFailures {
  readonly #rates = new Map<string, Map<string, number>>();

  observe(leaf: string, workerId: string, outcome: GrantOutcome): void {
    if (outcome !== GrantOutcome.failed && outcome !== GrantOutcome.succeeded) return;
    const rates = this.#rates.get(leaf) ?? new Map<string, number>();
    const before = rates.get(workerId) ?? 0;
    const sample = outcome === GrantOutcome.failed ? 1 : 0;
    rates.set(workerId, before + SMOOTHING * (sample - before));
    this.#rates.set(leaf, rates);
  }

  /** True if the kind fails mostly on at least half of the other workers that ran it. */
  failsElsewhere(leaf: string, workerId: string): boolean {
    const others = [...(this.#rates.get(leaf) ?? [])].filter(([id]) => id !== workerId);
    if (others.length < WORKERS_MIN) return false;
    const failing = others.filter(([, rate]) => rate >= FAILING_RATE).length;
    return failing * 2 >= others.length;
  }
}
