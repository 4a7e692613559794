/** Commands that ask one host for its state, and `drain`. */
import type { Command } from 'commander';
import { hostOption, jsonOption } from './arguments';
import { reportError } from './callError';
import type { ProgramContext } from './context';
import { ExitCode } from './exitCode';
import { OperatorClient } from './operatorClient';
import type { Called } from './operatorClient';
import { formatTable, printJson } from './terminal';

interface ViewOptions {
  readonly host: string;
  readonly json: boolean;
}

/** Runs `use` with a client that is closed afterwards. */
export async function withOperator<T>(
  address: string,
  use: (client: OperatorClient) => Promise<T>,
): Promise<T> {
  const client = new OperatorClient(address);
  try {
    return await use(client);
  } finally {
    await client.close();
  }
}

function addView(
  program: Command,
  context: ProgramContext,
  name: string,
  summary: string,
  read: (client: OperatorClient) => Called<object>,
): void {
  program
    .command(name)
    .description(summary)
    .addOption(hostOption().makeOptionMandatory())
    .addOption(jsonOption())
    .action(async ({ host, json }: ViewOptions) => {
      const result = await withOperator(host, read);
      if (result.err) {
        context.exit(reportError(context.terminal, result.val));
        return;
      }
      if (json) printJson(context.terminal, result.val);
      else {
        const rows: readonly object[] = Array.isArray(result.val)
          ? result.val
          : Object.entries(result.val).map(([field, value]) => ({
              field,
              value: value as unknown,
            }));
        formatTable(rows).forEach((line) => context.terminal.out(line));
      }
      context.exit(ExitCode.ok);
    });
}

/** Adds `status`, `members`, `workers`, `queues` and `drain`. */
export function addViewCommands(program: Command, context: ProgramContext): void {
  addView(program, context, 'status', 'state of one entry host', (client) => client.status());
  addView(program, context, 'members', 'entry hosts that the host knows', (client) =>
    client.members(),
  );
  addView(program, context, 'workers', 'workers and their health', (client) => client.workers());
  addView(program, context, 'queues', 'waiting and running work by team and kind', (client) =>
    client.queues(),
  );
  program
    .command('drain')
    .description('stop taking new work; the host exits when all jobs are answered')
    .addOption(hostOption().makeOptionMandatory())
    .action(async ({ host }: ViewOptions) => {
      const result = await withOperator(host, (client) => client.drain());
      if (result.ok) context.terminal.out(`${host} is draining`);
      context.exit(result.ok ? ExitCode.ok : reportError(context.terminal, result.val));
    });
}
