/** One process of the dispatcher, started with the command and the template of the deploy file. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { CaseRecord } from './record';
import { fillTemplate } from './settingsTemplate';

/** Where a host runs. */
export interface HostPlace {
  readonly node: string;
  readonly zone: string;
  readonly zones: readonly string[];
  readonly region: string;
  readonly storeAddress: string;
  readonly seeds: readonly string[];
  /** Ports for clients, readiness, other hosts and metrics. */
  readonly ports: readonly number[];
  /** Port under which other hosts reach it, that of a proxy; null for its own. */
  readonly announcedPort: number | null;
  readonly folder: string;
}

const IP = '127.0.0.1';
/** Port of the metrics in the template; hosts of one machine need different ones. */
const METRICS_PORT = 9464;
/** Bounds of the site files that the template uses. */
const BOUNDS = { graceS: 6, maxHoldMs: 1000, retryMs: 1300 };

async function readDeploy(name: string): Promise<string> {
  const deployFile = await readFile('deploy/system.toml', 'utf8');
  const match = new RegExp(`^${name} = "(.*)"$`, 'm').exec(deployFile);
  if (!match?.[1]) throw new Error(`deploy/system.toml has no ${name}`);
  return match[1];
}

/** A process, which can be killed, frozen and started again. */
export class HostProcess {
  readonly node: string;

  readonly frontAddress: string;

  readonly #place: HostPlace;

  readonly #record: CaseRecord;

  #child: ChildProcess | null = null;

  constructor(place: HostPlace, record: CaseRecord) {
    this.#place = place;
    this.#record = record;
    this.node = place.node;
    this.frontAddress = `${IP}:${place.ports[0]}`;
  }

  get readyAddress(): string {
    return `${IP}:${this.#place.ports[1]}`;
  }

  /** Starts the process; it may not be ready yet. */
  async start(): Promise<void> {
    const { node, zone, zones, region, storeAddress, seeds, ports, folder } = this.#place;
    const [front, ready, control, metrics] = ports.map((port) => `${IP}:${port}`);
    const fields = {
      node,
      zone,
      zones: Object.fromEntries(zones.map((name) => [name, region])),
      ip: IP,
      listenAddrs: { front, ready, control },
      seeds,
      limits: { cores: 1, cpuShare: 0.675 },
      bounds: BOUNDS,
      platform: { address: storeAddress },
    };
    const template = await readFile(await readDeploy('template'), 'utf8');
    const filled = fillTemplate(template, fields).replace(`${IP}:${METRICS_PORT}`, metrics ?? '');
    const announced = this.#announcedLine();
    const text = filled.replace(/^peers = .*$/m, (line) => `${line}${announced}`);
    const file = join(folder, `${node}.ini`);
    await writeFile(file, text);
    const [program = '', ...args] = (await readDeploy('run')).split(' ');
    const { PATH = '', HOME = '', LANG = '' } = process.env;
    const child = spawn(program, args, {
      env: { PATH, HOME, LANG, WASABIYOKE_BOOT: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const output = createWriteStream(join(folder, `${node}.log`), { flags: 'a' });
    child.stdout.pipe(output, { end: false });
    child.stderr.pipe(output, { end: false });
    child.once('exit', (code, signal) => this.#record.write('host-ends', { node, code, signal }));
    this.#child = child;
    this.#record.write('host-starts', { node });
  }

  /** Setting for a host behind a proxy. */
  #announcedLine(): string {
    const { announcedPort } = this.#place;
    return announcedPort === null ? '' : `\npeers-announced = ${IP}:${announcedPort}`;
  }

  signal(signal: NodeJS.Signals): void {
    this.#record.write('signal', { node: this.node, signal });
    this.#child?.kill(signal);
  }

  /** Process id; 0 before the first start. */
  get pid(): number {
    return this.#child?.pid ?? 0;
  }

  get isRunning(): boolean {
    return this.#child !== null && this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Kills the process and waits for its end. */
  async kill(): Promise<void> {
    const child = this.#child;
    if (!child || !this.isRunning) return;
    const ended = once(child, 'exit');
    child.kill('SIGKILL');
    await ended;
  }
}
