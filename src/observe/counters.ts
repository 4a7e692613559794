/** Sums counters in the process, so that a busy counter costs one line per flush. */

type Tags = Readonly<Record<string, string>>;

/** Sum of one counter with its tags. */
export interface Sum {
  readonly name: string;
  readonly tags: Tags;
  value: number;
}

/** Separates the parts of a map key; it does not occur in names and tags. */
const SEPARATOR = '\u0000';

/** Sums by name and tags. Tags in another order make another sum, which receivers add up. */
export class Counters {
  #sums = new Map<string, Sum>();

  add(name: string, value: number, tags: Tags): void {
    const key = Object.keys(tags).reduce(
      (text, tag) => text + SEPARATOR + tag + SEPARATOR + tags[tag],
      name,
    );
    const sum = this.#sums.get(key);
    if (sum === undefined) this.#sums.set(key, { name, tags, value });
    else sum.value += value;
  }

  /** Gives all sums and starts again at zero. */
  take(): readonly Sum[] {
    const sums = [...this.#sums.values()];
    this.#sums = new Map();
    return sums;
  }
}
