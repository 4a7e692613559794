/**
 * What control costs on the wire: bytes of a peer batch beyond its messages, of status polls, of the
 * host list and of store calls, counted by a relay on loopback; store calls by role; CPU of a batch.
 */
import { ConfigurationRelay, publish, SYSTEM_TIMERS } from '../configuration';
import { encodeRecord } from '../configuration/record';
import { Directory } from '../membership';
import { encodeMessage, GrpcTransport } from '../peers';
import { HostListServer } from '../standins/hostListServer';
import { StoreServer } from '../standins/storeServer';
import { WorkerServer } from '../standins/workerServer';
import { EtcdStore } from '../store';
import { HttpHostList, HttpWorkers } from '../workers';
import { configurationText, fleetMembers, fleetWorkers, OWN_DOMAIN } from './slopesFleet';
import { fleetRecord, SAMPLE_MESSAGES } from './slopesMessages';
import { processCpuUs } from './slopesMeter';
import { CountingProxy } from './slopesProxy';
import { rowOf, type SlopeRow } from './slopesRow';

const GROUP = 'wire and store';
const BATCHES = 1500;
const WARM_UP_BATCHES = 500;
const BATCH_PAUSE_MS = 2;
const POLLS = 100;
const RELAY_MS = 10_000;
const HOSTS = [3, 9, 18, 36, 72];
const SENDERS = 8;
const RUNS = 3;
const LARGE_BATCH = 50;
const KEY = '/wasabiyoke/kiosk-dispatch/configuration';

function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** Runs the step that many times, one after the other. */
async function repeat(count: number, step: () => unknown): Promise<void> {
  if (count === 0) return;
  await step();
  await repeat(count - 1, step);
}

/** Runs the steps one after the other. */
async function sequence<T>(steps: readonly (() => Promise<T>)[]): Promise<readonly T[]> {
  const [step, ...rest] = steps;
  if (!step) return [];
  const result = await step();
  return [result, ...(await sequence(rest))];
}

function transport(hostId: string): GrpcTransport {
  return new GrpcTransport({
    hostId,
    incarnation: '6f1d2c3b4a59',
    listenAddress: '127.0.0.1:0',
  });
}

interface BatchCost {
  readonly wireBytes: number;
  readonly cpuUs: number;
}

/** Cost of a batch of `size` releases from one of several transports to another, in this process. */
async function batchCost(senders: number, size: number, counted: boolean): Promise<BatchCost> {
  const from = Array.from({ length: senders }, (_, index) =>
    transport(`${OWN_DOMAIN}-${index + 2}`),
  );
  const to = transport(`${OWN_DOMAIN}-1`);
  let received = 0;
  const handler = {
    onMessages: (_origin: unknown, messages: readonly unknown[]) => {
      received += messages.length;
    },
    onForward: () => Promise.reject(new Error('not used')),
    onForwardCancel: () => Promise.reject(new Error('not used')),
    onForwardAwait: () => Promise.reject(new Error('not used')),
    onStatus: () => null,
  };
  const target = `127.0.0.1:${await to.listen(handler)}`;
  const proxy = counted ? await CountingProxy.open(target) : null;
  const release = SAMPLE_MESSAGES.slotRelease;
  const messages = Array.from({ length: size }, () => release).filter((m) => m !== undefined);
  const send = () => {
    from.forEach((sender) => sender.send(proxy?.address ?? target, messages));
    return pause(BATCH_PAUSE_MS);
  };
  await repeat(WARM_UP_BATCHES, send);
  const [bytes, cpuUs, before] = [proxy?.bytes ?? 0, processCpuUs(), received];
  await repeat(BATCHES, send);
  const batches = BATCHES * senders;
  const cost = {
    wireBytes: ((proxy?.bytes ?? 0) - bytes) / batches,
    cpuUs: (processCpuUs() - cpuUs) / batches,
  };
  if (received - before < batches * size * 0.9) throw new Error(`${received} messages received`);
  await Promise.all([...from, to].map((each) => each.close(0)));
  proxy?.close();
  return cost;
}

/** CPU of the pauses between batches, to be taken off. */
async function pauseCost(): Promise<number> {
  const startUs = processCpuUs();
  await repeat(BATCHES, () => pause(BATCH_PAUSE_MS));
  return (processCpuUs() - startUs) / BATCHES;
}

async function batchCpu(senders: number, size: number, idleUs: number): Promise<readonly number[]> {
  const runs = Array.from({ length: RUNS }, () => () => batchCost(senders, size, false));
  return (await sequence(runs)).map(({ cpuUs }) => cpuUs - idleUs / senders);
}

async function batchRows(): Promise<readonly SlopeRow[]> {
  const release = SAMPLE_MESSAGES.slotRelease;
  const messageBytes = release ? encodeMessage(release).length : 0;
  const counted = await batchCost(1, 1, true);
  const idleUs = await pauseCost();
  const alone = await batchCpu(1, 1, idleUs);
  const many = await batchCpu(SENDERS, 1, idleUs);
  const large = await batchCpu(SENDERS, LARGE_BATCH, idleUs);
  const us = (name: string, values: readonly number[]) =>
    rowOf(GROUP, `${name}, CPU of both sides`, 'µs', values);
  return [
    rowOf(GROUP, 'peer batch of 1 message, bytes beyond the message', 'bytes', [
      counted.wireBytes - messageBytes,
    ]),
    us('peer batch of 1 message, 1 sender', alone),
    us(`peer batch of 1 message, ${SENDERS} senders`, many),
    us(`peer batch of ${LARGE_BATCH} messages, ${SENDERS} senders`, large),
  ];
}

