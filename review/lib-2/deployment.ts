/**
 * A small deployment: the platform's store, workers that write their entries to it as they live, and
 * dispatcher processes.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { PortBlock } from '../../src/standins/portBlock';
import { KvStandin } from '../../test/platform/kvStandin';
import { WorkerStandin, type RunObserver } from '../../test/platform/workerStandin';
import { FaultProxy } from '../../test/soak/faultProxy';
import { send } from './client';
import { HostProcess } from './hostProcess';
import type { CaseRecord } from './record';

/** Hosts and workers of one zone. */
export interface ZonePlan {
  readonly name: string;
  readonly hosts: number;
  readonly workers: number;
}

/** The address at which a worker is reached; it closes with the worker's process. */
interface WorkerFront {
  readonly port: number;
  readonly link: FaultProxy;
}

const PORTS_PER_HOST = 5;
const HEARTBEAT_MS = 1500;
const POLL_MS = 50;
const READY_LIMIT_MS = 15_000;
const READY_DEADLINE_MS = 500;
/** Name of the host in the requests of clients, and prefix of their paths. */
export const CLIENT_HOST = 'desk.example';
export const JOB_PREFIX = '/jobs/';

/**
 * The operator's configuration with one queue. Without `preconditions` the workers start whatever
 * they are told to start.
 */
export function configuration(version: number, preconditions = true): string {
  return JSON.stringify({
    version,
    routes: [
      {
        name: 'r-1',
        host: CLIENT_HOST,
        prefix: JOB_PREFIX,
        kind: 'non_idempotent',
        timeoutMs: 1500,
        goalMs: 60,
        priority: 0,
        backend: 'service-a',
        maxAttempts: 3,
        slackFactor: 1.6,
      },
    ],
    backends: [{ name: 'service-a', preconditions }],
    limits: { maxBodyBytes: 262_144 },
  });
}

/** The processes and stand-ins of one run of a case. */
export class CaseDeployment {
  readonly store = new KvStandin();

  readonly workers: WorkerStandin[] = [];

  readonly hosts: HostProcess[] = [];

  /** Folder with the settings and logs of the processes. */
  // eslint-disable-next-line n/no-sync -- nothing else to do yet
  readonly folder = mkdtempSync(join(tmpdir(), 'wasabiyoke-case-'));

  storeAddress = '';

  /** Capacity of each worker in thousandths of a core; null for that of the stand-in. */
  #cpuMillis: number | null = null;

  /** Proxies in front of workers that may be restarted, with their ports. */
  readonly #fronts = new Map<string, WorkerFront>();

  readonly #links: FaultProxy[] = [];

  readonly #frontPorts = new Map<string, number>();

  /** Labels by worker; those of the stand-in where none are set. */
  readonly #labels = new Map<string, readonly string[]>();

  readonly #record: CaseRecord;

  readonly #observer: RunObserver;

  #heartbeat: NodeJS.Timeout | null = null;

  #portBlock: PortBlock | null = null;

  constructor(record: CaseRecord, observer: RunObserver) {
    this.#record = record;
    this.#observer = observer;
    process.once('exit', () => {
      // eslint-disable-next-line n/no-sync -- the process exits
      rmSync(this.folder, { recursive: true, force: true });
    });
  }

