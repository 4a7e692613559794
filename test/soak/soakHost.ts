/** One dispatcher process of the soak: its settings, its signals and its proxies. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, type WriteStream } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { settingsText } from '../platform/processSettings';
import { FaultProxy } from './faultProxy';

/** Where and how a host runs. */
export interface SoakHostPlace {
  readonly hostId: string;
  readonly domain: string;
  readonly domains: readonly string[];
  readonly storeAddress: string;
  /** Address under which other hosts reach it: that of its proxy. */
  readonly announcedPort: number;
  /** Ports for callers, readiness, other hosts and metrics. */
  readonly ports: readonly number[];
  readonly folder: string;
  /** Program and arguments of `node`. */
  readonly program: readonly string[];
  /** Address from which it connects, if other than the usual one of loopback. */
  readonly sourceAddress: string | null;
  /** Other hosts are refused while the process is not there, as they would be without a proxy. */
  readonly refusesWhileDown: boolean;
}

/** Lets a process connect from the address that the environment names. */
const SOURCE_ADDRESS_MODULE = join(__dirname, 'sourceAddress.cjs');

const LOOPBACK = '127.0.0.1';
const DRAIN_SECONDS = 6;
const LINES_PER_SECOND = 1000;
const RESTART_PAUSE_MS = 300;
/** A process that has not ended so long after SIGTERM does not end by itself. */
const END_LIMIT_MS = 9000;

/** Process of one host. */
export class SoakHost {
  readonly hostId: string;

  readonly domain: string;

  readonly callersAddress: string;

  /** Address from which it connects. */
  readonly sourceAddress: string;

  /** Connections to the store, and from other hosts. */
  readonly storeProxy: FaultProxy;

  readonly peerProxy: FaultProxy;

  /** Until then its connections may break: it is, or was, killed, stopped or paused. */
  disturbedUntilMs = 0;

  /** Ends of the process that nobody asked for. */
  readonly ownEnds: string[] = [];

  readonly #place: SoakHostPlace;

  readonly #output: WriteStream;

  #process: ChildProcess | null = null;

  #endExpected = false;

  #reloads = 0;

  /** Of the proxy in front of the store. */
  #storeAddress = '';

  constructor(place: SoakHostPlace) {
    this.#place = place;
    this.hostId = place.hostId;
    this.domain = place.domain;
    this.sourceAddress = place.sourceAddress ?? LOOPBACK;
    this.callersAddress = `127.0.0.1:${place.ports[0]}`;
    this.storeProxy = new FaultProxy(place.storeAddress);
    this.peerProxy = new FaultProxy(`127.0.0.1:${place.ports[2]}`);
    this.#output = createWriteStream(join(place.folder, `${place.hostId}.log`));
  }

  async open(): Promise<void> {
    await this.peerProxy.open(this.#place.announcedPort);
    this.#storeAddress = await this.storeProxy.open();
    await this.#writeSettings();
    this.#start();
  }

  async close(): Promise<void> {
    await this.#end('SIGKILL');
    this.storeProxy.close();
    this.peerProxy.close();
    this.#output.end();
  }

  /** Kills the process and starts it again after `downMs`. */
  async kill(downMs = RESTART_PAUSE_MS): Promise<void> {
    const { refusesWhileDown, announcedPort } = this.#place;
    this.#disturb(downMs);
    await this.#end('SIGKILL');
    if (refusesWhileDown) this.peerProxy.refuse();
    await sleep(downMs);
    if (refusesWhileDown) await this.peerProxy.open(announcedPort);
    this.#start();
  }

  /** Kills the process as if its machine were gone: other hosts are not refused. */
  async lose(downMs: number, beforeStart: () => void): Promise<void> {
    this.#disturb(downMs);
    await this.#end('SIGKILL');
    await sleep(downMs);
    beforeStart();
    this.#start();
  }

  /** Stops the process in an orderly way and starts it again; names what went wrong. */
  async restart(): Promise<string | null> {
    const timer = sleep(END_LIMIT_MS, 'late');
    const ended = await Promise.race([this.#end('SIGTERM'), timer]);
    if (ended === 'late') {
      await this.kill();
      return `${this.hostId} did not end within ${END_LIMIT_MS} ms of SIGTERM`;
    }
    this.#start();
    return null;
  }

  /** Stands still for some time. */
  async pause(pauseMs: number): Promise<void> {
    this.#disturb(pauseMs);
    this.#process?.kill('SIGSTOP');
    await sleep(pauseMs);
    this.#process?.kill('SIGCONT');
  }

  /** Reads changed settings. */
  async reload(): Promise<void> {
    this.#reloads += 1;
    await this.#writeSettings();
    this.#process?.kill('SIGHUP');
  }

  #disturb(forMs: number): void {
    this.disturbedUntilMs = Math.max(this.disturbedUntilMs, performance.now() + forMs);
  }

  #start(): void {
    const { folder, hostId, program, sourceAddress } = this.#place;
    this.#endExpected = false;
    const preload = sourceAddress === null ? [] : ['--require', SOURCE_ADDRESS_MODULE];
    const child = spawn(process.execPath, [...preload, ...program], {
      env: {
        ...process.env,
        WASABIYOKE_BOOT: join(folder, `${hostId}.ini`),
        SOAK_SOURCE_ADDRESS: sourceAddress ?? LOOPBACK,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(this.#output, { end: false });
    child.stderr.pipe(this.#output, { end: false });
    child.once('exit', (code, signal) => {
      if (!this.#endExpected) this.ownEnds.push(`${hostId}: exit ${code} ${signal}`);
    });
    this.#process = child;
  }

  async #end(signal: NodeJS.Signals): Promise<void> {
    const child = this.#process;
    this.#endExpected = true;
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    const ended = once(child, 'exit');
    child.kill('SIGCONT');
    child.kill(signal);
    await ended;
  }

  async #writeSettings(): Promise<void> {
    const { hostId, folder } = this.#place;
    const text = settingsText({
      ...this.#place,
      storeAddress: this.#storeAddress,
      drainSeconds: DRAIN_SECONDS,
      linesPerSecond: LINES_PER_SECOND + this.#reloads,
    });
    await writeFile(join(folder, `${hostId}.ini`), text);
  }
}
