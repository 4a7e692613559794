/** What a mutation check works on. */

/** A change of one guarding rule that the named tests must notice. */
export interface Mutant {
  /** Says what the changed code does wrong. */
  readonly name: string;
  readonly file: string;
  /** Occurs exactly once in the file. */
  readonly text: string;
  readonly replacement: string;
  /** Test files of which at least one has to fail. */
  readonly tests: readonly string[];
}

/** A mutation of one line of text, without the file and the tests of its group. */
export type Change = readonly [name: string, text: string, replacement: string];

/** Mutants of one file that the same tests guard. */
export function mutantsOf(
  file: string,
  tests: readonly string[],
  changes: readonly Change[],
): readonly Mutant[] {
  return changes.map(([name, text, replacement]) => ({ name, file, text, replacement, tests }));
}
