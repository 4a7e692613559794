/**
 * Run times learned from finished tasks. Declared run times can be wrong by a factor of ten in
 * either direction, so decisions use a moving average per kind of work.
 */

const SMOOTHING = 0.05;
const INITIAL_MS = 300;

/** Key of a kind of work of a team, which is a leaf of the hierarchy of fair shares. */
export function leafKey(team: string, kind: string): string {
  return `${team}/${kind}`;
}

/** Exponentially weighted mean run time per kind. */
export class RunTimeEstimates {
  readonly #meanMs = new Map<string, number>();

  learn(leaf: string, runTimeMs: number): void {
    const known = this.#meanMs.get(leaf);
    this.#meanMs.set(
      leaf,
      known === undefined ? runTimeMs : known + SMOOTHING * (runTimeMs - known),
    );
  }

  /** Mean run time of a task of this kind; `INITIAL_MS` until one has finished. */
  meanMs(leaf: string): number {
    return this.#meanMs.get(leaf) ?? INITIAL_MS;
  }

  known(leaf: string): boolean {
    return this.#meanMs.has(leaf);
  }

  /**
   * Expected run time of the longest of `tasks` tasks: the mean times the harmonic number, which is
   * the expected maximum of exponentially distributed run times.
   */
  longestMs(leaf: string, tasks: number): number {
    return this.meanMs(leaf) * (1 + Math.log(Math.max(1, tasks)));
  }
}
