/**
 * One log line per routing or placement decision. A setting samples them; what is left out costs one
 * random number.
 */
import type { RandomSource } from '../core/clock';
import type { Decision, DecisionLog } from './observer';
import type { PinoLog } from './pinoLog';

const RANDOM: RandomSource = { next: () => Math.random() };

/** Writes the given fraction of the decisions: 1 is all, 0 is none. */
export class SampledDecisionLog implements DecisionLog {
  readonly #log: PinoLog;

  readonly #fraction: number;

  readonly #random: RandomSource;

  constructor(log: PinoLog, fraction = 1, random = RANDOM) {
    this.#log = log;
    this.#fraction = fraction;
    this.#random = random;
  }

  /** Writes `reason` and all fields of the decision into one line. */
  record({ decision, reason, fields }: Decision): void {
    if (this.#fraction < 1 && this.#random.next() >= this.#fraction) return;
    this.#log.writeLine({ decision, reason, ...fields });
  }
}
