/** A deployment of three domains with callers and operators, for the system tests. */
import { expect } from 'earl';
import { SeededRandom } from '../../src/bench/random';
import { OperatorClient } from '../../src/cli/operatorClient';
import type { HostOutputs } from '../../src/host/outputs';
import { NO_METRICS } from '../../src/observe';
import { Deployment, type SettingsLines } from '../../src/standins/deployment';
import {
  DeploymentCaller,
  type CallerJob,
  type CallRecord,
} from '../../src/standins/deploymentCaller';
import { checkDeployment } from '../../src/standins/deploymentCheck';
import { DeploymentLoad, type DeploymentLoadOptions } from '../../src/standins/deploymentLoad';
import type { StartRecord } from '../../src/standins/workerTypes';

export const DOMAINS = ['sofia-a', 'plovdiv-b', 'varna-c'] as const;
/** Far above what any step takes, so that a busy machine does not fail a test. */
const LIMIT_MS = 20_000;
const POLL_MS = 20;
const TRACE_LENGTH = 200_000;
const SHOWN_TRACES = 3;
const SEED = 11;

export const CONFIGURATION = `[template kiosk]
[template kiosk kind unlock]
urgency = 0
idempotent = true
deadlineMs = 10000
[template kiosk kind settle]
urgency = 3
idempotent = false
deadlineMs = 10000
[team kiosks]
template = kiosk
share = 0.9
`;

/** The configuration with another share, so that each publication differs. */
export function configurationWithShare(share: number): string {
  return CONFIGURATION.replace('share = 0.9', `share = ${share}`);
}

export const UNLOCK = { team: 'kiosks', kind: 'unlock', deadlineMs: 10_000 };
export const SETTLE = { team: 'kiosks', kind: 'settle', deadlineMs: 10_000 };

export const LOAD: DeploymentLoadOptions = {
  callers: 12,
  kinds: [UNLOCK, SETTLE],
  tasks: { low: 1, high: 5 },
  runMs: { low: 20, high: 200 },
  forwarded: 0.4,
  doubled: 0.3,
  checkReady: false,
};

export function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** Waits for a state; fails with its name if it does not come about. */
export async function until(
  what: string,
  holds: () => boolean | Promise<boolean>,
  limitMs: number = LIMIT_MS,
): Promise<void> {
  const endMs = performance.now() + limitMs;
  async function poll(): Promise<void> {
    if (await holds()) return;
    if (performance.now() > endMs) throw new Error(`not within ${limitMs} ms: ${what}`);
    await pause(POLL_MS);
    await poll();
  }
  await poll();
}

interface TracedDecision {
  readonly atMs: number;
  readonly host: string;
  readonly decision: string;
  readonly reason: string;
  readonly fields: object;
}

/** A running deployment with what the tests ask of it. */
export class SystemUnderTest {
  readonly deployment: Deployment;

  readonly caller = new DeploymentCaller();

  /** Decisions of all hosts, oldest first. */
  readonly trace: TracedDecision[] = [];

  readonly #operators: OperatorClient[] = [];

  constructor(hostsPerDomain: number, workersPerDomain: number, slots = 8) {
    this.deployment = new Deployment(
      {
        service: 'kiosk-dispatch',
        region: 'bg-central',
        domains: DOMAINS,
        hostsPerDomain,
        workersPerDomain,
        slots,
        memoryMb: 250_000,
      },
      ({ host }) => this.#outputs(host.id),
    );
  }

