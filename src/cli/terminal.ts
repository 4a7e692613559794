/** Output of commands: results go to standard output, progress and errors to standard error. */
import type { Finding } from '../settings/finding';
import { formatFinding } from '../settings/finding';

/** Where lines go; each text is written with a line end. */
export interface Terminal {
  out(text: string): void;
  progress(text: string): void;
}

/** Writes to the standard streams of the process. */
export const STANDARD_TERMINAL: Terminal = {
  out: (text) => {
    process.stdout.write(`${text}\n`);
  },
  progress: (text) => {
    process.stderr.write(`${text}\n`);
  },
};

/** One line of text per finding. */
export function printFindings(print: (text: string) => void, findings: readonly Finding[]): void {
  findings.forEach((finding) => print(formatFinding(finding)));
}

/** Writes one JSON document. */
export function printJson(terminal: Terminal, value: unknown): void {
  terminal.out(JSON.stringify(value, null, 2));
}

function cell(value: unknown): string {
  if (value === null || value === undefined) return '-';
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

/** Rows as lines of aligned columns under the names of their fields. */
export function formatTable(rows: readonly object[]): readonly string[] {
  const names = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const cells = rows.map((row) =>
    names.map((name) => cell((row as Record<string, unknown>)[name])),
  );
  const lines = [names, ...cells];
  const widths = names.map((_, index) =>
    Math.max(...lines.map((line) => line[index]?.length ?? 0)),
  );
  return lines.map((line) =>
    line
      .map((text, index) => text.padEnd(widths[index] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}
