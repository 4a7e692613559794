/**
 * Poisson arrivals of one kind, drawn from a seed. The gaps and the sizes have streams of their own,
 * so that a change of the rate leaves the sizes of the jobs as they were.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomSource } from '../core/clock';
import type { LoadKind, LoadRange } from './loadTypes';

/** The first numbers after seeding are far from uniform. */
const WARM_UP = 16;
const SEED_STRIDE = 7919;

/** A job that is due. `number` is unique in the load and comes back in each result. */
export interface PlannedJob {
  readonly number: number;
  readonly kind: LoadKind;
  readonly dueMs: number;
  readonly runMs: readonly number[];
}

/** A stream of random numbers for the given seed and stream number. */
export function seededRandom(seed: number, stream: number): RandomSource {
  const generator = xoroshiro128plus(seed * SEED_STRIDE + stream);
  const source = { next: () => uniformFloat64(generator) };
  Array.from({ length: WARM_UP }, () => source.next());
  return source;
}

function draw(random: RandomSource, { low, high }: LoadRange): number {
  return low === high ? low : low * (high / low) ** random.next();
}

/** Log-uniform over the integers: each gets the part of the range up to the next one. */
function drawInteger(random: RandomSource, { low, high }: LoadRange): number {
  return Math.min(high, Math.floor(draw(random, { low, high: high + 1 })));
}

/** Poisson arrivals of one kind. */
export class Arrivals {
  readonly kind: LoadKind;

  readonly #gaps: RandomSource;

  readonly #sizes: RandomSource;

  #jobsPerMs = 0;

  #dueMs = Infinity;

  constructor(kind: LoadKind, seed: number, index: number) {
    this.kind = kind;
    this.#gaps = seededRandom(seed, index * 2);
    this.#sizes = seededRandom(seed, index * 2 + 1);
  }

  get dueMs(): number {
    return this.#dueMs;
  }

  setRate(jobsPerMs: number, nowMs: number): void {
    if (jobsPerMs === this.#jobsPerMs) return;
    this.#jobsPerMs = jobsPerMs;
    this.#dueMs = nowMs;
    this.#advance();
  }

  take(number: number): PlannedJob {
    const { kind } = this;
    const dueMs = this.#dueMs;
    this.#advance();
    const length = drawInteger(this.#sizes, kind.tasks);
    const runMs = Array.from({ length }, () => Math.round(draw(this.#sizes, kind.runMs)));
    return { number, kind, dueMs, runMs };
  }

  #advance(): void {
    const gap = -Math.log(1 - this.#gaps.next());
    this.#dueMs = this.#jobsPerMs > 0 ? this.#dueMs + gap / this.#jobsPerMs : Infinity;
  }
}