  async open(extra: SettingsLines = {}): Promise<void> {
    await this.deployment.open({ caller: ['drainGraceMs = 300'], ...extra });
    this.#operators.push(
      ...this.deployment.operatorAddresses().map((address) => new OperatorClient(address)),
    );
    await this.publish(0, CONFIGURATION);
    await this.settled();
  }

  get hosts(): readonly string[] {
    return this.deployment.callerAddresses();
  }

  get starts(): readonly StartRecord[] {
    return this.deployment.workers.flatMap(({ model }) => model.record);
  }

  address(index: number): string {
    return this.hosts[index] ?? '';
  }

  operator(index: number): OperatorClient {
    const operator = this.#operators[index];
    if (!operator) throw new RangeError(`no host ${index}`);
    return operator;
  }

  /** Publishes through a host; resolves to the generation. */
  async publish(index: number, text: string): Promise<number> {
    const request = { file: 'test.ini', text, publishedBy: `operator ${index}` };
    return (await this.operator(index).publishConfiguration(request)).unwrap().generation;
  }

  /** Generation in force at a host; -1 if it does not answer. */
  async generation(index: number): Promise<number> {
    const status = await this.operator(index).status();
    return status.ok ? status.val.generation : -1;
  }

  /** Indices of the hosts that run. */
  running(): readonly number[] {
    return this.deployment.hosts.flatMap(({ host }, index) => (host === null ? [] : [index]));
  }

  /** Waits until every running host knows every other one as alive and is ready. */
  async settled(): Promise<void> {
    const indices = this.running();
    await until('all hosts know each other and are ready', async () => {
      const known = await Promise.all(indices.map((index) => this.aliveAt(index)));
      const ready = await Promise.all(
        indices.map((index) => this.caller.ready(this.address(index))),
      );
      return known.every((alive) => alive.length === indices.length) && ready.every(Boolean);
    });
  }

  /** Ids of the hosts that a host takes for alive, itself included. */
  async aliveAt(index: number): Promise<readonly string[]> {
    const members = await this.operator(index).members();
    if (members.err) return [];
    return members.val.filter(({ state }) => state === 'alive').map(({ hostId }) => hostId);
  }

  async keyOf(index: number): Promise<string> {
    const key = await this.caller.issueKey(this.address(index));
    if (key === null) throw new Error(`host ${index} issued no key`);
    return key;
  }

  load(options: Partial<DeploymentLoadOptions> = {}): DeploymentLoad {
    return new DeploymentLoad(
      this.caller,
      this.hosts,
      { ...LOAD, ...options },
      new SeededRandom(SEED, 'load'),
    );
  }

  /** Number of calls that were answered as complete. */
  completed(): number {
    return this.caller.calls.filter(
      ({ answer }) => answer !== null && answer !== 'broken' && answer.statusCode === 200,
    ).length;
  }

  /** Waits until this many more calls are complete. */
  async progress(count: number): Promise<void> {
    const target = this.completed() + count;
    await until(`${count} more complete answers`, () => this.completed() >= target);
  }

  /** Checks all calls against the workers' records. */
  check(): void {
    const violations = checkDeployment(this.caller.calls, this.starts, this.deployment.outages);
    const traces = violations.slice(0, SHOWN_TRACES).flatMap(({ key }) => this.#traceOf(key));
    expect({ violations, traces }).toEqual({ violations: [], traces: [] });
  }

  async close(): Promise<void> {
    await this.caller.close();
    await Promise.all(this.#operators.map((operator) => operator.close()));
    await this.deployment.close();
  }

  #traceOf(subject: string): readonly TracedDecision[] {
    const key = subject.split(' ')[0] ?? subject;
    return this.trace.filter(({ fields }) => JSON.stringify(fields).includes(key));
  }

  #outputs(host: string): HostOutputs {
    return {
      log: { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} },
      decisions: {
        record: ({ decision, reason, fields }) => {
          if (this.trace.length >= TRACE_LENGTH) return;
          this.trace.push({ atMs: performance.now(), host, decision, reason, fields });
        },
      },
      metrics: NO_METRICS,
      close: () => Promise.resolve(),
    };
  }
}

/** Far longer than a process needs to exit after its last test. */
const EXIT_MS = 60_000;

/** Names what keeps the process alive if it has not exited long after its last test. */
function reportIfNotExited(): void {
  setTimeout(() => {
    // eslint-disable-next-line n/no-unsupported-features/node-builtins -- experimental in Node.js 20
    const resources = process.getActiveResourcesInfo().join(' ');
    process.stderr.write(`process still running: ${resources}\n`);
  }, EXIT_MS).unref();
}

/** Runs a test on a deployment of its own. */
export async function withSystem(
  {
    hosts,
    workers,
    slots = 8,
    settings = {},
  }: {
    readonly hosts: number;
    readonly workers: number;
    readonly slots?: number;
    readonly settings?: SettingsLines;
  },
  use: (system: SystemUnderTest) => Promise<void>,
): Promise<void> {
  const system = new SystemUnderTest(hosts, workers, slots);
  try {
    await system.open(settings);
    await use(system);
  } finally {
    await system.close();
    reportIfNotExited();
  }
}

let jobs = 1_000_000;

/** A job that differs from all others. */
export function jobOf(
  kind: Pick<CallerJob, 'team' | 'kind' | 'deadlineMs'>,
  runMs: readonly number[],
): CallerJob {
  jobs += 1;
  return { number: jobs, ...kind, runMs };
}

/** Status code and reason of an answer, for instance `503 overloaded`; otherwise how the call ended. */
export function shown({ answer }: CallRecord): string {
  if (answer === null || answer === 'broken') return answer ?? 'no answer';
  const { reason, outcome } = answer.body;
  return `${answer.statusCode} ${reason ?? outcome}`;
}