async function statusRows(): Promise<readonly SlopeRow[]> {
  const worker = new WorkerServer({ id: `${OWN_DOMAIN}-w1`, domain: OWN_DOMAIN });
  await worker.open();
  const proxy = await CountingProxy.open(worker.address);
  const workers = new HttpWorkers(1);
  const poll = () => workers.status(proxy.address);
  await repeat(10, poll);
  const before = proxy.bytes;
  await repeat(POLLS, poll);
  const bytes = (proxy.bytes - before) / POLLS;
  await workers.close();
  await worker.close();
  proxy.close();
  return [rowOf(GROUP, 'status poll of a worker', 'bytes', [bytes])];
}

async function hostListRows(): Promise<readonly SlopeRow[]> {
  const server = new HostListServer();
  await server.open();
  server.set(fleetWorkers(165));
  const proxy = await CountingProxy.open(server.address);
  const list = new HttpHostList(proxy.address);
  await list.read(OWN_DOMAIN);
  const full = proxy.bytes;
  await repeat(POLLS, () => list.read(OWN_DOMAIN));
  const unchanged = (proxy.bytes - full) / POLLS;
  await list.close();
  await server.close();
  proxy.close();
  return [
    rowOf(GROUP, 'host list of 165 workers in full', 'bytes', [full]),
    rowOf(GROUP, 'host list, unchanged', 'bytes', [unchanged]),
  ];
}

/** The store with its relay and a client that goes through it. */
interface StoreSite {
  readonly server: StoreServer;
  readonly proxy: CountingProxy;
  readonly store: EtcdStore;
}

function callsOf({ server }: StoreSite): number {
  return Object.values(server.faults.counts()).reduce((sum, count) => sum + count, 0);
}

async function directoryRows(site: StoreSite, hosts: number): Promise<readonly SlopeRow[]> {
  const members = fleetMembers(hosts, 6);
  const service = `kiosk-dispatch-${hosts}`;
  const directories = members.map(
    (self) => new Directory({ store: site.store, service, self, onHosts: () => {} }),
  );
  const before = callsOf(site);
  await Promise.all(directories.map((directory) => directory.step()));
  const registering = (callsOf(site) - before) / hosts;
  const [calls, bytes] = [callsOf(site), site.proxy.bytes];
  const periodsMs = await Promise.all(directories.map((directory) => directory.step()));
  const periodS = (periodsMs[0] ?? 0) / 1000;
  const callsPerS = (callsOf(site) - calls) / hosts / periodS;
  const bytesPerS = (site.proxy.bytes - bytes) / hosts / periodS;
  await Promise.all(directories.map((directory) => directory.close()));
  return [
    rowOf(GROUP, `directory, calls of the first round, ${hosts} hosts`, 'calls', [registering]),
    rowOf(GROUP, `directory, store calls of a host, ${hosts} hosts`, 'calls/s', [callsPerS]),
    rowOf(GROUP, `directory, bytes of a host, ${hosts} hosts`, 'bytes/s', [bytesPerS]),
  ];
}

async function relayRows(site: StoreSite): Promise<readonly SlopeRow[]> {
  await site.store.swap(KEY, encodeRecord(fleetRecord()), 0);
  const relay = new ConfigurationRelay({
    store: site.store,
    key: KEY,
    random: { next: () => 0.5 },
    timers: SYSTEM_TIMERS,
    onEntry: () => {},
  });
  const [callsAtStart, bytes] = [callsOf(site), site.proxy.bytes];
  relay.start();
  await pause(RELAY_MS / 10);
  const calls = callsOf(site);
  await pause(RELAY_MS);
  const rate = ((callsOf(site) - calls) / RELAY_MS) * 1000;
  const bytesPerS = ((site.proxy.bytes - bytes) / (RELAY_MS * 1.1)) * 1000;
  relay.stop();
  return [
    rowOf(GROUP, 'relay, calls of its first second', 'calls', [calls - callsAtStart]),
    rowOf(GROUP, 'relay, store calls', 'calls/s', [rate]),
    rowOf(GROUP, 'relay, bytes of store calls', 'bytes/s', [bytesPerS]),
  ];
}

async function publishRows(site: StoreSite): Promise<readonly SlopeRow[]> {
  const before = callsOf(site);
  const context = { store: site.store, key: KEY, inForce: null, newestHeard: 0 };
  const outcome = await publish(context, {
    text: configurationText(),
    file: 'slopes.ini',
    publicationId: 'slopes-1',
    publishedBy: 'slopes',
    publishedAtMs: 0,
  });
  if (outcome.outcome !== 'published') throw new Error(`publication: ${outcome.outcome}`);
  return [rowOf(GROUP, 'publication, store calls', 'calls', [callsOf(site) - before])];
}

async function storeRows(): Promise<readonly SlopeRow[]> {
  const server = new StoreServer({ nowMs: () => performance.now() });
  await server.start();
  const proxy = await CountingProxy.open(server.address);
  const site = { server, proxy, store: new EtcdStore({ endpoints: [proxy.address] }) };
  const directory = await sequence(HOSTS.map((hosts) => () => directoryRows(site, hosts)));
  const relay = await relayRows(site);
  const publication = await publishRows(site);
  await site.store.close();
  proxy.close();
  await server.close();
  return [...directory.flat(), ...relay, ...publication];
}

/** All rows of the wire and the store. */
export async function wireRows(): Promise<readonly SlopeRow[]> {
  const batches = await batchRows();
  const status = await statusRows();
  const hostList = await hostListRows();
  return [...batches, ...status, ...hostList, ...(await storeRows())];
}
