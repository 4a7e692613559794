/**
 * A whole deployment in one process, over real sockets on loopback: entry hosts in several failure
 * domains with stand-ins for the store, the host list and the workers. The demo and the system tests
 * use it; faults are switched on at the stand-ins.
 */
import { EntryHost, type TransportFactory } from '../host/entryHost';
import type { HostOutputs } from '../host/outputs';
import { GrpcTransport } from '../peers';
import { checkSettings, type Settings } from '../settings';
import { HostListServer } from './hostListServer';
import { Partition } from './partition';
import { PartitionedTransport } from './partitionedTransport';
import { PortBlock } from './portBlock';
import { StoreServer } from './storeServer';
import { WorkerServer } from './workerServer';

const WORKERS_PER_RACK = 8;

/** Sizes and names of a deployment. */
export interface DeploymentShape {
  readonly service: string;
  readonly region: string;
  readonly domains: readonly string[];
  readonly hostsPerDomain: number;
  readonly workersPerDomain: number;
  readonly slots: number;
  readonly memoryMb: number;
}

/** An entry host with what is needed to start it again. */
export interface DeployedHost {
  readonly settings: Settings;
  host: EntryHost | null;
}

/** A time in which a host was gone; `toMs` is Infinity while it is. Times are of `performance.now`. */
export interface HostOutage {
  /** Caller address of the host. */
  readonly host: string;
  readonly fromMs: number;
  toMs: number;
  /** True for a drain, from its begin on: requests that were sent before must not break. */
  readonly graceful: boolean;
}

/** Settings that differ from the defaults, as lines of their INI section. */
export type SettingsLines = Readonly<Record<string, readonly string[]>>;

function sectionText(name: string, lines: readonly string[]): string {
  return [`[${name}]`, ...lines].join('\n');
}

/** Running deployment; `close` ends everything it started. */
export class Deployment {
  readonly shape: DeploymentShape;

  readonly store = new StoreServer({ nowMs: () => performance.now() });

  readonly hostList = new HostListServer();

  readonly workers: readonly WorkerServer[];

  readonly hosts: DeployedHost[] = [];

  /** All drains and losses of hosts so far. */
  readonly outages: HostOutage[] = [];

  /** Cuts between the entry hosts. */
  readonly partition = new Partition();

  #ports: PortBlock | null = null;

  readonly #createOutputs: (settings: Settings) => HostOutputs;

  constructor(shape: DeploymentShape, createHostOutputs: (settings: Settings) => HostOutputs) {
    this.shape = shape;
    this.#createOutputs = createHostOutputs;
    this.workers = shape.domains.flatMap((domain) =>
      Array.from(
        { length: shape.workersPerDomain },
        (_, index) =>
          new WorkerServer({
            id: `${domain}-w${index + 1}`,
            domain,
            rack: `${domain}-r${Math.floor(index / WORKERS_PER_RACK) + 1}`,
            slots: shape.slots,
            memoryMb: shape.memoryMb,
          }),
      ),
    );
  }

  /** Starts the stand-ins, then all hosts. */
  async open(extra: SettingsLines = {}): Promise<void> {
    await Promise.all([
      this.store.start(),
      this.hostList.open(),
      ...this.workers.map((worker) => worker.open()),
    ]);
    this.showHostList();
    await this.#planHosts(extra);
    // All hosts are waited for, so that `close` finds those that have opened.
    const opened = await Promise.allSettled(this.hosts.map((_, index) => this.startHost(index)));
    const failed = opened.find(({ status }) => status === 'rejected');
    if (failed?.status === 'rejected') throw failed.reason;
  }

  /** Shows the workers in the host list as they are now. */
  showHostList(): void {
    this.hostList.set(this.workers.map((worker) => worker.hostListEntry));
  }

