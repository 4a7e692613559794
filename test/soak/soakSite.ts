/** The processes and stand-ins of one soak. */
import type { SeededRandom } from '../../src/bench/random';
import { encodeLayout, LAYOUT_KEY } from '../../src/dispatcher/ownership/cellRecord';
import { PortBlock } from '../../src/standins/portBlock';
import { configurationText } from '../platform/deployment';
import { KvStandin } from '../platform/kvStandin';
import {
  WorkerStandin,
  type RunObserver,
  type WorkerStandinOptions,
} from '../platform/workerStandin';
import { FaultProxy } from './faultProxy';
import { SoakHost } from './soakHost';
import type { SoakShape } from './soakShape';

const RUNS_PER_WORKER = 2;
const PORTS_PER_HOST = 5;
/** A worker's clock may be 2% slow. */
const SLOWEST_CLOCK = 0.98;

/** A worker with the proxy through which hosts reach it. */
export interface SoakWorker {
  readonly worker: WorkerStandin;
  readonly proxy: FaultProxy;
}

async function openWorker(
  id: string,
  domain: string,
  port: number,
  traits: WorkerStandinOptions,
): Promise<SoakWorker> {
  const announcedAddress = `127.0.0.1:${port}`;
  const worker = new WorkerStandin(id, domain, { ...traits, announcedAddress });
  await worker.open();
  const proxy = new FaultProxy(worker.address);
  await proxy.open(port);
  return { worker, proxy };
}

/** Store, workers and hosts. */
export class SoakSite {
  readonly store = new KvStandin();

  readonly workers: SoakWorker[] = [];

  readonly hosts: SoakHost[] = [];

  readonly #shape: SoakShape;

  #block: PortBlock | null = null;

  constructor(shape: SoakShape) {
    this.#shape = shape;
  }

  /** Opens all; `program` are the arguments of `node` for a host, `folder` takes their logs. */
  async open(
    program: readonly string[],
    folder: string,
    observer: RunObserver,
    random: SeededRandom,
  ): Promise<void> {
    const storeAddress = await this.store.open();
    this.store.replyLimits.bytesPerSecond = this.#shape.storeBytesPerSecond;
    this.putConfiguration(1);
    const { domains, hostsPerDomain, workersPerDomain, cellsPerDomain, stopMs } = this.#shape;
    if (cellsPerDomain !== null) this.store.put(LAYOUT_KEY, encodeLayout(cellsPerDomain));
    const hostCount = domains.length * hostsPerDomain;
    const workerCount = domains.length * workersPerDomain;
    this.#block = await PortBlock.reserve(hostCount * PORTS_PER_HOST + workerCount);
    const ports = [...this.#block.ports];
    const opened = domains.flatMap((domain) =>
      Array.from({ length: workersPerDomain }, (_, index) => {
        const clockRate = random.between(SLOWEST_CLOCK, 1);
        const room = RUNS_PER_WORKER;
        const register = (worker: WorkerStandin) =>
          this.store.put(`servers/${worker.id}`, worker.entry());
        const traits = { observer, register, clockRate, stopMs, room, ...this.#speedOf(index) };
        return openWorker(`i-${domain}-${index}`, domain, ports.shift() ?? 0, traits);
      }),
    );
    this.workers.push(...(await Promise.all(opened)));
    domains.forEach((domain, domainIndex) => {
      Array.from({ length: hostsPerDomain }, (_, index) => {
        const [announcedPort = 0, ...own] = ports.splice(0, PORTS_PER_HOST);
        const sourceAddress = this.#sourceAddress(domainIndex, index);
        const { refusesWhileDown } = this.#shape;
        const place = { hostId: `${domain}-${index}`, domain, domains, storeAddress };
        const process = { folder, program, sourceAddress, refusesWhileDown };
        return this.hosts.push(new SoakHost({ ...place, announcedPort, ports: own, ...process }));
      });
    });
    await Promise.all(this.hosts.map((host) => host.open()));
  }

  /** Writes a version of the configuration to the store, as the operators do. */
  putConfiguration(version: number): void {
    this.store.put('op/config', configurationText(version, this.#shape.otherQueues));
  }

  #speedOf(workerIndex: number): { readonly slowness: number } {
    const { slowness } = this.#shape;
    return { slowness: slowness[workerIndex % slowness.length] ?? 1 };
  }

  #sourceAddress(domainIndex: number, index: number): string | null {
    return this.#shape.hasSourceAddresses ? `127.0.${domainIndex + 1}.${index + 1}` : null;
  }

  async close(): Promise<void> {
    await Promise.all(this.hosts.map((host) => host.close()));
    this.workers.forEach(({ worker, proxy }) => {
      proxy.close();
      worker.close();
    });
    this.store.close();
    await this.#block?.release();
  }
}
