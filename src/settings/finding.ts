/** Validation errors with their location. All findings in a document are reported together. */

/** A validation error. `line` is 1-based; 0 means that the finding concerns the whole file. */
export interface Finding {
  readonly file: string;
  readonly line: number;
  readonly section: string;
  readonly key: string;
  readonly expected: string;
  readonly found: string;
}

/** Formats a finding as a single line of text. */
export function formatFinding(finding: Finding): string {
  const place = `${finding.file}:${finding.line}`;
  const name = finding.key === '' ? `[${finding.section}]` : `[${finding.section}] ${finding.key}`;
  return `${place}: ${name}: expected ${finding.expected}, found ${finding.found}`;
}
