/** Entry hosts in the main thread with their stand-ins in another one. */
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { OperatorClient } from '../cli/operatorClient';
import { EntryHost } from '../host/entryHost';
import type { HostOutputs } from '../host/outputs';
import { checkSettings, type Settings } from '../settings';
import type { LoadReport } from './loadTypes';
import { configurationText } from './slopesFleet';
import type { StandinLoad, StandinShape } from './slopesStandins';
import { StandinThread } from './slopesThread';

const READY_MS = 3000;
function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

async function freePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

interface HostAddresses {
  readonly id: string;
  readonly domain: string;
  readonly caller: string;
  readonly operator: string;
  readonly peer: string;
}

async function plan(hosts: number, domains: readonly string[]): Promise<readonly HostAddresses[]> {
  const ports = await Promise.all(Array.from({ length: hosts * 3 }, freePort));
  const address = (index: number) => `127.0.0.1:${ports[index]}`;
  return Array.from({ length: hosts }, (_, index) => {
    const domain = domains[index % domains.length] ?? '';
    const id = `${domain}-${Math.floor(index / domains.length) + 1}`;
    const first = index * 3;
    return {
      id,
      domain,
      caller: address(first),
      operator: address(first + 1),
      peer: address(first + 2),
    };
  });
}

function settingsOf(
  host: HostAddresses,
  all: readonly HostAddresses[],
  standins: { readonly store: string; readonly hostList: string },
): Settings {
  const seeds = all.filter(({ id }) => id !== host.id).map(({ peer }) => peer);
  const text = `[host]
id = ${host.id}
service = kiosk-dispatch
region = bg-central
domain = ${host.domain}
[listen]
callerAddress = ${host.caller}
operatorAddress = ${host.operator}
peerAddress = ${host.peer}
[peers]
seeds = ${seeds.join(', ')}
[store]
endpoints = ${standins.store}
[hostList]
url = http://${standins.hostList}
`;
  return checkSettings(
    host.id,
    seeds.length > 0 ? text : text.replace(/\[peers\]\n.*\n/, ''),
  ).unwrap();
}

/** Running hosts with their stand-ins. */
export class SlopesSite {
  readonly callers: readonly string[];

  readonly #hosts: readonly EntryHost[];

  readonly #thread: StandinThread;

  private constructor(
    callers: readonly string[],
    hosts: readonly EntryHost[],
    thread: StandinThread,
  ) {
    this.callers = callers;
    this.#hosts = hosts;
    this.#thread = thread;
  }

  /** Starts everything and puts the configuration of all teams in force. */
  static async open(
    hosts: number,
    shape: StandinShape,
    outputs: (settings: Settings) => HostOutputs,
  ): Promise<SlopesSite> {
    const thread = new StandinThread(shape);
    const standins = await thread.opened();
    const addresses = await plan(hosts, shape.domains);
    const running = addresses.map((host) => {
      const settings = settingsOf(host, addresses, standins);
      return new EntryHost(settings, outputs(settings));
    });
    await Promise.all(running.map((host) => host.open()));
    const operator = new OperatorClient(addresses[0]?.operator ?? '');
    const request = { file: 'slopes.ini', text: configurationText(), publishedBy: 'slopes' };
    (await operator.publishConfiguration(request)).unwrap();
    await operator.close();
    await pause(READY_MS);
    const callers = addresses.map(({ caller }) => caller);
    return new SlopesSite(callers, running, thread);
  }

  load(load: Omit<StandinLoad, 'hosts'>): Promise<LoadReport> {
    return this.#thread.load({ ...load, hosts: this.callers });
  }

  async close(): Promise<void> {
    await Promise.all(this.#hosts.map((host) => host.abort()));
    await this.#thread.close();
  }
}
