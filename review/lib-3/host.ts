/** One process of the dispatcher, started as `deploy/system.toml` says. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, type WriteStream } from 'node:fs';
import { readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { CaseRecord } from './record';
import { renderTemplate } from './template';

/** Where a host runs and what it connects to. */
export interface HostPlace {
  readonly id: string;
  readonly zone: string;
  readonly zones: readonly string[];
  /** Ports for clients, readiness, other hosts and metrics. */
  readonly ports: readonly number[];
  /** Port under which other hosts reach it: that of a proxy, if it has one. */
  readonly announcedPort: number | null;
  readonly storeAddress: string;
  readonly seeds: readonly string[];
  readonly folder: string;
}

const ROOT = process.cwd();
const DEPLOY_FILE = join(ROOT, 'deploy/system.toml');
const TEMPLATE_FILE = join(ROOT, 'deploy/settings.ini');
const METRICS_LINE = /^metrics = .*$/m;
const RUN_LINE = /^run = "(.*)"$/m;
const LOOPBACK = '127.0.0.1';

/** Bounds of the small sites, as far as the template uses them. */
const BOUNDS = { graceS: 6, maxHoldMs: 1000, contactMs: 3000, retryMs: 1300, status_s: 120 };
const LIMITS = { cpuShare: 0.675, cores: 1 };

/** Reads program and arguments from the deploy file. */
async function readRunCommand(): Promise<readonly string[]> {
  const line = RUN_LINE.exec(await readFile(DEPLOY_FILE, 'utf8'))?.[1];
  if (line === undefined) throw new Error(`no line "run" in ${DEPLOY_FILE}`);
  return line.split(' ').filter((word) => word !== '');
}

async function settingsText(place: HostPlace): Promise<string> {
  const [front, ready, control, metrics] = place.ports.map((port) => `${LOOPBACK}:${port}`);
  const text = renderTemplate(await readFile(TEMPLATE_FILE, 'utf8'), {
    node: place.id,
    zone: place.zone,
    zones: Object.fromEntries(place.zones.map((zone) => [zone, 'region-1'])),
    ip: LOOPBACK,
    limits: LIMITS,
    bounds: BOUNDS,
    listenAddrs: { front, ready, control },
    seeds: place.seeds,
    platform: { address: place.storeAddress },
  });
  // All hosts share one address here, so each has a metrics port of its own.
  const announced =
    place.announcedPort === null ? '' : `\npeers-announced = ${LOOPBACK}:${place.announcedPort}`;
  return text.replace(METRICS_LINE, `metrics = ${metrics}${announced}`);
}

/** A dispatcher process with its signals. */
export class Host {
  readonly place: HostPlace;

  readonly #record: CaseRecord;

  readonly #log: WriteStream;

  readonly #settingsFile: string;

  #runCommand: readonly string[] = [];

  #process: ChildProcess | null = null;

  /** Its own log since the last start. */
  output = '';

  constructor(place: HostPlace, record: CaseRecord) {
    this.place = place;
    this.#record = record;
    this.#log = createWriteStream(join(place.folder, `${place.id}.log`));
    this.#settingsFile = join(place.folder, `${place.id}.ini`);
  }

  /** Writes its settings file, which must be there before the first start. */
  async writeSettings(): Promise<void> {
    this.#runCommand = await readRunCommand();
    await writeFile(this.#settingsFile, await settingsText(this.place));
  }

  get id(): string {
    return this.place.id;
  }

  /** Address for clients. */
  get callersAddress(): string {
    return `${LOOPBACK}:${this.place.ports[0]}`;
  }

  /** Address of the readiness check. */
  get readinessAddress(): string {
    return `${LOOPBACK}:${this.place.ports[1]}`;
  }

  get isRunning(): boolean {
    return this.#process !== null;
  }

  start(): void {
    const [program = '', ...args] = this.#runCommand;
    this.output = '';
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, WASABIYOKE_BOOT: this.#settingsFile },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const collect = (chunk: Buffer) => {
      this.output += chunk.toString('utf8');
      this.#log.write(chunk);
    };
    child.stdout.on('data', collect);
    child.stderr.on('data', collect);
    child.once('exit', (code, signal) => {
      this.#record.add(this.id, 'process ended', { code, signal });
      if (this.#process === child) this.#process = null;
    });
    this.#process = child;
    this.#record.add(this.id, 'process started', { pid: child.pid });
  }

  /** Sends a signal to the process, if there is one. */
  signal(name: NodeJS.Signals): void {
    this.#record.add(this.id, 'signal sent', { name });
    this.#process?.kill(name);
  }

  /** Sends a signal and waits until the process has ended. */
  async end(name: NodeJS.Signals): Promise<void> {
    const child = this.#process;
    if (!child) return;
    const ended = once(child, 'exit');
    this.signal(name);
    await ended;
  }

  /** Kills the process and closes its log. */
  async close(): Promise<void> {
    await this.end('SIGKILL');
    this.#log.end();
  }
}