  /** `prepare` is called with each worker before it writes its first entry. */
  async open(
    zones: readonly ZonePlan[],
    prepare: (worker: WorkerStandin, index: number) => void = () => {},
  ): Promise<void> {
    const storeAddress = await this.store.open();
    this.storeAddress = storeAddress;
    this.store.put('op/config', configuration(1));
    const hostCount = zones.reduce((sum, { hosts }) => sum + hosts, 0);
    const workerCount = zones.reduce((sum, { workers: count }) => sum + count, 0);
    this.#portBlock = await PortBlock.reserve(hostCount * PORTS_PER_HOST + workerCount);
    const ports = [...this.#portBlock.ports];
    const workerPorts = ports.splice(0, workerCount);
    const workers = zones.flatMap(({ name, workers: count }) =>
      Array.from({ length: count }, (_, index) =>
        this.#newWorker(`w-${name}-${index}`, name, workerPorts.shift() ?? 0),
      ),
    );
    workers.forEach((worker, index) => prepare(worker, index));
    await Promise.all(workers.map((worker) => worker.open()));
    await Promise.all(workers.map((worker) => this.#openFront(worker)));
    this.workers.push(...workers);
    this.#heartbeat = setInterval(
      () => this.workers.forEach((worker) => this.#register(worker)),
      HEARTBEAT_MS,
    );
    const seed = `127.0.0.1:${ports[4]}`;
    zones.forEach(({ name, hosts }) => {
      for (let index = 0; index < hosts; index += 1) {
        const place = {
          hostId: `front-${name}-${index + 1}`,
          zone: name,
          zones: zones.map((zone) => zone.name),
          storeAddress,
          ports: ports.splice(0, PORTS_PER_HOST),
          seeds: [seed],
          folder: this.folder,
        };
        this.hosts.push(new HostProcess(place, this.#record));
      }
    });
    await Promise.all(this.hosts.map((host) => host.open()));
  }

  /** Waits until all hosts report ready; false if one does not in time. */
  async untilReady(hosts: readonly HostProcess[] = this.hosts): Promise<boolean> {
    const untilMs = performance.now() + READY_LIMIT_MS;
    while (performance.now() < untilMs) {
      // eslint-disable-next-line no-await-in-loop -- polls until all are ready
      const answers = await Promise.all(hosts.map((host) => this.isReady(host)));
      if (answers.every(Boolean)) return true;
      // eslint-disable-next-line no-await-in-loop -- polls until all are ready
      await sleep(POLL_MS);
    }
    return false;
  }

  /** The answer to the platform's readiness check. */
  // eslint-disable-next-line class-methods-use-this -- belongs to the deployment's interface
  async isReady({ readinessAddress }: HostProcess): Promise<boolean> {
    const { status } = await send({
      address: readinessAddress,
      method: 'GET',
      path: '/wasabiyoke/ready',
      host: readinessAddress,
      deadlineMs: READY_DEADLINE_MS,
    });
    return status === 200;
  }

  /** True if a process has ended without being told to, so that the run shows nothing. */
  get hasLostHost(): boolean {
    return this.hosts.some(({ hasEndedItself }) => hasEndedItself);
  }

  /**
   * Ends the process of a worker, with its port, and starts another one under the same id and address,
   * with other labels; at once if `downMs` is 0.
   */
  async restartWorker(
    worker: WorkerStandin,
    labels: readonly string[],
    downMs: number,
  ): Promise<void> {
    const front = this.#fronts.get(worker.id);
    if (!front) throw new Error(`${worker.id} has no front`);
    front.link.refuse();
    front.link.reset();
    this.setLabels(worker, labels);
    worker.crash();
    if (downMs > 0) await sleep(downMs);
    await front.link.open(front.port);
  }

  /** Sets the labels that a worker writes from its next entry on. */
  setLabels({ id }: WorkerStandin, labels: readonly string[]): void {
    this.#labels.set(id, labels);
  }

  /** Changes the capacity of all workers, which say so at once. */
  setCapacity(cpuMillis: number): void {
    this.#record.add('capacity', { cpuMillis });
    this.#cpuMillis = cpuMillis;
    this.workers.forEach((worker) => this.#register(worker));
  }

  /** Ends all processes and stand-ins. */
  async close(): Promise<void> {
    await Promise.all(this.hosts.map((host) => host.close()));
    if (this.#heartbeat) clearInterval(this.#heartbeat);
    this.workers.forEach((worker) => worker.close());
    this.store.close();
    await this.#portBlock?.release();
    this.#links.forEach((link) => link.close());
  }

  #newWorker(id: string, zone: string, port: number): WorkerStandin {
    const register = (worker: WorkerStandin) => this.#register(worker);
    this.#frontPorts.set(id, port);
    const announcedAddress = `127.0.0.1:${port}`;
    return new WorkerStandin(id, zone, { observer: this.#observer, register, announcedAddress });
  }

  async #openFront({ id, address }: WorkerStandin): Promise<void> {
    const link = new FaultProxy(address);
    const port = this.#frontPorts.get(id) ?? 0;
    this.#links.push(link);
    this.#fronts.set(id, { port, link });
    await link.open(port);
  }

  #register(worker: WorkerStandin): void {
    const entry = JSON.parse(worker.entry()) as {
      capacity: { cpu: number };
      labels: readonly string[];
    };
    if (this.#cpuMillis !== null) entry.capacity.cpu = this.#cpuMillis;
    entry.labels = this.#labels.get(worker.id) ?? entry.labels;
    this.store.put(`servers/${worker.id}`, JSON.stringify(entry));
  }
}
