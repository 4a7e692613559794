/** Commands that run something in this process: an entry host, the demo, and the load generator. */
import type { Command } from 'commander';
import { loadSettings } from '../settings/settings';
import { addressesArgument, countArgument } from './arguments';
import type { DemoOptions, LoadOptions, ProgramContext, StandinsOptions } from './context';
import { ExitCode } from './exitCode';
import { printFindings } from './terminal';

async function run(context: ProgramContext, path: string): Promise<ExitCode> {
  const settings = await loadSettings(path);
  if (settings.err) {
    printFindings((line) => context.terminal.progress(line), settings.val);
    return ExitCode.findings;
  }
  await context.run(settings.val);
  return ExitCode.ok;
}

async function checkSettingsFile({ terminal }: ProgramContext, path: string): Promise<ExitCode> {
  const settings = await loadSettings(path);
  if (settings.ok) {
    terminal.out(`${path}: no findings`);
    return ExitCode.ok;
  }
  printFindings((line) => terminal.progress(line), settings.val);
  return ExitCode.findings;
}

/** Adds `run`, `settings check`, `demo`, `standins` and `load`. */
export function addHostCommands(program: Command, context: ProgramContext): void {
  program
    .command('run')
    .description('run an entry host until it has drained')
    .requiredOption('--settings <file>', 'settings file of this host')
    .action(async ({ settings }: { settings: string }) => {
      context.exit(await run(context, settings));
    });
  program
    .command('settings')
    .description('settings of an entry host')
    .command('check <file>')
    .description('report all findings of a settings file')
    .action(async (path: string) => {
      context.exit(await checkSettingsFile(context, path));
    });
  program
    .command('demo')
    .description('run hosts against stand-ins in this process')
    .option('--hosts <count>', 'entry hosts', countArgument(3), 9)
    .option('--workers <count>', 'workers', countArgument(3), 12)
    .option('--seconds <count>', 'duration', countArgument(5), 40)
    .action(async (options: DemoOptions) => {
      await context.demo(options, context.terminal);
      context.exit(ExitCode.ok);
    });
  program
    .command('standins')
    .description('run stand-ins for the store, the host list and the workers on loopback')
    .option('--store-port <port>', 'port of the store', countArgument(0), 7090)
    .option('--host-list-port <port>', 'port of the host list', countArgument(0), 7091)
    .option('--domains <names...>', 'failure domains', ['sofia-a', 'plovdiv-b', 'varna-c'])
    .option('--workers <count>', 'workers per domain', countArgument(1), 4)
    .action(async (options: StandinsOptions) => {
      await context.standins(options, context.terminal);
      context.exit(ExitCode.ok);
    });
  program
    .command('load')
    .description('submit jobs at a steady rate and report response times')
    .requiredOption('--hosts <address>', 'caller address; may be repeated', addressesArgument)
    .requiredOption('--team <name>', 'team of the jobs')
    .requiredOption('--kind <name>', 'kind of the jobs')
    .option('--jobs-per-second <count>', 'rate of submission', countArgument(1), 10)
    .option('--tasks <count>', 'tasks per job', countArgument(1), 1)
    .option('--task-ms <ms>', 'run time of each task', countArgument(1), 100)
    .option('--deadline-ms <ms>', 'deadline of each job', countArgument(1), 5000)
    .option('--seconds <count>', 'duration', countArgument(1), 10)
    .option('--json', 'print one JSON document', false)
    .action(async (options: LoadOptions) => {
      await context.load(options, context.terminal);
      context.exit(ExitCode.ok);
    });
}
