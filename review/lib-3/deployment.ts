/**
 * A small deployment on loopback: hosts of the dispatcher as processes, and the platform's store and
 * the workers in this process.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { get } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { PortBlock } from '../../src/standins/portBlock';
import { KvStandin } from '../../test/platform/kvStandin';
import { Client, type Route } from './client';
import { Host } from './host';
import { hostInBody, Link } from './link';
import type { CaseRecord } from './record';
import { Worker, type WorkerInit } from './worker';

/** A host and its zone. */
export interface HostInit {
  readonly id: string;
  readonly zone: string;
}

/** What a deployment consists of. */
export interface DeploymentInit {
  readonly zones: readonly string[];
  readonly hosts: readonly HostInit[];
  readonly workers: readonly WorkerInit[];
  /** False if the workers start whatever they are told to. */
  readonly preconditions: boolean;
}

const LOOPBACK = '127.0.0.1';
const PORTS_PER_HOST = 6;
const SEEDS = 3;
const POLL_MS = 50;
const START_LIMIT_MS = 30_000;
const READY_STATUS = 200;

/** Route to which the clients send their jobs. */
export const ROUTE: Route = { hostName: 'desk.example', prefix: '/jobs/' };
/** Service that runs them. */
export const SERVICE = 'desk';

/** The platform's configuration. */
function configuration(version: number, preconditions: boolean): string {
  return JSON.stringify({
    version,
    routes: [
      {
        name: 'jobs',
        host: ROUTE.hostName,
        prefix: ROUTE.prefix,
        backend: SERVICE,
        timeoutMs: 1500,
        priority: 0,
        maxAttempts: 3,
        slackFactor: 3,
        goalMs: 60,
      },
    ],
    backends: [{ name: SERVICE, preconditions }],
    limits: { maxBodyBytes: 262_144 },
  });
}

/** A host with the proxies in front of it and of its way to the store. */
export interface LinkedHost {
  readonly host: Host;
  readonly peerLink: Link;
  readonly storeLink: Link;
}

/** A running deployment. */
export class Deployment {
  readonly store = new KvStandin();

  readonly workers: readonly Worker[];

  readonly client: Client;

  readonly #init: DeploymentInit;

  readonly #record: CaseRecord;

  #hosts: readonly LinkedHost[] = [];

  #ports: PortBlock | null = null;

  #folder = '';

  constructor(init: DeploymentInit, record: CaseRecord) {
    this.#init = init;
    this.#record = record;
    this.workers = init.workers.map((worker) => new Worker(worker, record));
    this.client = new Client(ROUTE, record);
  }

  /** Prepares everything; no host is started yet. */
  async open(): Promise<void> {
    const { hosts, zones, preconditions } = this.#init;
    this.#folder = await mkdtemp(join(tmpdir(), 'wasabiyoke-review-'));
    this.#ports = await PortBlock.reserve(hosts.length * PORTS_PER_HOST);
    const { ports } = this.#ports;
    const storePort = Number((await this.store.open()).split(':')[1]);
    await Promise.all(this.workers.map((worker) => worker.open()));
    this.workers.forEach((worker) => this.list(worker));
    this.store.put('op/config', configuration(7, preconditions));
    const portOf = (index: number, offset: number) => ports[index * PORTS_PER_HOST + offset] ?? 0;
    const seeds = hosts.slice(0, SEEDS).map((_, index) => `${LOOPBACK}:${portOf(index, 4)}`);
    this.#hosts = await Promise.all(
      hosts.map(async ({ id, zone }, index) => {
        const peerLink = new Link(portOf(index, 2), hostInBody);
        const storeLink = new Link(storePort);
        await peerLink.open(portOf(index, 4));
        await storeLink.open(portOf(index, 5));
        const place = {
          id,
          zone,
          zones,
          ports: [0, 1, 2, 3].map((offset) => portOf(index, offset)),
          announcedPort: portOf(index, 4),
          storeAddress: `${LOOPBACK}:${portOf(index, 5)}`,
          seeds,
          folder: this.#folder,
        };
        const host = new Host(place, this.#record);
        await host.writeSettings();
        return { host, peerLink, storeLink };
      }),
    );
  }

  /** Ends all processes that it started. */
  async close(): Promise<void> {
    await Promise.all(this.#hosts.map(({ host }) => host.close()));
    this.#hosts.forEach(({ peerLink, storeLink }) => {
      peerLink.close();
      storeLink.close();
    });
    this.workers.forEach((worker) => worker.close());
    this.store.close();
    await this.#ports?.release();
    if (this.#folder) await rm(this.#folder, { recursive: true });
  }

  /** A host by its id. */
  linked(id: string): LinkedHost {
    const found = this.#hosts.find(({ host }) => host.id === id);
    if (!found) throw new Error(`no host ${id}`);
    return found;
  }

  host(id: string): Host {
    return this.linked(id).host;
  }

  get hosts(): readonly Host[] {
    return this.#hosts.map(({ host }) => host);
  }

  /** Writes the entry of a worker to the store, as the worker does. */
  list(worker: Worker, state = 'ready'): void {
    this.store.put(`servers/${worker.init.id}`, worker.entry(state));
  }

  /** Cuts a host off from the store and from all other hosts, and from nothing else. */
  cutOff(id: string): void {
    this.#record.add(id, 'cut off from the store and from all other hosts');
    this.#hosts.forEach(({ host, peerLink, storeLink }) => {
      if (host.id === id) {
        peerLink.cutAll();
        storeLink.cutAll();
      } else {
        peerLink.cut(id);
      }
    });
  }

  /** Ends all cuts. */
  heal(): void {
    this.#record.add('network', 'all cuts are over');
    this.#hosts.forEach(({ peerLink, storeLink }) => {
      peerLink.heal();
      storeLink.heal();
    });
  }

  /** True if the host answers the platform's readiness check with 200. */
  isReady(id: string): Promise<boolean> {
    const url = `http://${this.host(id).readinessAddress}/wasabiyoke/ready`;
    return new Promise((resolve) => {
      const request = get(url, { agent: false }, (response) => {
        response.resume();
        resolve(response.statusCode === READY_STATUS);
      });
      request.once('error', () => resolve(false));
    });
  }

  /** Waits until the hosts report that they are ready; throws if they don't. */
  async awaitReady(ids: readonly string[]): Promise<void> {
    const untilMs = performance.now() + START_LIMIT_MS;
    const areReady = async () =>
      (await Promise.all(ids.map((id) => this.isReady(id)))).every(Boolean);
    // eslint-disable-next-line no-await-in-loop -- polls
    while (!(await areReady())) {
      if (performance.now() > untilMs) throw new Error(`not ready: ${ids.join()}`);
      // eslint-disable-next-line no-await-in-loop -- polls
      await sleep(POLL_MS);
    }
  }
}