  async startHost(index: number): Promise<void> {
    const deployed = this.#deployed(index);
    const { settings } = deployed;
    const createTransport: TransportFactory = (options) =>
      new PartitionedTransport(
        new GrpcTransport(options),
        this.partition,
        settings.listen.peerAddress,
      );
    const host = new EntryHost(settings, this.#createOutputs(settings), createTransport);
    await host.open();
    deployed.host = host;
    this.outages
      .filter((outage) => outage.host === settings.listen.callerAddress && outage.toMs === Infinity)
      .forEach((outage) => Object.assign(outage, { toMs: performance.now() }));
  }

  /** The host is gone at once: its connections break and nobody gets an answer. */
  async killHost(index: number): Promise<void> {
    const deployed = this.#deployed(index);
    const { host } = deployed;
    deployed.host = null;
    this.#noteOutage(deployed, false);
    await host?.abort();
  }

  /** Graceful shutdown; resolves when the host has closed. */
  async drainHost(index: number): Promise<void> {
    const deployed = this.#deployed(index);
    this.#noteOutage(deployed, true);
    await deployed.host?.drain();
    deployed.host = null;
  }

  /** Cuts the entry hosts of a domain off from those of all others until `partition.heal`. */
  cutDomain(domain: string): void {
    const inDomain = this.hosts.filter(({ settings }) => settings.host.domain === domain);
    this.partition.isolate(inDomain.map(({ settings }) => settings.listen.peerAddress));
  }

  callerAddresses(): readonly string[] {
    return this.hosts.map(({ settings }) => settings.listen.callerAddress);
  }

  operatorAddresses(): readonly string[] {
    return this.hosts.map(({ settings }) => settings.listen.operatorAddress);
  }

  async close(): Promise<void> {
    await Promise.all(this.hosts.map(({ host }) => host?.abort()));
    await Promise.all(this.workers.map((worker) => worker.close()));
    await this.hostList.close();
    await this.store.close();
    await this.#ports?.release();
    this.#ports = null;
  }

  #deployed(index: number): DeployedHost {
    const deployed = this.hosts[index];
    if (!deployed) throw new RangeError(`no host ${index}`);
    return deployed;
  }

  #noteOutage({ settings }: DeployedHost, graceful: boolean): void {
    const host = settings.listen.callerAddress;
    this.outages.push({ host, fromMs: performance.now(), toMs: Infinity, graceful });
  }

  async #planHosts(extra: SettingsLines): Promise<void> {
    const { domains, hostsPerDomain } = this.shape;
    this.#ports = await PortBlock.reserve(domains.length * hostsPerDomain * 3);
    const { ports } = this.#ports;
    const peers = ports.filter((_, index) => index % 3 === 2).map((port) => `127.0.0.1:${port}`);
    domains.forEach((domain, domainIndex) => {
      for (let number = 1; number <= hostsPerDomain; number += 1) {
        const first = (domainIndex * hostsPerDomain + number - 1) * 3;
        const addresses = ports.slice(first, first + 3).map((port) => `127.0.0.1:${port}`);
        const id = `${domain}-${number}`;
        const text = this.#settingsText(id, domain, addresses, peers, extra);
        this.hosts.push({ settings: checkSettings(id, text).unwrap(), host: null });
      }
    });
  }

  #settingsText(
    id: string,
    domain: string,
    [caller, operator, peer]: readonly string[],
    peers: readonly string[],
    extra: SettingsLines,
  ): string {
    const { service, region } = this.shape;
    const seeds = peers.filter((address) => address !== peer).join(', ');
    const sections: SettingsLines = {
      host: [`id = ${id}`, `service = ${service}`, `region = ${region}`, `domain = ${domain}`],
      listen: [
        `callerAddress = ${caller}`,
        `operatorAddress = ${operator}`,
        `peerAddress = ${peer}`,
      ],
      peers: seeds === '' ? [] : [`seeds = ${seeds}`],
      store: [`endpoints = ${this.store.address}`],
      hostList: [`url = http://${this.hostList.address}`],
    };
    const names = [...new Set([...Object.keys(sections), ...Object.keys(extra)])];
    return names
      .map((name) => sectionText(name, [...(sections[name] ?? []), ...(extra[name] ?? [])]))
      .join('\n');
  }
}
