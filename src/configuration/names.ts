/** Names of teams, templates and kinds, and the section headers that contain them. */

const NAME = /^[a-z0-9-]{1,64}$/;

/** Returns true if the text is a valid name. */
export function isName(text: string): boolean {
  return NAME.test(text);
}

/** A parsed section header: the owner of the section's parameters. */
export interface SectionHeader {
  readonly owner: 'template' | 'team';
  readonly name: string;
  /** Null for the section of the owner itself. */
  readonly kind: string | null;
}

/** Parses a section header. Returns null if it has an unknown form. */
export function parseHeader(header: string): SectionHeader | null {
  const [owner, name, word, kind, ...rest] = header.split(/\s+/);
  if (owner !== 'template' && owner !== 'team') return null;
  if (name === undefined || rest.length > 0) return null;
  if (word === undefined) return { owner, name, kind: null };
  return word === 'kind' && kind !== undefined ? { owner, name, kind } : null;
}

/** Formats a header in its normal form. */
export function formatHeader({ owner, name, kind }: SectionHeader): string {
  return kind === null ? `${owner} ${name}` : `${owner} ${name} kind ${kind}`;
}
