/** A fault found in a document, with its place. Findings are collected and reported together. */

/** One finding; `line` counts from 1 and is 0 when the place is the whole file. */
export interface Finding {
  readonly file: string;
  readonly line: number;
  readonly section: string;
  readonly key: string;
  readonly expected: string;
  readonly found: string;
}

/** One line of text for one finding. */
export function formatFinding(finding: Finding): string {
  const place = `${finding.file}:${finding.line}`;
  const name = finding.key === '' ? `[${finding.section}]` : `[${finding.section}] ${finding.key}`;
  return `${place}: ${name}: expected ${finding.expected}, found ${finding.found}`;
}
