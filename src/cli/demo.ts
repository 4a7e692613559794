/**
 * The command `demo`: entry hosts of three failure domains with stand-ins for the platform in this
 * process. Jobs go in over HTTP through a flood, the loss of a host and a published change; the
 * summary shows what callers saw and checks the workers' own record for tasks that started twice.
 */
import { LoadGenerator } from '../bench/load';
import type { LoadKind, LoadReport } from '../bench/loadTypes';
import { NO_METRICS, type Log } from '../observe';
import { Deployment, type DeploymentShape } from '../standins/deployment';
import type { DemoOptions } from './context';
import { reportLines } from './loadCommand';
import { OperatorClient } from './operatorClient';
import type { Terminal } from './terminal';
import { waitInForce } from './waitInForce';

const DOMAINS = ['sofia-a', 'plovdiv-b', 'varna-c'];
const SLOTS = 8;
const MEMORY_MB = 250_000;
const LOAD_FRACTION = 0.4;
const MEAN_TASK_MS = 165;
const MEAN_TASKS = 4;
const FLOOD_FACTOR = 12;
const READY_TIMEOUT_MS = 10_000;
const OUTPUT_DIGITS = 1;
const SEED = 7;

const CONFIGURATION = `[template kiosk]
[template kiosk kind unlock]
urgency = 0
idempotent = true
deadlineMs = 3000
[template kiosk kind settle]
urgency = 3
idempotent = false
deadlineMs = 10000
[template supply]
[template supply kind restock]
urgency = 8
idempotent = true
deadlineMs = 10000
[team kiosks]
template = kiosk
share = 0.7
[team warehouse]
template = supply
share = 0.2
`;

const CHANGED_CONFIGURATION = CONFIGURATION.replace('share = 0.2', 'share = 0.1');

function kind(team: string, name: string, weight: number, deadlineMs: number): LoadKind {
  return {
    team,
    kind: name,
    weight,
    keyed: true,
    deadlineMs,
    tasks: { low: 1, high: 10 },
    runMs: { low: 50, high: 400 },
  };
}

const KINDS = [
  kind('kiosks', 'unlock', 3, 3000),
  kind('kiosks', 'settle', 2, 10_000),
  kind('warehouse', 'restock', 1, 10_000),
];

/** The demo speaks through its summary; warnings and errors of the hosts are shown. */
function quietLog(terminal: Terminal): Log {
  const show = (message: string, fields: object = {}) => {
    terminal.progress(`  ${message} ${JSON.stringify(fields)}`);
  };
  return { debug: () => {}, info: () => {}, warn: show, error: show };
}

function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** Runs the parts of the demo in turn. */
class Demo {
  readonly #options: DemoOptions;

  readonly #terminal: Terminal;

  readonly #deployment: Deployment;

  readonly #decisions = new Map<string, number>();

  constructor(options: DemoOptions, terminal: Terminal) {
    this.#options = options;
    this.#terminal = terminal;
    const shape: DeploymentShape = {
      service: 'kiosk-dispatch',
      region: 'bg-central',
      domains: DOMAINS,
      hostsPerDomain: Math.max(1, Math.round(options.hosts / DOMAINS.length)),
      workersPerDomain: Math.max(1, Math.round(options.workers / DOMAINS.length)),
      slots: SLOTS,
      memoryMb: MEMORY_MB,
    };
    const log = quietLog(terminal);
    this.#deployment = new Deployment(shape, () => ({
      log,
      decisions: {
        record: ({ decision }) => {
          this.#decisions.set(decision, (this.#decisions.get(decision) ?? 0) + 1);
        },
      },
      metrics: NO_METRICS,
      close: () => Promise.resolve(),
    }));
  }

  async run(): Promise<void> {
    try {
      await this.#start();
      const report = await this.#load();
      this.#summarize(report);
    } finally {
      await this.#deployment.close();
    }
  }

  async #start(): Promise<void> {
    await this.#deployment.open();
    const { hosts, workers } = this.#deployment;
    this.#terminal.progress(`${hosts.length} entry hosts and ${workers.length} workers started`);
    await this.#publish(CONFIGURATION, 0);
  }

  async #publish(text: string, operatorIndex: number): Promise<void> {
    const address = this.#deployment.operatorAddresses()[operatorIndex] ?? '';
    const client = new OperatorClient(address);
    try {
      const startedAtMs = performance.now();
      const request = { file: 'demo.ini', text, publishedBy: 'demo' };
      const published = (await client.publishConfiguration(request)).unwrap();
      const timer = { nowMs: () => performance.now(), sleep: pause };
      const { generation } = published;
      const waited = await waitInForce(client, generation, READY_TIMEOUT_MS, timer, this.#terminal);
      const tookMs = Math.round(performance.now() - startedAtMs);
      const missing = [...waited.behind, ...waited.unreachable].join(', ');
      this.#terminal.progress(
        `generation ${generation} in force after ${tookMs} ms${missing && `, except at ${missing}`}`,
      );
    } finally {
      await client.close();
    }
  }

  async #load(): Promise<LoadReport> {
    const slots = this.#deployment.workers.length * SLOTS;
    const tasksPerS = (slots * LOAD_FRACTION * 1000) / MEAN_TASK_MS;
    const partMs = (this.#options.seconds * 1000) / 5;
    const generator = new LoadGenerator({
      hosts: this.#deployment.callerAddresses(),
      kinds: KINDS,
      jobsPerS: tasksPerS / MEAN_TASKS,
      durationMs: partMs * 5,
      seed: SEED,
    });
    const run = generator.run();
    try {
      await this.#acts(generator, partMs);
      return await run;
    } finally {
      await generator.close();
    }
  }

  async #acts(generator: LoadGenerator, partMs: number): Promise<void> {
    this.#terminal.progress('steady load');
    await pause(partMs);
    this.#terminal.progress(`flood of restock checks: ${FLOOD_FACTOR} times their rate`);
    generator.setFactor('warehouse', 'restock', FLOOD_FACTOR);
    await pause(partMs);
    generator.setFactor('warehouse', 'restock', 1);
    this.#terminal.progress(`entry host ${this.#deployment.hosts[0]?.settings.host.id} is lost`);
    await this.#deployment.killHost(0);
    await pause(partMs);
    this.#terminal.progress('a change of the configuration is published');
    await this.#publish(CHANGED_CONFIGURATION, 1);
    await pause(partMs);
    this.#terminal.progress('the lost host is started again');
    await this.#deployment.startHost(0);
    await pause(partMs);
  }

  #summarize(report: LoadReport): void {
    const terminal = this.#terminal;
    terminal.out('');
    reportLines(report).forEach((line) => terminal.out(line));
    const starts = this.#deployment.workers.flatMap(({ model }) => model.record);
    const tasks = new Set(starts.map(({ submission, task }) => `${submission} ${task}`));
    const decided = [...this.#decisions].map(([name, count]) => `${name} ${count}`).join(', ');
    terminal.out('');
    terminal.out(`round trip to a host: ${report.roundTripMs.toFixed(OUTPUT_DIGITS)} ms`);
    terminal.out(`task starts on the workers: ${starts.length}`);
    terminal.out(`tasks that started twice: ${starts.length - tasks.size}`);
    terminal.out(`decisions: ${decided}`);
    terminal.out('"unknown" are jobs whose key the lost host had issued or was running.');
  }
}

/** Runs the demo and prints its summary. */
export function runDemo(options: DemoOptions, terminal: Terminal): Promise<void> {
  return new Demo(options, terminal).run();
}
