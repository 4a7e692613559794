/**
 * Limits how many large replies a host sends at a time. A slot that has not been returned in time is
 * free again, so that a receiver which has stopped reading holds none for long.
 */
export class TransferSlots {
  readonly #slots: number;

  readonly #holdMs: number;

  /** When each slot in use was taken, by an object that stands for its holder. */
  readonly #takenAtMs = new Map<object, number>();

  constructor(slots: number, holdMs: number) {
    this.#slots = slots;
    this.#holdMs = holdMs;
  }

  /** Takes a slot. Returns the function that returns it, or null if none is free. */
  take(nowMs: number): (() => void) | null {
    this.#takenAtMs.forEach((takenAtMs, holder) => {
      if (nowMs - takenAtMs >= this.#holdMs) this.#takenAtMs.delete(holder);
    });
    if (this.#takenAtMs.size >= this.#slots) return null;
    const holder = {};
    this.#takenAtMs.set(holder, nowMs);
    return () => this.#takenAtMs.delete(holder);
  }
}
