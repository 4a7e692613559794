/** A small deployment on loopback: the platform's store, workers, and hosts as processes. */
import { mkdtemp, rm } from 'node:fs/promises';
import { get } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { text } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';
import { PortBlock } from '../../src/standins/portBlock';
import { KvStandin } from '../../test/platform/kvStandin';
import { FaultProxy } from '../../test/soak/faultProxy';
import { Client } from './client';
import { HostProcess } from './hostProcess';
import { LinkProxy } from './linkProxy';
import { Ledger } from './ledger';
import { CaseRecord } from './record';
import { ReviewWorker, type WorkerTraits } from './reviewWorker';

/** Size of a deployment. */
export interface SiteShape {
  readonly zones: readonly string[];
  readonly hostsPerZone: number;
  /** Workers by id. */
  readonly workers: Readonly<Record<string, WorkerTraits>>;
  /** Newest configuration of the operator. */
  readonly configuration: object;
  /** True if hosts reach each other and the store through proxies that can be cut. */
  readonly hasProxies?: boolean;
}

/** Proxies of one host: to the store, and from other hosts. */
export interface HostProxies {
  readonly store: FaultProxy;
  readonly peers: LinkProxy;
}

const REGION = 'bg-central';
const PORTS_PER_HOST = 5;
const MAX_SEEDS = 3;
const READY_LIMIT_MS = 20_000;
const POLL_MS = 50;
/** Time for the hosts to get to know all cells. */
const SETTLE_MS = 2000;

function isReady(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const check = get(`http://${address}/wasabiyoke/ready`, { agent: false }, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    check.once('error', () => resolve(false));
  });
}

function readText(url: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const call = get(url, { agent: false }, (response) => {
      text(response).then(resolve, reject);
    });
    call.once('error', reject);
  });
}

/** A deployment that is running. */
export class Site {
  readonly record = new CaseRecord();

  readonly ledger = new Ledger(this.record);

  readonly client = new Client(this.record, this.ledger);

  readonly store = new KvStandin();

  readonly workers = new Map<string, ReviewWorker>();

  readonly hosts: HostProcess[] = [];

  /** Proxies of the hosts, in their order; empty if there are none. */
  readonly proxies: HostProxies[] = [];

  readonly #shape: SiteShape;

  #folder = '';

  #storeAddress = '';

  #block: PortBlock | null = null;

  constructor(shape: SiteShape) {
    this.#shape = shape;
  }

  /** Starts all and waits until every host is ready; throws if one is not in time. */
  async open(): Promise<void> {
    const { zones, hostsPerZone, workers, configuration } = this.#shape;
    this.#folder = await mkdtemp(join(tmpdir(), 'wasabiyoke-review-'));
    const storeAddress = await this.store.open();
    this.#storeAddress = storeAddress;
    this.store.put('op/config', JSON.stringify(configuration));
    Object.entries(workers).forEach(([id, traits]) => {
      this.workers.set(id, new ReviewWorker(id, traits, this.store, this.ledger, this.record));
    });
    await Promise.all([...this.workers.values()].map((worker) => worker.boot()));
    await this.#placeHosts(zones, hostsPerZone, storeAddress);
    await Promise.all(this.hosts.map((host) => host.start()));
    await this.awaitReady();
    await sleep(SETTLE_MS);
  }

  async #placeHosts(
    zones: readonly string[],
    hostsPerZone: number,
    storeAddress: string,
  ): Promise<void> {
    const hostCount = zones.length * hostsPerZone;
    this.#block = await PortBlock.reserve(hostCount * PORTS_PER_HOST);
    const ports = [...this.#block.ports];
    const places = zones.flatMap((zone) =>
      Array.from({ length: hostsPerZone }, (_, index) => {
        const [announcedPort = 0, ...own] = ports.splice(0, PORTS_PER_HOST);
        return { node: `front-${zone}-${index + 1}`, zone, announcedPort, ports: own };
      }),
    );
    const { hasProxies = false } = this.#shape;
    const seeds = places
      .slice(0, MAX_SEEDS)
      .map((place) => `127.0.0.1:${hasProxies ? place.announcedPort : place.ports[2]}`);
    const shared = { zones, region: REGION, seeds, folder: this.#folder };
    const hosts = await Promise.all(
      places.map(async (place, index) => {
        if (!hasProxies) {
          const direct = { ...place, ...shared, storeAddress, announcedPort: null };
          return new HostProcess(direct, this.record);
        }
        const proxies = {
          store: new FaultProxy(storeAddress),
          peers: new LinkProxy(place.node, place.ports[2] ?? 0, () => this.#pids()),
        };
        this.proxies[index] = proxies;
        await proxies.peers.open(place.announcedPort);
        const proxied = await proxies.store.open();
        return new HostProcess({ ...place, ...shared, storeAddress: proxied }, this.record);
      }),
    );
    this.hosts.push(...hosts);
  }

  #pids(): ReadonlyMap<string, number> {
    return new Map(this.hosts.map(({ node, pid }) => [node, pid]));
  }

  /** Waits until all hosts are ready. */
  async awaitReady(): Promise<void> {
    const untilMs = this.record.nowMs() + READY_LIMIT_MS;
    let ready: readonly boolean[] = [];
    do {
      if (this.record.nowMs() > untilMs) throw new Error('not all hosts are ready in time');
      // eslint-disable-next-line no-await-in-loop -- polls until all are ready
      await sleep(POLL_MS);
      // eslint-disable-next-line no-await-in-loop -- polls until all are ready
      ready = await Promise.all(this.hosts.map(({ readyAddress }) => isReady(readyAddress)));
    } while (!ready.every(Boolean));
    this.record.write('all-hosts-ready');
  }

  /** Value of a key in the platform's store; throws if there is none. */
  async readStore(key: string): Promise<string> {
    const path = `/wasabiyoke/kv-range?prefix=${encodeURIComponent(key)}`;
    const { items } = JSON.parse(await readText(`http://${this.#storeAddress}${path}`)) as {
      items: { key: string; value: string }[];
    };
    const item = items.find((candidate) => candidate.key === key);
    if (!item) throw new Error(`the store has no ${key}`);
    return Buffer.from(item.value, 'base64').toString('utf8');
  }

  host(index: number): HostProcess {
    const host = this.hosts[index];
    if (!host) throw new Error(`there is no host ${index}`);
    return host;
  }

  /** Ends all processes and stand-ins. */
  async close(): Promise<void> {
    await Promise.all(this.hosts.map((host) => host.kill()));
    this.workers.forEach((worker) => worker.crash());
    this.proxies.forEach(({ store, peers }) => {
      store.close();
      peers.close();
    });
    this.store.close();
    await this.#block?.release();
    if (process.env.KEEP_LOGS === undefined)
      await rm(this.#folder, { recursive: true, force: true });
    else process.stdout.write(`logs: ${this.#folder}\n`);
  }
}
