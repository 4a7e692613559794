/** `drains`: how far the drains of failure domains are, from the metrics of several hosts. */
import type { Command } from 'commander';
import { DrainMetric } from '../dispatcher/metrics';
import { addressArgument, jsonOption } from './arguments';
import type { ProgramContext } from './context';
import { ExitCode } from './exitCode';
import { HttpClient } from './httpClient';
import { formatTable, printJson } from './terminal';

const TIMEOUT_MS = 3000;
const METRICS_PATH = '/metrics';
const MS_PER_S = 1000;
/** A sample of a metric whose only label is the domain. */
const SAMPLE = /^(\w+)\{domain="([^"]*)"\} (\S+)$/;

/** The drain of one domain, over the hosts that have answered. */
export interface DrainView {
  readonly domain: string;
  /** When the first host learned of it; null if no host knows of a drain. */
  readonly drainedSince: string | null;
  /** Hosts that know of the drain. */
  readonly hosts: number;
  /** Runs in progress in the domain. */
  readonly runsLeft: number;
}

/** Values of one metric by domain. */
function samplesOf(metric: string, text: string): ReadonlyMap<string, number> {
  const samples = text.split('\n').flatMap((line): [string, number][] => {
    const [, name, domain = '', value] = SAMPLE.exec(line) ?? [];
    return name === metric ? [[domain, Number(value)]] : [];
  });
  return new Map(samples);
}

/** Combines the metrics of several hosts. */
export function drainsIn(texts: readonly string[]): readonly DrainView[] {
  const since = texts.map((text) => samplesOf(DrainMetric.sinceSeconds, text));
  const runs = texts.map((text) => samplesOf(DrainMetric.runs, text));
  const domains = [...new Set(since.flatMap((samples) => [...samples.keys()]))];
  return domains.sort().map((domain) => {
    const times = since.flatMap((samples) => samples.get(domain) || []);
    const first = times.length === 0 ? null : new Date(Math.min(...times) * MS_PER_S);
    return {
      domain,
      drainedSince: first?.toISOString() ?? null,
      hosts: times.length,
      runsLeft: runs.reduce((sum, samples) => sum + (samples.get(domain) ?? 0), 0),
    };
  });
}

async function showDrains(
  { terminal }: ProgramContext,
  addresses: readonly string[],
  asJson: boolean,
): Promise<ExitCode> {
  const answers = await Promise.all(
    addresses.map(async (address) => {
      const client = new HttpClient(address, TIMEOUT_MS);
      const text = await client.readText(METRICS_PATH);
      await client.close();
      return text;
    }),
  );
  const texts = answers.flatMap((answer) => (answer.ok ? [answer.val] : []));
  const failures = answers.flatMap((answer) => (answer.err ? [answer.val.message] : []));
  failures.forEach((message) => terminal.progress(`error: ${message}`));
  const drains = drainsIn(texts);
  if (asJson) printJson(terminal, { hosts: addresses.length, answered: texts.length, drains });
  else formatTable(drains).forEach((line) => terminal.out(line));
  return failures.length === 0 ? ExitCode.ok : ExitCode.unreachable;
}

/** Adds `drains`. */
export function addDrainsCommand(program: Command, context: ProgramContext): void {
  program
    .command('drains')
    .description('how far the drains of failure domains are, from the metrics of hosts')
    .argument('<addresses...>', 'metrics addresses of hosts', (text, previous: string[] = []) => [
      ...previous,
      addressArgument(text),
    ])
    .addOption(jsonOption())
    .action(async (addresses: readonly string[], { json }: { readonly json: boolean }) => {
      context.exit(await showDrains(context, addresses, json));
    });
}
