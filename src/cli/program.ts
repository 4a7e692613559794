/** The command line of the program. */
import { Command, CommanderError } from 'commander';
import { addConfigCommands } from './configCommands';
import type { ProgramContext } from './context';
import { ExitCode } from './exitCode';
import { addDryRunCommand } from './dryRunCommand';
import { addDrainsCommand } from './drainsCommand';
import { addExplainCommand } from './explainCommand';
import { addHostCommands } from './hostCommands';
import { UNREADABLE_FILE } from './inputFile';
import { addJobCommands } from './jobCommands';
import { addViewCommands } from './viewCommands';

function withoutLineEnd(text: string): string {
  return text.replace(/\n$/, '');
}

/** All commands; each reports its exit code to `context.exit`. */
export function buildProgram(context: ProgramContext): Command {
  const { terminal } = context;
  const program = new Command('wasabiyoke')
    .description('Dispatcher for sub-second tasks')
    .exitOverride()
    .configureOutput({
      writeOut: (text) => terminal.out(withoutLineEnd(text)),
      writeErr: (text) => terminal.progress(withoutLineEnd(text)),
    });
  addHostCommands(program, context);
  addConfigCommands(program, context);
  addViewCommands(program, context);
  addJobCommands(program, context);
  addExplainCommand(program, context);
  addDryRunCommand(program, context);
  addDrainsCommand(program, context);
  return program;
}

/** Runs one command line, without the names of the runtime and the script. It never rejects. */
export async function runProgram(context: ProgramContext, args: readonly string[]): Promise<void> {
  try {
    await buildProgram(context).parseAsync([...args], { from: 'user' });
  } catch (thrown) {
    if (thrown instanceof CommanderError) {
      // Commander has printed its own messages; help that was asked for has the exit code 0.
      if (thrown.code === UNREADABLE_FILE) context.terminal.progress(`error: ${thrown.message}`);
      context.exit(thrown.exitCode === 0 ? ExitCode.ok : ExitCode.findings);
      return;
    }
    context.terminal.progress(`error: ${(thrown as Error).message}`);
    context.exit(ExitCode.failed);
  }
}
