/** Why a call to a host did not succeed, as the commands report it. */
import { z } from 'zod';
import type { Finding } from '../settings/finding';
import { ExitCode } from './exitCode';
import { printFindings } from './terminal';
import type { Terminal } from './terminal';

const finding = z.object({
  file: z.string(),
  line: z.number(),
  section: z.string(),
  key: z.string(),
  expected: z.string(),
  found: z.string(),
});

/** Members of problem details (RFC 9457) that the commands know. */
const problemSchema = z.object({
  type: z.string(),
  title: z.string().optional(),
  detail: z.string().optional(),
  findings: z.array(finding).optional(),
  winner: z
    .object({
      generation: z.number(),
      publicationId: z.string(),
      publishedBy: z.string(),
      publishedAtMs: z.number(),
    })
    .optional(),
  publicationId: z.string().optional(),
});
export type Problem = z.output<typeof problemSchema>;

/** A failed call: how the command ends, and what to tell the operator. */
export interface CallError {
  readonly exitCode: ExitCode;
  readonly message: string;
  readonly findings: readonly Finding[];
}

const EXIT_CODES: Readonly<Record<string, ExitCode>> = {
  '/problems/invalid-request': ExitCode.findings,
  '/problems/invalid-configuration': ExitCode.findings,
  '/problems/invalid-key': ExitCode.findings,
  '/problems/lost-race': ExitCode.lostRace,
  '/problems/outcome-unknown': ExitCode.unknown,
};

/** The problem in an answer; null if the body is none. */
export function parseProblem(body: unknown): Problem | null {
  const parsed = problemSchema.safeParse(body);
  return parsed.success ? parsed.data : null;
}

function messageOf(status: number, problem: Problem): string {
  const text = problem.detail ?? problem.title ?? problem.type;
  if (problem.winner !== undefined) {
    const { generation, publishedBy, publishedAtMs } = problem.winner;
    const time = new Date(publishedAtMs).toISOString();
    return `lost the race: generation ${generation} was published by ${publishedBy} at ${time}`;
  }
  if (problem.publicationId !== undefined) {
    const id = problem.publicationId;
    return `outcome unknown: ${text}; ask later with: config show --publication ${id}`;
  }
  return `${text} (status ${status}, ${problem.type})`;
}

/** The error of an answer that is not a success. */
export function errorOfAnswer(status: number, body: unknown): CallError {
  const problem = parseProblem(body);
  if (problem === null) {
    return { exitCode: ExitCode.failed, message: `status ${status} without details`, findings: [] };
  }
  return {
    exitCode: EXIT_CODES[problem.type] ?? ExitCode.failed,
    message: messageOf(status, problem),
    findings: problem.findings ?? [],
  };
}

/** Prints an error and gives the exit code. */
export function reportError(terminal: Terminal, error: CallError): ExitCode {
  printFindings((text) => terminal.progress(text), error.findings);
  terminal.progress(`error: ${error.message}`);
  return error.exitCode;
}
