/**
 * Reconstructs the course of one request from the logs of several hosts: its log lines in order of
 * time, and the cause of its outcome, taken from the last decision that ended it. Lines that are
 * truncated or cannot be parsed are counted and skipped.
 */

/** A log line about the request. */
export interface CourseLine {
  readonly timeMs: number;
  readonly host: string;
  readonly decision: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** The log lines of one request. */
export interface RequestCourse {
  readonly lines: readonly CourseLine[];
  /** Number of input lines that could not be parsed as log lines. */
  readonly foreignLines: number;
}

const COMMON_FIELDS: ReadonlySet<string> = new Set(['level', 'timeMs', 'host', 'decision']);

/** Explanation of each reason, for operators. */
const CAUSES: Readonly<Record<string, string>> = {
  overloaded: 'the cells could not end it in time; it was refused without a start',
  'no-workers': 'no worker took tasks; it was refused without a start',
  'no-cell': 'no cell had an owner that this host could reach',
  impossible: 'no worker is large enough, or a worker refused the task as invalid',
  deadline: 'too little time was left to end it before its deadline',
  'handed-over': 'the owner of the cell gave it to another host',
  unreachable: 'the owner of the cell could not be reached any more',
  expired: 'it reached the owners of the cells too late; it was refused without a start',
  'owner-lost': 'the owner of the cell was lost, and no other found its runs in time',
  superseded: 'the same job was submitted again and took its runs over',
  withdrawn: 'its caller did not wait any more',
  'not-awaited': 'the host that took it did not wait for it any more',
  abandoned: 'its caller did not wait any more',
  draining: 'the host was shutting down; it was refused without a start',
};

function parseLine(text: string): CourseLine | null {
  const start = text.indexOf('{');
  if (start < 0) return null;
  try {
    const value: unknown = JSON.parse(text.slice(start));
    if (typeof value !== 'object' || value === null) return null;
    const { timeMs, host, decision } = value as Record<string, unknown>;
    if (typeof timeMs !== 'number' || typeof decision !== 'string') return null;
    const entries = Object.entries(value).filter(([name]) => !COMMON_FIELDS.has(name));
    return { timeMs, host: String(host), decision, fields: Object.fromEntries(entries) };
  } catch {
    return null;
  }
}

function isAbout(id: string, { fields }: CourseLine): boolean {
  const { jobId, task } = fields;
  return jobId === id || (typeof task === 'string' && task.startsWith(`${id}.`));
}

/** Extracts the lines about one request from the text of several logs. */
export function courseOf(id: string, texts: readonly string[]): RequestCourse {
  const lines = texts.flatMap((text) => text.split('\n')).filter((line) => line.trim() !== '');
  const parsed = lines.map(parseLine);
  const logLines = parsed.filter((line): line is CourseLine => line !== null);
  const requestLines = logLines.filter((line) => isAbout(id, line));
  return {
    lines: requestLines.sort((left, right) => left.timeMs - right.timeMs),
    foreignLines: parsed.length - logLines.length,
  };
}

/** Describes in one sentence how the request ended, and why. */
export function causeOf({ lines }: RequestCourse): string {
  const final = lines.filter(({ decision }) =>
    ['job-answered', 'request-refused'].includes(decision),
  );
  const last = final.at(-1);
  if (!last)
    return 'no answer is in these logs: the host that took it ended, or its log is missing';
  const { outcome, reason, elapsedMs } = last.fields;
  if (outcome === 'completed') return `completed after ${String(elapsedMs)} ms`;
  if (outcome === 'failed') return 'a task failed as often as its queue allows';
  const cause = CAUSES[String(reason)] ?? String(reason);
  return `${String(outcome ?? 'refused')}: ${cause}`;
}

/** Formats a line as text, with the time since the first line. */
export function formatCourseLine(line: CourseLine, firstMs: number): string {
  const fields = Object.entries(line.fields).map(([name, value]) => {
    const text = typeof value === 'object' ? JSON.stringify(value) : String(value);
    return `${name}=${text}`;
  });
  const sinceMs = `+${line.timeMs - firstMs} ms`;
  return [sinceMs, line.host, line.decision, ...fields].join(' ');
}
