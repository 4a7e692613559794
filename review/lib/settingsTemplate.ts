/** Fills in the template of the settings as DEPLOY.md ("Settings of a process") describes it. */

type Fields = Readonly<Record<string, unknown>>;

const SECTION = /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g;
const PLACEHOLDER = /\{\{([\w.]+)\}\}/g;

function lookUp(fields: Fields, path: string): unknown {
  return path
    .split('.')
    .reduce<unknown>((value, name) => (value as Fields | undefined)?.[name], fields);
}

function textOf(value: unknown): string {
  if (value === undefined || value === null) return '';
  if (Array.isArray(value)) return value.join(',');
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

function fillSection(value: unknown, body: string): string {
  if (value === undefined || value === null || value === false) return '';
  if (typeof value !== 'object') return body.replaceAll('{{.}}', textOf(value));
  const entries = Object.entries(value);
  return entries
    .map(([key, entry], index) =>
      body
        .replaceAll('{{@}}', key)
        .replaceAll('{{.}}', textOf(entry))
        .replaceAll('{{,}}', index < entries.length - 1 ? ',' : ''),
    )
    .join('');
}

/** Returns the text of the settings file for these fields. */
export function fillTemplate(template: string, fields: Fields): string {
  return template
    .replace(SECTION, (_, path: string, body: string) => fillSection(lookUp(fields, path), body))
    .replace(PLACEHOLDER, (_, path: string) => textOf(lookUp(fields, path)));
}
