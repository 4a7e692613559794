/**
 * Runs a deployment of stand-ins under load and random faults, then checks the callers' answers
 * against the workers' records and that the fleet recovers. For use outside CI:
 * `npx tsx scripts/soak.ts --minutes 2 --seed 1`. Exit code 1 means that a rule was broken.
 */
import { writeFile } from 'node:fs/promises';
import { Command } from 'commander';
import { SeededRandom } from '../src/bench/random';
import { OperatorClient } from '../src/cli/operatorClient';
import { NO_METRICS } from '../src/observe';
import { Deployment } from '../src/standins/deployment';
import { DeploymentCaller } from '../src/standins/deploymentCaller';
import { checkDeployment, countAnswers } from '../src/standins/deploymentCheck';
import { DeploymentFaults } from '../src/standins/deploymentFaults';
import { DeploymentLoad } from '../src/standins/deploymentLoad';

const DOMAINS = ['sofia-a', 'plovdiv-b', 'varna-c'];
const CALLERS = 24;
const POLL_MS = 100;
/** Above the longest deadline and all time-outs after it. */
const ANSWERS_LIMIT_MS = 60_000;
const RECOVERY_LIMIT_MS = 60_000;
const PUBLISH_GAP_MS = { low: 500, high: 3000 };
const SHOWN_VIOLATIONS = 20;
const TRACE_LENGTH = 2_000_000;

const CONFIGURATION = `[template kiosk]
[template kiosk kind unlock]
urgency = 0
idempotent = true
deadlineMs = 3000
[template kiosk kind settle]
urgency = 3
idempotent = false
deadlineMs = 6000
[team kiosks]
template = kiosk
share = 0.9
`;

interface SoakOptions {
  readonly minutes: number;
  readonly seed: number;
  readonly trace?: string;
}

function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** Waits for the work, but no longer than the limit, and does not keep the process alive for it. */
async function atMost(limitMs: number, work: Promise<unknown>): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise((resolve) => {
    timer = setTimeout(resolve, limitMs);
  });
  await Promise.race([work, limit]);
  clearTimeout(timer);
}

function report(name: string, value: unknown): void {
  process.stdout.write(`${name}: ${JSON.stringify(value)}\n`);
}

/** True if the condition holds before the limit. */
async function holdsWithin(limitMs: number, holds: () => Promise<boolean>): Promise<boolean> {
  const endMs = performance.now() + limitMs;
  async function poll(): Promise<boolean> {
    if (await holds()) return true;
    if (performance.now() > endMs) return false;
    await pause(POLL_MS);
    return poll();
  }
  return poll();
}

/** One run. */
class Soak {
  readonly #options: SoakOptions;

  readonly #random: SeededRandom;

  readonly #caller = new DeploymentCaller();

  readonly #deployment: Deployment;

  readonly #publications: Record<string, number> = {};

  /** Highest generation seen by incarnation of a host. */
  readonly #generations = new Map<string, number>();

  readonly #faults: string[] = [];

  readonly #trace: string[] = [];

  #operators: readonly OperatorClient[] = [];

  #published = 0;

