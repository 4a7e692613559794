/** Command line of the bench: runs scenarios side by side and writes a table, JSON and a plot. */
import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { Command, Option } from 'commander';
import type { Guards } from '../core/options';
import { ALL_GUARDS, DEFAULT_OPTIONS } from '../core/options';
import type { ScenarioFigures } from './figures';
import { figuresOf } from './figures';
import { plotOf } from './plot';
import { POLICIES, policyOf } from './policies';
import { reportOf } from './report';
import type { RunSettings, ScenarioRun } from './scenarioRun';
import { runScenario, todaysShape } from './scenarioRun';
import { SCENARIOS, scenarioOf } from './scenarios';
import { checkTargets } from './targets';
import { ADDIS, CHADAR } from './workload';

interface Options {
  readonly scenarios: readonly string[];
  readonly seeds: readonly string[];
  readonly policies: readonly string[];
  readonly user: string;
  readonly duration: string;
  readonly off: readonly string[];
  readonly trace: boolean;
  readonly out: string;
}

const DEFAULT_DURATION_S = 20;
const MODELS = [CHADAR, ADDIS];

function guardsWithout(names: readonly string[]): Guards {
  const unknown = names.filter((name) => !(name in ALL_GUARDS));
  if (unknown.length > 0) {
    throw new Error(`unknown guards ${unknown.join(', ')}`);
  }
  return { ...ALL_GUARDS, ...Object.fromEntries(names.map((name) => [name, false])) };
}

function settingsOf(options: Options): RunSettings {
  const model = MODELS.find(({ name }) => name === options.user) ?? CHADAR;
  return {
    shape: todaysShape(model),
    model,
    coreOptions: { ...DEFAULT_OPTIONS, guards: guardsWithout(options.off) },
    durationMs: Number(options.duration) * 1000,
    traceDecisions: options.trace,
  };
}

/** A file of the output folder. */
interface OutputFile {
  readonly name: string;
  readonly text: string;
}

function jsonLines(items: readonly unknown[]): string {
  return items.map((item) => `${JSON.stringify(item)}\n`).join('');
}

function traceOf(policy: string, { record, scenario, seed }: ScenarioRun): readonly OutputFile[] {
  const name = `${scenario.name}-${policy}-${seed}`;
  return [
    { name: `${name}.decisions.jsonl`, text: jsonLines(record.decisions) },
    { name: `${name}.starts.jsonl`, text: jsonLines(record.starts) },
    { name: `${name}.calls.jsonl`, text: jsonLines(record.calls) },
  ];
}

/** Figures of one scenario under one policy; hands over the traces. */
function measureOne(
  name: string,
  policy: string,
  options: Options,
  settings: RunSettings,
  onTrace: (file: OutputFile) => void,
): ScenarioFigures {
  const startedAtMs = Date.now();
  const scenario = scenarioOf(name);
  const runs = options.seeds.map((seed) =>
    runScenario(scenario, policyOf(policy), Number(seed), settings),
  );
  if (options.trace) {
    runs.flatMap((each) => traceOf(policy, each)).forEach(onTrace);
  }
  const figures = figuresOf(policy, runs);
  const missed = checkTargets(figures).filter(({ met }) => !met).length;
  const seconds = ((Date.now() - startedAtMs) / 1000).toFixed(1);
  process.stderr.write(`${name} ${policy}: ${missed} targets missed, ${seconds} s\n`);
  return figures;
}

async function write(folder: string, files: readonly OutputFile[]): Promise<void> {
  await mkdir(folder, { recursive: true });
  await Promise.all(files.map(({ name, text }) => writeFile(join(folder, name), text)));
}

function headingOf(options: Options): string {
  const off = options.off.length === 0 ? 'all guards on' : `guards off: ${options.off.join(', ')}`;
  const seeds = options.seeds.join(', ');
  const command = ['npx tsx src/bench/main.ts', ...process.argv.slice(2)].join(' ');
  return `Workload ${options.user}, ${options.duration} s, seeds ${seeds}, ${off}. Run with \`${command}\`.`;
}

async function run(options: Options): Promise<void> {
  const settings = settingsOf(options);
  const traces: OutputFile[] = [];
  const figures = options.scenarios.flatMap((name) =>
    options.policies.map((policy) =>
      measureOne(name, policy, options, settings, (file) => traces.push(file)),
    ),
  );
  const report = reportOf(headingOf(options), figures);
  await write(options.out, [
    ...traces,
    { name: 'report.md', text: report },
    { name: 'figures.json', text: `${JSON.stringify(figures, null, 2)}\n` },
    { name: 'ratios.svg', text: plotOf(figures) },
  ]);
  process.stdout.write(report);
}

new Command('bench')
  .description('Runs scenarios in virtual time and compares policies.')
  .option(
    '-s, --scenarios <names...>',
    'scenarios; a+b joins two',
    SCENARIOS.map(({ name }) => name),
  )
  .option('-n, --seeds <numbers...>', 'seeds', ['1', '2'])
  .option('-p, --policies <names...>', 'policies', [...POLICIES.keys()])
  .addOption(
    new Option('-u, --user <name>', 'whose workload')
      .choices(MODELS.map(({ name }) => name))
      .default(CHADAR.name),
  )
  .option('-d, --duration <seconds>', 'measured window', String(DEFAULT_DURATION_S))
  .option('--off <guards...>', 'guards to switch off', [])
  .option('--trace', 'write decisions, starts and calls', false)
  .option('-o, --out <folder>', 'output folder', 'bench-out')
  .action((options: Options) => run(options))
  .parseAsync()
  .catch((error: unknown) => {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    process.exitCode = 1;
  });
