/** `dry-run`: where a host of the cells would send a job now, and why, without sending it. */
import type { Command } from 'commander';
import type { PlacementPreview, PreviewRequest } from '../dispatcher/jobs/placementPreview';
import { PeerPath } from '../dispatcher/peers/peerMessages';
import { addressArgument, countArgument, jsonOption } from './arguments';
import type { ProgramContext } from './context';
import { ExitCode } from './exitCode';
import { HttpClient } from './httpClient';
import { formatTable, printJson, type Terminal } from './terminal';

/** Above the time in which the owners of cells answer. */
const ANSWER_TIMEOUT_MS = 3000;
const HTTP_OK = 200;

interface DryRunOptions {
  readonly host: string;
  readonly tasks: number;
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly estimateMs: number;
  readonly deadlineMs: number;
  readonly label?: string;
  readonly rack?: string;
  readonly json: boolean;
}

function requestOf(queue: string, options: DryRunOptions): PreviewRequest {
  const { tasks, cpuMillis, memoryMb, accelerators, estimateMs, deadlineMs } = options;
  return {
    queue,
    taskCount: tasks,
    cpuMillis,
    memoryMb,
    accelerators,
    estimateMs,
    deadlineInMs: deadlineMs,
    requiredLabel: options.label ?? null,
    preferredRack: options.rack ?? null,
  };
}

function decisionLine({ decision, cells }: PlacementPreview): string {
  if (decision.type === 'refused') {
    const { reason, retryAfterMs } = decision;
    return `refused: ${reason}; nothing would be sent; retry after ${Math.round(retryAfterMs)} ms`;
  }
  const parts = decision.assignments.map(({ cell, taskIndexes }) => {
    const worker = cells.find((other) => other.cell === cell)?.answer?.workerId;
    return `${taskIndexes.length} to ${cell}${worker ? ` (first on ${worker})` : ' (queued there)'}`;
  });
  const note = decision.type === 'unknown' ? ' by load alone, as no cell has answered' : '';
  return `sent: ${parts.join(', ')}${note}`;
}

function printPreview(terminal: Terminal, preview: PlacementPreview): void {
  const { policy, configurationVersion, cells } = preview;
  const { name, service, priority, slackFactor, goalMs } = policy;
  terminal.out(
    `queue ${name}: service ${service}, priority ${priority}, objective ${slackFactor} times the work plus ${goalMs} ms, configuration ${configurationVersion}`,
  );
  const rows = cells.map(({ answer, ...load }) => ({
    cell: load.cell,
    ownDomain: load.isOwnDomain,
    freeCpuMillis: load.freeCpuMillis,
    capacityCpuMillis: load.capacityCpuMillis,
    queuedCpuMillisMs: load.queuedCpuMillisMs,
    startable: answer?.startable,
    inTime: answer?.tasks,
    worker: answer?.workerId,
  }));
  formatTable(rows).forEach((line) => terminal.out(line));
  terminal.out(decisionLine(preview));
}

async function dryRun(
  { terminal }: ProgramContext,
  queue: string,
  options: DryRunOptions,
): Promise<ExitCode> {
  const client = new HttpClient(options.host, ANSWER_TIMEOUT_MS);
  const body = requestOf(queue, options);
  const answer = await client.call({ method: 'POST', path: PeerPath.placement, body });
  await client.close();
  if (answer.err) {
    terminal.progress(`error: ${answer.val.message}`);
    return ExitCode.unreachable;
  }
  if (answer.val.status !== HTTP_OK) {
    const { detail } = answer.val.body as { readonly detail?: string };
    terminal.progress(`error: ${detail ?? `status ${answer.val.status}`}`);
    return ExitCode.findings;
  }
  const preview = answer.val.body as PlacementPreview;
  if (options.json) printJson(terminal, preview);
  else printPreview(terminal, preview);
  return ExitCode.ok;
}

/** Adds `dry-run`. */
export function addDryRunCommand(program: Command, context: ProgramContext): void {
  program
    .command('dry-run <queue>')
    .description('tell where a job of one step would go now, and why, without sending it')
    .requiredOption('--host <address>', 'address of a host for other hosts', addressArgument)
    .option('--tasks <count>', 'tasks of the job', countArgument(1), 1)
    .option('--cpu-millis <amount>', 'CPU of a task, 1000 a core', countArgument(0), 1000)
    .option('--memory-mb <amount>', 'memory of a task', countArgument(0), 0)
    .option('--accelerators <count>', 'accelerators of a task', countArgument(0), 0)
    .option('--estimate-ms <time>', 'declared run time of a task', countArgument(0), 100)
    .option('--deadline-ms <time>', 'time until the answer is due', countArgument(1), 1500)
    .option('--label <label>', 'label that the worker must have')
    .option('--rack <rack>', 'rack that holds the data')
    .addOption(jsonOption())
    .action(async (queue: string, options: DryRunOptions) => {
      context.exit(await dryRun(context, queue, options));
    });
}
