/** One dispatcher process: the command of the deploy file, its settings, its links and signals. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, readFileSync, writeFileSync, type WriteStream } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Direction, FaultProxy } from '../../test/soak/faultProxy';
import type { CaseRecord } from './record';
import { fillTemplate } from './template';

/** Where a host runs. */
export interface HostPlace {
  readonly hostId: string;
  readonly zone: string;
  readonly zones: readonly string[];
  readonly storeAddress: string;
  /** Ports for clients, readiness, other hosts, metrics and the announced address. */
  readonly ports: readonly number[];
  /** Announced addresses of the hosts that others ask first. */
  readonly seeds: readonly string[];
  readonly folder: string;
}

const LOOPBACK = '127.0.0.1';
const RESTART_DELAY_MS = 300;
const BOTH = [Direction.forward, Direction.backward];
/** Bounds of the site file that the cases name. */
const BOUNDS = { graceS: 6, maxHoldMs: 1000, retryMs: 1300, status_s: 120 };

/** Processes that run now; none outlives the script, however it ends. */
const children = new Set<ChildProcess>();
process.once('exit', () => children.forEach((child) => child.kill('SIGKILL')));

/** The words of `run` in the deploy file. */
function runCommand(): readonly string[] {
  // eslint-disable-next-line n/no-sync -- read once at the start
  const deployment = readFileSync('deploy/system.toml', 'utf8');
  const run = /^run = "(.*)"$/m.exec(deployment)?.[1];
  if (run === undefined) throw new Error('deploy/system.toml has no run command');
  return run.split(' ');
}

/** A host with proxies on its links to the store and from other hosts. */
export class HostProcess {
  readonly hostId: string;

  readonly callersAddress: string;

  readonly readinessAddress: string;

  readonly #place: HostPlace;

  readonly #storeLink: FaultProxy;

  readonly #peerLink: FaultProxy;

  readonly #record: CaseRecord;

  readonly #output: WriteStream;

  #settingsFile = '';

  #child: ChildProcess | null = null;

  #isEndExpected = false;

  /** True if a process of the host has ended without being told to. */
  hasEndedItself = false;

  constructor(place: HostPlace, record: CaseRecord) {
    const [callers, readiness, peers] = place.ports;
    this.#place = place;
    this.#record = record;
    this.hostId = place.hostId;
    this.callersAddress = `${LOOPBACK}:${callers}`;
    this.readinessAddress = `${LOOPBACK}:${readiness}`;
    this.#storeLink = new FaultProxy(place.storeAddress);
    this.#peerLink = new FaultProxy(`${LOOPBACK}:${peers}`);
    this.#output = createWriteStream(join(place.folder, `${place.hostId}.log`));
  }

  async open(): Promise<void> {
    await this.#peerLink.open(this.#place.ports[4]);
    this.#writeSettings(await this.#storeLink.open());
    this.#start();
  }

  /** Kills the process, and starts it again after a short delay as the platform does. */
  async killAndRestart(): Promise<void> {
    this.#record.add('kill', { host: this.hostId });
    await this.#end('SIGKILL');
    await sleep(RESTART_DELAY_MS);
    this.#start();
  }

  /** Kills the process for good. */
  async kill(): Promise<void> {
    this.#record.add('removed', { host: this.hostId });
    await this.#end('SIGKILL');
    this.#peerLink.refuse();
  }

  /** The store does not answer this host, while it serves the others. */
  cutStore(): void {
    this.#record.add('store-turns-away', { host: this.hostId });
    this.#storeLink.cut(BOTH);
  }

  /** The store answers this host again. */
  heal(): void {
    this.#record.add('heal', { host: this.hostId });
    this.#storeLink.heal();
  }

  async close(): Promise<void> {
    await this.#end('SIGKILL');
    this.#storeLink.close();
    this.#peerLink.close();
    this.#output.end();
  }

  #writeSettings(storeAddress: string): void {
    const { hostId, zone, zones, ports, seeds, folder } = this.#place;
    const [, , peers, metrics, announced] = ports;
    // eslint-disable-next-line n/no-sync -- read once at the start
    const template = readFileSync('deploy/settings.ini', 'utf8')
      .replace(':9464', `:${metrics}`)
      .replace(/^(peers = .*)$/m, `$1\npeers-announced = ${LOOPBACK}:${announced}`);
    const text = fillTemplate(template, {
      node: hostId,
      zone,
      zones: Object.fromEntries(zones.map((name) => [name, 'region'])),
      ip: LOOPBACK,
      limits: { cores: 1, cpuShare: 0.675 },
      listenAddrs: {
        front: this.callersAddress,
        ready: this.readinessAddress,
        control: `${LOOPBACK}:${peers}`,
      },
      seeds,
      bounds: BOUNDS,
      platform: { address: storeAddress },
    });
    this.#settingsFile = join(folder, `${hostId}.ini`);
    // eslint-disable-next-line n/no-sync -- written once at the start
    writeFileSync(this.#settingsFile, text);
  }

  #start(): void {
    const [program = 'node', ...words] = runCommand();
    this.#isEndExpected = false;
    this.#record.add('start', { host: this.hostId });
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      env: { PATH: process.env.PATH, HOME: process.env.HOME, WASABIYOKE_BOOT: this.#settingsFile },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(this.#output, { end: false });
    child.stderr.pipe(this.#output, { end: false });
    children.add(child);
    child.once('exit', (code, signal) => {
      children.delete(child);
      if (this.#child !== child) return;
      if (!this.#isEndExpected) this.hasEndedItself = true;
      this.#record.add('exit', { host: this.hostId, code, signal, own: !this.#isEndExpected });
    });
    this.#child = child;
  }

  async #end(signal: NodeJS.Signals): Promise<void> {
    const child = this.#child;
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    this.#isEndExpected = true;
    const ended = once(child, 'exit');
    child.kill(signal);
    await ended;
  }
}
