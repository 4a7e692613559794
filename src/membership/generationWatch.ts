/** Notices that a peer has a newer configuration in force, without reporting it with every message. */

/** Generations seen at peers. */
export class GenerationWatch {
  readonly #repeatMs: number;

  #own = 0;

  #reported = 0;

  #reportedAtMs = 0;

  constructor(repeatMs: number) {
    this.#repeatMs = repeatMs;
  }

  /** Generation in force at this host. */
  get own(): number {
    return this.#own;
  }

  /** Sets the generation in force at this host. */
  set(generation: number): void {
    this.#own = generation;
  }

  /** Whether a generation seen at a peer is to be reported. */
  isNews(generation: number, nowMs: number): boolean {
    if (generation <= this.#own) return false;
    if (generation <= this.#reported && nowMs - this.#reportedAtMs < this.#repeatMs) return false;
    this.#reported = generation;
    this.#reportedAtMs = nowMs;
    return true;
  }
}
