/**
 * Fills in a settings template as the platform does: values, `{{#name}}` and `{{^name}}` sections,
 * `{{.}}`, `{{@}}` and `{{,}}`.
 */

type Fields = Readonly<Record<string, unknown>>;

interface Scope {
  readonly fields: readonly unknown[];
  readonly key: string;
  readonly isLast: boolean;
}

function isTable(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function lookUp(scope: Scope, path: string): unknown {
  const names = path.split('.');
  const follow = (start: unknown) =>
    names.reduce<unknown>((value, name) => (isTable(value) ? value[name] : undefined), start);
  return scope.fields.map(follow).find((value) => value !== undefined);
}

function textOf(value: unknown): string {
  if (value === undefined || value === null) return '';
  if (Array.isArray(value)) return value.join(',');
  return isTable(value) ? JSON.stringify(value) : String(value);
}

function entriesOf(value: unknown): readonly (readonly [string, unknown])[] {
  if (Array.isArray(value)) return value.map((entry, index) => [String(index), entry] as const);
  if (isTable(value)) return Object.entries(value);
  return value === undefined || value === null || value === false ? [] : [['', value]];
}

const SECTION = /\{\{([#^])([\w.]+)\}\}(.*?)\{\{\/\2\}\}/gs;
const VALUE = /\{\{([\w.@,]+)\}\}/g;

function fill(text: string, scope: Scope): string {
  const withoutSections = text.replace(
    SECTION,
    (_, kind: string, path: string, content: string) => {
      const entries = entriesOf(lookUp(scope, path));
      if (kind === '^') return entries.length === 0 ? fill(content, scope) : '';
      return entries
        .map(([key, entry], index) =>
          fill(content, {
            fields: [entry, ...scope.fields],
            key,
            isLast: index === entries.length - 1,
          }),
        )
        .join('');
    },
  );
  return withoutSections.replace(VALUE, (_, path: string) => {
    if (path === '.') return textOf(scope.fields[0]);
    if (path === '@') return scope.key;
    if (path === ',') return scope.isLast ? '' : ',';
    return textOf(lookUp(scope, path));
  });
}

/** Returns the template with the fields of one process filled in. */
export function fillTemplate(template: string, fields: Fields): string {
  return fill(template, { fields: [fields], key: '', isLast: true });
}
