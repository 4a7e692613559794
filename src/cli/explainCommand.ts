/** `explain`: the course of one request, from the logs of several hosts. */
import { text as readStream } from 'node:stream/consumers';
import type { Command } from 'commander';
import { causeOf, courseOf, formatCourseLine } from '../observe/requestCourse';
import type { ProgramContext } from './context';
import { ExitCode } from './exitCode';
import { readInput } from './inputFile';

const STANDARD_INPUT = '-';

function readLog(path: string): Promise<string> {
  return path === STANDARD_INPUT ? readStream(process.stdin) : readInput(path);
}

async function explain(
  { terminal }: ProgramContext,
  id: string,
  paths: readonly string[],
): Promise<ExitCode> {
  const texts = await Promise.all(paths.map(readLog));
  const course = courseOf(id, texts);
  if (course.foreignLines > 0) {
    terminal.progress(`${course.foreignLines} lines are cut or no log lines`);
  }
  const [first] = course.lines;
  if (!first) {
    terminal.progress(`no line in these logs is about ${id}`);
    return ExitCode.failed;
  }
  course.lines.forEach((line) => terminal.out(formatCourseLine(line, first.timeMs)));
  terminal.out(`cause: ${causeOf(course)}`);
  return ExitCode.ok;
}

/** Adds `explain`. */
export function addExplainCommand(program: Command, context: ProgramContext): void {
  program
    .command('explain <id> <files...>')
    .description('print the course of a request from the logs of hosts; - is standard input')
    .action(async (id: string, files: readonly string[]) => {
      context.exit(await explain(context, id, files));
    });
}
