/** Dispatcher hosts in the test process, with simulated stores and workers on loopback. */
import { setTimeout as sleep } from 'node:timers/promises';
import { PortBlock } from '../../src/standins/portBlock';
import { encodeLayout, LAYOUT_KEY } from '../../src/dispatcher/ownership/cellRecord';
import { FaultProxy } from '../soak/faultProxy';
import { TestHost } from './testHost';
import { KvStandin } from './kvStandin';
import { WorkerStandin } from './workerStandin';

function routeOf(name: string, prefix: string): object {
  return {
    name,
    host: 'desk.example',
    prefix,
    kind: 'non_idempotent',
    timeoutMs: 1500,
    goalMs: 60,
    priority: 0,
    backend: 'service-a',
    maxAttempts: 2,
    slackFactor: 1.6,
  };
}

/** Returns the text of a configuration with one queue that is used, and others of about 180 bytes. */
export function configurationText(version: number, otherQueues = 0): string {
  const others = Array.from({ length: otherQueues }, (_, index) =>
    routeOf(`other-${index}`, `/other-${index}/`),
  );
  return JSON.stringify({
    version,
    routes: [routeOf('r-1', '/jobs/'), ...others],
    backends: [{ name: 'service-a' }],
    limits: { maxBodyBytes: 20_000 },
  });
}

const POLL_MS = 10;

/** Polls `check` until it returns true; rejects after `limitMs`. */
export async function until(what: string, check: () => boolean, limitMs = 8000): Promise<void> {
  if (check()) return;
  if (limitMs <= 0) throw new Error(`timed out waiting for: ${what}`);
  await sleep(POLL_MS);
  await until(what, check, limitMs - POLL_MS);
}

const RESERVED_PORTS = 60;
const PORTS_PER_HOST = 4;

/** A store, workers and hosts, which are started and closed together. */
export class TestDeployment {
  readonly store = new KvStandin();

  readonly workers: WorkerStandin[] = [];

  readonly hosts: TestHost[] = [];

  /** The links of the hosts to the store, in the order of the hosts, where they are asked for. */
  readonly storeLinks: FaultProxy[] = [];

  readonly #domains: readonly string[];

  /** Number of cells in each failure domain; null lets the hosts choose it. */
  readonly #cellsPerDomain: number | null;

  #portBlock: PortBlock | null = null;

  readonly #newHosts: (() => TestHost)[] = [];

  constructor(domains: readonly string[], cellsPerDomain: number | null = 1) {
    this.#domains = domains;
    this.#cellsPerDomain = cellsPerDomain;
  }

  async open(
    hostsPerDomain: number,
    workersPerDomain: number,
    hasStoreLinks = false,
  ): Promise<void> {
    const storeAddress = await this.store.open();
    const hostCount = hostsPerDomain * this.#domains.length;
    const linkCount = hasStoreLinks ? hostCount : 0;
    this.storeLinks.push(...Array.from({ length: linkCount }, () => new FaultProxy(storeAddress)));
    const linkAddresses = await Promise.all(this.storeLinks.map((link) => link.open()));
    this.#portBlock = await PortBlock.reserve(RESERVED_PORTS);
    const ports = [...this.#portBlock.ports];
    this.store.put('op/config', configurationText(1));
    if (this.#cellsPerDomain !== null) {
      this.store.put(LAYOUT_KEY, encodeLayout(this.#cellsPerDomain));
    }
    const workerPlacements = this.#domains.flatMap((domain) =>
      Array.from({ length: workersPerDomain }, (_, index) => `i-${domain}-${index}`).map((id) => ({
        id,
        domain,
      })),
    );
    await Promise.all(workerPlacements.map(({ id, domain }) => this.#openWorker(id, domain)));
    const hosts = this.#domains.flatMap((domain) =>
      Array.from({ length: hostsPerDomain }, (_, index) => {
        const hostPorts = ports.splice(0, PORTS_PER_HOST);
        const id = `${domain}-${index}`;
        const address = linkAddresses.shift() ?? storeAddress;
        const create = () => new TestHost(id, domain, this.#domains, address, [...hostPorts]);
        this.#newHosts.push(create);
        return create();
      }),
    );
    this.hosts.push(...hosts);
    await Promise.all(hosts.map((host) => host.open()));
    await until('every host knows every cell', () =>
      this.hosts.every(
        ({ host }) =>
          host.servedCells.length === this.#domains.length * (this.#cellsPerDomain ?? 1),
      ),
    );
  }

  /** Ends all hosts, and starts new processes of them at the same addresses. */
  async loseAllHosts(): Promise<void> {
    await Promise.all(this.hosts.map((host) => host.close()));
    this.hosts.splice(0, Infinity, ...this.#newHosts.map((create) => create()));
    await Promise.all(this.hosts.map((host) => host.open()));
  }

  async #openWorker(id: string, domain: string): Promise<void> {
    const register = (worker: WorkerStandin) =>
      this.store.put(`servers/${worker.id}`, worker.entry());
    const worker = new WorkerStandin(id, domain, { register });
    await worker.open();
    this.workers.push(worker);
  }

  async close(): Promise<void> {
    await Promise.all(this.hosts.map((host) => host.close()));
    this.workers.forEach((worker) => worker.close());
    this.store.close();
    this.storeLinks.forEach((link) => link.close());
    await this.#portBlock?.release();
  }

  get starts(): readonly string[] {
    return this.workers.flatMap(({ starts }) => starts);
  }
}
