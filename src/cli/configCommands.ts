/** Commands on the operators' configuration. */
import { basename } from 'node:path';
import type { Command } from 'commander';
import { countArgument, hostOption, jsonOption } from './arguments';
import { reportError } from './callError';
import type { ProgramContext } from './context';
import { ExitCode } from './exitCode';
import { readInput } from './inputFile';
import type { OperatorClient, Published } from './operatorClient';
import { printFindings, printJson } from './terminal';
import { withOperator } from './viewCommands';
import { waitInForce } from './waitInForce';

/** A little above the time within which a generation is in force everywhere. */
const WAIT_MS = 10_000;

interface CheckOptions {
  readonly host?: string;
  readonly json: boolean;
}

interface ShowOptions {
  readonly host: string;
  readonly json: boolean;
  readonly publication?: string;
}

interface PublishOptions {
  readonly host: string;
  readonly json: boolean;
  readonly wait: boolean;
  readonly waitMs: number;
  readonly expect?: number;
  readonly by: string;
}

async function check(context: ProgramContext, path: string, options: CheckOptions) {
  const { terminal } = context;
  const { host } = options;
  const text = await readInput(path);
  if (host !== undefined) {
    const result = await withOperator(host, (client) => client.checkConfiguration(path, text));
    if (options.json) printJson(terminal, { findings: result.ok ? [] : result.val.findings });
    return result.ok ? ExitCode.ok : reportError(terminal, result.val);
  }
  const findings = context.checkConfiguration(path, text);
  if (options.json) printJson(terminal, { findings });
  else printFindings((line) => terminal.progress(line), findings);
  return findings.length === 0 ? ExitCode.ok : ExitCode.findings;
}

async function show({ terminal }: ProgramContext, options: ShowOptions) {
  const result = await withOperator(options.host, (client) => client.configuration());
  if (result.err) return reportError(terminal, result.val);
  const view = result.val;
  const { publication } = options;
  if (publication !== undefined) {
    const found = view?.history.includes(publication) ?? false;
    if (options.json) printJson(terminal, { publicationId: publication, published: found });
    else terminal.out(`publication ${publication} is ${found ? '' : 'not '}in the history`);
    return found ? ExitCode.ok : ExitCode.failed;
  }
  if (options.json) printJson(terminal, view);
  else if (view === null) terminal.progress('no configuration is in force');
  else {
    const time = new Date(view.publishedAtMs).toISOString();
    const source = `published by ${view.publishedBy} at ${time}, publication ${view.publicationId}`;
    terminal.progress(`generation ${view.generation}, ${source}`);
    terminal.out(view.text.trimEnd());
  }
  return view === null ? ExitCode.failed : ExitCode.ok;
}

async function diff({ terminal }: ProgramContext, path: string, options: ShowOptions) {
  const text = await readInput(path);
  const result = await withOperator(options.host, (client) => client.diffConfiguration(text));
  if (result.err) return reportError(terminal, result.val);
  if (options.json) printJson(terminal, result.val);
  else {
    result.val.forEach(({ section, key, inForce, proposed }) => {
      terminal.out(`[${section}] ${key}: ${inForce ?? 'nothing'} -> ${proposed ?? 'nothing'}`);
    });
    if (result.val.length === 0) terminal.progress('no differences');
  }
  return ExitCode.ok;
}

async function waitFor(
  context: ProgramContext,
  client: OperatorClient,
  published: Published,
  options: PublishOptions,
) {
  const { terminal, timer } = context;
  const { generation } = published;
  const outcome = await waitInForce(client, generation, options.waitMs, timer, terminal);
  if (options.json) printJson(terminal, { ...published, wait: outcome });
  if (outcome.error !== undefined) return reportError(terminal, outcome.error);
  const { behind, unreachable } = outcome;
  if (behind.length > 0) terminal.progress(`not yet in force at: ${behind.join(', ')}`);
  if (unreachable.length > 0) terminal.progress(`unreachable: ${unreachable.join(', ')}`);
  return outcome.exitCode;
}

async function publish(context: ProgramContext, path: string, options: PublishOptions) {
  const { terminal } = context;
  const text = await readInput(path);
  return withOperator(options.host, async (client) => {
    const result = await client.publishConfiguration({
      file: basename(path),
      text,
      publishedBy: options.by,
      ...(options.expect === undefined ? {} : { expectedGeneration: options.expect }),
    });
    if (result.err) return reportError(terminal, result.val);
    const { generation, publicationId } = result.val;
    terminal.progress(`published as generation ${generation}, publication ${publicationId}`);
    if (options.wait) return waitFor(context, client, result.val, options);
    if (options.json) printJson(terminal, result.val);
    return ExitCode.ok;
  });
}

/** Adds `config check`, `config show`, `config diff` and `config publish`. */
export function addConfigCommands(program: Command, context: ProgramContext): void {
  const config = program.command('config').description("the operators' configuration");
  config
    .command('check <file>')
    .description('report all findings of a file, by a host if one is given')
    .addOption(hostOption())
    .addOption(jsonOption())
    .action(async (path: string, options: CheckOptions) => {
      context.exit(await check(context, path, options));
    });
  config
    .command('show')
    .description('print the configuration in force at a host')
    .addOption(hostOption().makeOptionMandatory())
    .addOption(jsonOption())
    .option('--publication <id>', 'tell whether a publication is in the history')
    .action(async (options: ShowOptions) => {
      context.exit(await show(context, options));
    });
  config
    .command('diff <file>')
    .description('print the differences between the configuration in force and a file')
    .addOption(hostOption().makeOptionMandatory())
    .addOption(jsonOption())
    .action(async (path: string, options: ShowOptions) => {
      context.exit(await diff(context, path, options));
    });
  config
    .command('publish <file>')
    .description('publish a configuration to all hosts')
    .addOption(hostOption().makeOptionMandatory())
    .addOption(jsonOption())
    .option('--wait', 'wait until it is in force at every host', false)
    .option('--wait-ms <ms>', 'longest wait', countArgument(1), WAIT_MS)
    .option('--expect <generation>', 'refuse unless this generation is current', countArgument(0))
    .option('--by <name>', 'name of the publisher', context.user)
    .action(async (path: string, options: PublishOptions) => {
      context.exit(await publish(context, path, options));
    });
}
