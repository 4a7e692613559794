/** Commands that submit and cancel single jobs through the caller API. */
import type { Command } from 'commander';
import type { Result } from 'ts-results';
import { addressArgument, countArgument } from './arguments';
import { errorOfAnswer, parseProblem, reportError } from './callError';
import type { CallError } from './callError';
import type { ProgramContext } from './context';
import { ExitCode } from './exitCode';
import type { HttpAnswer } from './httpClient';
import { readInput } from './inputFile';
import { JobClient } from './jobClient';
import { printJson } from './terminal';

const ANSWER_TIMEOUT_MS = 120_000;
const FIRST_ERROR_STATUS = 400;
const CANCELLED = '/problems/cancelled';

interface JobOptions {
  readonly host: string;
  readonly key?: string;
  readonly timeoutMs: number;
}

async function withCaller(options: JobOptions, use: (client: JobClient) => Promise<ExitCode>) {
  const client = new JobClient(options.host, options.timeoutMs);
  try {
    return await use(client);
  } finally {
    await client.close();
  }
}

/** Answers are printed whole, whatever their status. */
function reportAnswer(
  { terminal }: ProgramContext,
  answer: Result<HttpAnswer, CallError>,
): ExitCode {
  if (answer.err) return reportError(terminal, answer.val);
  const { status, body } = answer.val;
  printJson(terminal, body);
  return status < FIRST_ERROR_STATUS
    ? ExitCode.ok
    : reportError(terminal, { ...errorOfAnswer(status, body), findings: [] });
}

/** The answer to the cancelled submission is a problem for its submitter, but what was asked for. */
function cancelled(context: ProgramContext, answer: Result<HttpAnswer, CallError>): ExitCode {
  const code = reportAnswer(context, answer);
  const problem = answer.ok ? parseProblem(answer.val.body) : null;
  return problem?.type === CANCELLED ? ExitCode.ok : code;
}

async function submit(context: ProgramContext, path: string, options: JobOptions) {
  const { terminal } = context;
  const text = await readInput(path);
  let job: unknown;
  try {
    job = JSON.parse(text);
  } catch (thrown) {
    terminal.progress(`error: ${path}: expected JSON: ${(thrown as Error).message}`);
    return ExitCode.findings;
  }
  return withCaller(options, async (client) => {
    let { key } = options;
    if (key === undefined) {
      const issued = await client.issueKey();
      if (issued.err) return reportError(terminal, issued.val);
      key = issued.val;
    }
    terminal.progress(
      `submitting under key ${key}; repeat with --key ${key} if the answer is lost`,
    );
    return reportAnswer(context, await client.submit(key, job));
  });
}

/** Adds `job submit` and `job cancel`. */
export function addJobCommands(program: Command, context: ProgramContext): void {
  const job = program.command('job').description('single jobs');
  job
    .command('submit <file>')
    .description('submit the job in a JSON file and print its answer')
    .requiredOption('--host <address>', 'caller address of an entry host', addressArgument)
    .option('--key <key>', 'submission key; one is asked for if none is given')
    .option('--timeout-ms <ms>', 'longest wait', countArgument(1), ANSWER_TIMEOUT_MS)
    .action(async (path: string, options: JobOptions) => {
      context.exit(await submit(context, path, options));
    });
  job
    .command('cancel <key>')
    .description('cancel a submission')
    .requiredOption('--host <address>', 'caller address of an entry host', addressArgument)
    .option('--timeout-ms <ms>', 'longest wait', countArgument(1), ANSWER_TIMEOUT_MS)
    .action(async (key: string, options: JobOptions) => {
      const code = await withCaller(options, async (client) =>
        cancelled(context, await client.cancel(key)),
      );
      context.exit(code);
    });
}
