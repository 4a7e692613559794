/**
 * Run times learned from finished tasks. Declared run times can be wrong by a factor of ten either
 * way, so decisions use the moving average per kind of work.
 */

const SMOOTHING = 0.05;
const INITIAL_MS = 300;

/** Identifies a kind of work of a team. */
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

  /** Mean run time of a task of this kind; a common value until one has finished. */
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