  #running = true;

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    const shape = {
      service: 'kiosk-dispatch',
      region: 'bg-central',
      domains: DOMAINS,
      hostsPerDomain: 3,
      workersPerDomain: 10,
      slots: 8,
      memoryMb: 250_000,
    };
    this.#deployment = new Deployment(shape, ({ host }) => ({
      log: { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} },
      decisions: {
        record: ({ decision, reason, fields }) => {
          if (options.trace === undefined || this.#trace.length >= TRACE_LENGTH) return;
          const atMs = Math.round(performance.now());
          this.#trace.push(JSON.stringify({ atMs, host: host.id, decision, reason, ...fields }));
        },
      },
      metrics: NO_METRICS,
      close: () => Promise.resolve(),
    }));
  }

  /** Resolves to the broken rules. */
  async run(): Promise<readonly string[]> {
    await this.#deployment.open({ caller: ['drainGraceMs = 300'] });
    this.#operators = this.#deployment
      .operatorAddresses()
      .map((address) => new OperatorClient(address));
    await this.#publish(0);
    await this.#recovered();
    await this.#load();
    const { calls } = this.#caller;
    const records = this.#deployment.workers.flatMap(({ model }) => model.record);
    const violations = checkDeployment(calls, records, this.#deployment.outages);
    report('calls', { total: calls.length, ...countAnswers(calls) });
    report('publications', this.#publications);
    report('task starts', records.length);
    await this.#close();
    return [
      ...this.#faults,
      ...violations.map(({ rule, key, detail }) => `${rule}: ${key} ${detail}`),
    ];
  }

  async #load(): Promise<void> {
    const hosts = this.#deployment.callerAddresses();
    const options = {
      callers: CALLERS,
      kinds: [
        { team: 'kiosks', kind: 'unlock', deadlineMs: 3000 },
        { team: 'kiosks', kind: 'settle', deadlineMs: 6000 },
      ],
      tasks: { low: 1, high: 8 },
      runMs: { low: 20, high: 900 },
      forwarded: 0.4,
      doubled: 0.3,
      checkReady: false,
    };
    const load = new DeploymentLoad(this.#caller, hosts, options, this.#random.stream('load'));
    const faults = new DeploymentFaults(this.#deployment, this.#random.stream('faults'));
    load.start();
    faults.start();
    const side = Promise.all([
      this.#publishOn(this.#random.stream('publications')),
      this.#watchGenerations(),
    ]);
    await pause(this.#options.minutes * 60_000);
    await faults.stop();
    report('faults', faults.counts);
    await this.#checkRecovery();
    this.#running = false;
    await side;
    await atMost(ANSWERS_LIMIT_MS, load.stop());
    await atMost(ANSWERS_LIMIT_MS, load.resubmitAll());
  }

  async #checkRecovery(): Promise<void> {
    const startMs = performance.now();
    if (await this.#recovered()) {
      report('recovery ms', Math.round(performance.now() - startMs));
    } else {
      this.#faults.push(`notRecovered: ${await this.#shownState()}`);
    }
  }

  async #publishOn(random: SeededRandom): Promise<void> {
    if (!this.#running) return;
    await pause(random.integer(PUBLISH_GAP_MS.low, PUBLISH_GAP_MS.high));
    await this.#publish(random.integer(0, this.#operators.length - 1));
    await this.#publishOn(random);
  }

  async #publish(index: number): Promise<void> {
    this.#published += 1;
    const share = (0.5 + (this.#published % 400) / 1000).toFixed(3);
    const text = CONFIGURATION.replace('share = 0.9', `share = ${share}`);
    const request = { file: 'soak.ini', text, publishedBy: `operator ${index}` };
    const outcome = await this.#operators[index]?.publishConfiguration(request);
    const name = outcome?.ok ? 'published' : `exit code ${outcome?.val.exitCode}`;
    this.#publications[name] = (this.#publications[name] ?? 0) + 1;
  }

  async #watchGenerations(): Promise<void> {
    if (!this.#running) return;
    await Promise.all(this.#operators.map((operator) => this.#noteGeneration(operator)));
    await pause(POLL_MS);
    await this.#watchGenerations();
  }

  async #noteGeneration(operator: OperatorClient): Promise<void> {
    const status = await operator.status();
    if (status.err) return;
    const { hostId, incarnation, generation } = status.val;
    const host = `${hostId} ${incarnation}`;
    const highest = this.#generations.get(host) ?? 0;
    if (generation < highest) {
      this.#faults.push(`reverted: ${host} from generation ${highest} to ${generation}`);
    }
    this.#generations.set(host, Math.max(highest, generation));
  }

  /** All hosts know each other, are ready and have one generation in force. */
  #recovered(): Promise<boolean> {
    return holdsWithin(RECOVERY_LIMIT_MS, async () => {
      const hosts = this.#deployment.callerAddresses();
      const ready = await Promise.all(hosts.map((host) => this.#caller.ready(host)));
      const states = await Promise.all(this.#operators.map((operator) => operator.members()));
      const generations = await Promise.all(this.#operators.map((operator) => operator.status()));
      const known = states.every(
        (state) =>
          state.ok &&
          state.val.filter((member) => member.state === 'alive').length === hosts.length,
      );
      const inForce = new Set(
        generations.map((status) => (status.ok ? status.val.generation : -1)),
      );
      return known && ready.every(Boolean) && inForce.size === 1;
    });
  }

  async #shownState(): Promise<string> {
    const states = await Promise.all(
      this.#operators.map(async (operator) => {
        const [status, members] = await Promise.all([operator.status(), operator.members()]);
        const list = members.ok ? members.val : [];
        return {
          hostId: status.ok ? status.val.hostId : 'unreachable',
          generation: status.ok ? status.val.generation : null,
          members: list.map(({ hostId, state }) => `${hostId} ${state}`),
        };
      }),
    );
    return JSON.stringify(states);
  }

  async #close(): Promise<void> {
    if (this.#options.trace !== undefined) {
      await writeFile(this.#options.trace, this.#trace.join('\n'));
    }
    await this.#caller.close();
    await Promise.all(this.#operators.map((operator) => operator.close()));
    await this.#deployment.close();
  }
}

async function main(options: SoakOptions): Promise<void> {
  const violations = await new Soak(options).run();
  violations
    .slice(0, SHOWN_VIOLATIONS)
    .forEach((violation) => process.stdout.write(`broken rule ${violation}\n`));
  process.stdout.write(`broken rules: ${violations.length}\n`);
  if (violations.length > 0) process.exitCode = 1;
}

new Command('soak')
  .requiredOption('--minutes <number>', 'length of the run under faults', Number)
  .requiredOption('--seed <number>', 'seed of the load and the faults', Number)
  .option('--trace <file>', 'file for all decisions of the hosts, as JSON lines')
  .action(main)
  .parseAsync()
  .catch((error: unknown) => {
    process.stderr.write(`${String(error)}\n`);
    process.exitCode = 1;
  });
