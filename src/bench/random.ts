/**
 * Seeded random numbers. A run takes every random number from here, and each stream is derived from
 * the run's seed and a label, so that adding a stream doesn't change the others.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomSource } from '../core/clock';

/** The first numbers after seeding are far from uniform. */
const WARM_UP = 16;
const LABEL_FACTOR = 31;
const LABEL_MODULUS = 2_147_483_647;

function mix(seed: number, label: string): number {
  return [...label].reduce(
    (sum, character) => (sum * LABEL_FACTOR + character.charCodeAt(0)) % LABEL_MODULUS,
    (seed * 7919 + 17) % LABEL_MODULUS,
  );
}

/** A stream of uniform numbers in [0, 1). */
export class SeededRandom implements RandomSource {
  readonly #seed: number;

  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number, label = '') {
    this.#seed = mix(seed, label);
    this.#generator = xoroshiro128plus(this.#seed);
    Array.from({ length: WARM_UP }, () => this.next());
  }

  next(): number {
    return uniformFloat64(this.#generator);
  }

  /** An independent stream; the same label always gives the same one. */
  stream(label: string): SeededRandom {
    return new SeededRandom(this.#seed, label);
  }

  between(low: number, high: number): number {
    return low + (high - low) * this.next();
  }

  /** An integer from `low` to `high`, both included. */
  integer(low: number, high: number): number {
    return Math.floor(this.between(low, high + 1));
  }

  /** Log-uniform, so that each factor of two between the bounds is equally likely. */
  logBetween(low: number, high: number): number {
    return low * (high / low) ** this.next();
  }

  /** Exponential with the given mean; gaps of a Poisson process. */
  exponential(mean: number): number {
    return -Math.log(1 - this.next()) * mean;
  }

  pick<T>(items: readonly T[]): T {
    const item = items[Math.floor(this.next() * items.length)];
    if (item === undefined) {
      throw new Error('nothing to pick from');
    }
    return item;
  }
}
