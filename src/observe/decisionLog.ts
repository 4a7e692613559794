/**
 * Log of routing and placement decisions, one line each. The fraction written is a setting; a
 * decision that is not written costs one random number.
 */
import type { RandomSource } from '../core/clock';
import type { Decision, DecisionLog } from './observer';
import type { PinoLog } from './pinoLog';

const RANDOM: RandomSource = { next: () => Math.random() };

/** Writes a random sample of the decisions. A fraction of 1 writes all, 0 writes none. */
export class SampledDecisionLog implements DecisionLog {
  readonly #log: PinoLog;

  readonly #fraction: number;

  readonly #random: RandomSource;

  constructor(log: PinoLog, fraction = 1, random = RANDOM) {
    this.#log = log;
    this.#fraction = fraction;
    this.#random = random;
  }

  /** Writes the decision, its reason and its fields as one line, if it is sampled. */
  record({ decision, reason, fields }: Decision): void {
    if (this.#fraction < 1 && this.#random.next() >= this.#fraction) return;
    this.#log.writeLine({ decision, reason, ...fields });
  }
}
