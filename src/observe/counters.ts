/** Aggregates counters in the process, so that a frequent counter costs one line per flush. */

type Tags = Readonly<Record<string, string>>;

/** Sum of one counter with one set of tags. */
export interface CounterSum {
  readonly name: string;
  readonly tags: Tags;
  value: number;
}

/** Separates the parts of a map key; must not occur in names or tags. */
const SEPARATOR = '\u0000';

/**
 * Sums by name and tags. The same tags in a different order give a separate sum; the receiver adds
 * these up.
 */
export class Counters {
  #sums = new Map<string, CounterSum>();

  add(name: string, value: number, tags: Tags): void {
    const key = Object.keys(tags).reduce(
      (text, tag) => text + SEPARATOR + tag + SEPARATOR + tags[tag],
      name,
    );
    const sum = this.#sums.get(key);
    if (sum === undefined) this.#sums.set(key, { name, tags, value });
    else sum.value += value;
  }

  /** Returns all sums and resets them. */
  drain(): readonly CounterSum[] {
    const sums = [...this.#sums.values()];
    this.#sums = new Map();
    return sums;
  }
}
