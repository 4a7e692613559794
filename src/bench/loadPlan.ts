/** All jobs of a load in the order of their arrival. */
import { Arrivals } from './loadArrivals';
import type { PlannedJob } from './loadArrivals';
import type { LoadKind } from './loadTypes';

/** Yields the jobs in the order of their arrival. */
export class LoadPlan {
  readonly #arrivals: readonly Arrivals[];

  readonly #factors = new Map<LoadKind, number>();

  #jobsPerS: number;

  #taken = 0;

  constructor(kinds: readonly LoadKind[], jobsPerS: number, seed: number) {
    this.#arrivals = kinds.map((kind, index) => new Arrivals(kind, seed, index));
    this.#jobsPerS = jobsPerS;
    this.#apply(0);
  }

  /** When the next job is due, in ms since the begin of the load. */
  get dueMs(): number {
    return Math.min(...this.#arrivals.map((arrivals) => arrivals.dueMs));
  }

  /** The next job; `dueMs` must be finite. */
  take(): PlannedJob {
    const next = this.#arrivals.reduce((first, other) =>
      other.dueMs < first.dueMs ? other : first,
    );
    this.#taken += 1;
    return next.take(this.#taken);
  }

  setRate(jobsPerS: number, nowMs: number): void {
    this.#jobsPerS = jobsPerS;
    this.#apply(nowMs);
  }

  /** Multiplies the rate of one kind, for a flood. */
  setFactor(team: string, kind: string, factor: number, nowMs: number): void {
    const found = this.#arrivals.find(
      ({ kind: candidate }) => candidate.team === team && candidate.kind === kind,
    );
    if (found !== undefined) this.#factors.set(found.kind, factor);
    this.#apply(nowMs);
  }

  #apply(nowMs: number): void {
    const weights = this.#arrivals.reduce((sum, { kind }) => sum + kind.weight, 0);
    this.#arrivals.forEach((arrivals) => {
      const { kind } = arrivals;
      const factor = this.#factors.get(kind) ?? 1;
      const jobsPerMs = ((this.#jobsPerS / 1000) * kind.weight * factor) / weights;
      arrivals.setRate(jobsPerMs, nowMs);
    });
  }
}
