/** Names of teams, templates and kinds, and the section headers that carry them. */

const NAME = /^[a-z0-9-]{1,64}$/;

/** True for the names that a configuration may use. */
export function isName(text: string): boolean {
  return NAME.test(text);
}

/** Whose parameters a section holds. */
export interface SectionHeader {
  readonly owner: 'template' | 'team';
  readonly name: string;
  /** Null for the section of the owner itself. */
  readonly kind: string | null;
}

/** Null if the header is none of the three forms that the configuration knows. */
export function parseHeader(header: string): SectionHeader | null {
  const [owner, name, word, kind, ...rest] = header.split(/\s+/);
  if (owner !== 'template' && owner !== 'team') return null;
  if (name === undefined || rest.length > 0) return null;
  if (word === undefined) return { owner, name, kind: null };
  return word === 'kind' && kind !== undefined ? { owner, name, kind } : null;
}

/** The header as the configuration writes it. */
export function formatHeader({ owner, name, kind }: SectionHeader): string {
  return kind === null ? `${owner} ${name}` : `${owner} ${name} kind ${kind}`;
}
