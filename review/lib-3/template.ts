/**
 * Fills in the template of the settings as DEPLOY.md describes: values, sections for lists, tables
 * and truths, and inverted sections.
 */

type Fields = Readonly<Record<string, unknown>>;

/** The entry of the innermost section, and what encloses it. */
interface Scope {
  readonly value: unknown;
  readonly key: string;
  readonly isLast: boolean;
  readonly outer: Scope | null;
}

const SECTION = /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/;
const PLACEHOLDER = /\{\{([\w.@,]+?)(\|json)?\}\}/g;

function isTable(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function memberOf(value: unknown, path: string): unknown {
  return path
    .split('.')
    .reduce<unknown>(
      (current, name) =>
        typeof current === 'object' && current !== null ? (current as Fields)[name] : undefined,
      value,
    );
}

function lookUp(scope: Scope, name: string): unknown {
  if (name === '.') return scope.value;
  const value = memberOf(scope.value, name);
  return value === undefined && scope.outer ? lookUp(scope.outer, name) : value;
}

function textOf(value: unknown, asJson: boolean): string {
  if (asJson) return JSON.stringify(value ?? null);
  if (value === undefined || value === null) return '';
  if (Array.isArray(value)) return value.join(',');
  return isTable(value) ? JSON.stringify(value) : String(value);
}

/** Entries for which a section is rendered. */
function entriesOf(value: unknown, scope: Scope): readonly Scope[] {
  if (value === undefined || value === null || value === false) return [];
  if (Array.isArray(value) || isTable(value)) {
    const entries = Object.entries(value);
    return entries.map(([key, entry], index) => ({
      value: entry,
      key,
      isLast: index === entries.length - 1,
      outer: scope,
    }));
  }
  return [{ value, key: '', isLast: true, outer: scope }];
}

function renderScope(template: string, scope: Scope): string {
  const section = SECTION.exec(template);
  if (section) {
    const [whole, kind, name = '', body = ''] = section;
    const entries = entriesOf(lookUp(scope, name), scope);
    const inverted = entries.length === 0 ? renderScope(body, scope) : '';
    const inner =
      kind === '^' ? inverted : entries.map((entry) => renderScope(body, entry)).join('');
    const before = renderScope(template.slice(0, section.index), scope);
    return before + inner + renderScope(template.slice(section.index + whole.length), scope);
  }
  return template.replace(PLACEHOLDER, (_, name: string, json?: string) => {
    if (name === '@') return scope.key;
    if (name === ',') return scope.isLast ? '' : ',';
    return textOf(lookUp(scope, name), json !== undefined);
  });
}

/** Returns the template with the fields filled in. */
export function renderTemplate(template: string, fields: Fields): string {
  return renderScope(template, { value: fields, key: '', isLast: true, outer: null });
}
