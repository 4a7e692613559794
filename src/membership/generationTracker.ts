/**
 * Detects that a peer has a newer configuration in force, and limits how often this is reported.
 */

/** Compares the generations of peers with the generation of this host. */
export class GenerationTracker {
  readonly #repeatMs: number;

  #current = 0;

  #reported = 0;

  #reportedAtMs = 0;

  constructor(repeatMs: number) {
    this.#repeatMs = repeatMs;
  }

  /** The generation in force at this host. */
  get current(): number {
    return this.#current;
  }

  /** Sets the generation in force at this host. */
  set(generation: number): void {
    this.#current = generation;
  }

  /**
   * Whether to report the generation of a peer: it is newer than that of this host, and either
   * newer than the last one reported or the last report is at least `repeatMs` old.
   */
  shouldReport(generation: number, nowMs: number): boolean {
    if (generation <= this.#current) return false;
    if (generation <= this.#reported && nowMs - this.#reportedAtMs < this.#repeatMs) return false;
    this.#reported = generation;
    this.#reportedAtMs = nowMs;
    return true;
  }
}
