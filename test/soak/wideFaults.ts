/** Faults that hit several hosts, workers or connections together. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Fault } from './faultPlan';
import { WideFaultKind } from './faultPlan';
import { Direction, type FaultProxy } from './faultProxy';
import type { SoakHost } from './soakHost';
import type { SoakSite } from './soakSite';

/** Carries out an action on a host when it is through with the one before. */
export type HostAction = (host: SoakHost, action: () => Promise<void>) => Promise<void>;

const LEAST_HOSTS = 2;
const MOST_HOSTS = 5;
/** Neighbours of one domain, or hosts of all domains. */
const STRIDES = [1, 5];
const WORKER_SHARE = 0.3;
/** Share of the orders that a worker carries out late. */
const LATE_SHARE = 0.5;
const LATE_LEAST_MS = 1000;
const LATE_MOST_MS = 5000;
/** Time between two restarts, as a share of the fault's time. */
const ROLL_SHARE = 0.4;
/** Delay of each chunk, as a share of the fault's time. */
const DELAY_SHARE = 0.3;
/** Time from a silence to the strike, as a share of the fault's time. */
const SILENCE_SHARE = 0.3;
const POINT_SCALE = 997;

/** A number from 0 to 1 that a point gives for one more choice. */
function derive(point: number, choice: number): number {
  return (point * POINT_SCALE * choice) % 1;
}

/** Faults of one site. */
export class WideFaults {
  readonly #site: SoakSite;

  readonly #withHost: HostAction;

  readonly #restart: (host: SoakHost) => Promise<void>;

  constructor(site: SoakSite, withHost: HostAction, restart: (host: SoakHost) => Promise<void>) {
    this.#site = site;
    this.#withHost = withHost;
    this.#restart = restart;
  }

  /** Causes a fault and returns when it is over. */
  async cause(kind: WideFaultKind, fault: Fault): Promise<void> {
    const hosts = this.#someHosts(fault);
    const { forMs } = fault;
    const actions: Record<WideFaultKind, () => Promise<unknown>> = {
      [WideFaultKind.hostsKilled]: () => this.#all(hosts, (host) => host.kill(forMs)),
      [WideFaultKind.hostsLost]: () => this.#all(hosts, (host) => this.#lose(host, forMs)),
      [WideFaultKind.hostsPaused]: () => this.#all(hosts, (host) => host.pause(forMs)),
      [WideFaultKind.hostsRolled]: () => this.#roll(hosts, forMs * ROLL_SHARE),
      [WideFaultKind.hostsStruck]: () => this.#strike(hosts, forMs),
      [WideFaultKind.hostsStruckInSilence]: () => this.#strikeInSilence(hosts, forMs),
      [WideFaultKind.domainCut]: () => this.#cutDomain(fault),
      [WideFaultKind.domainSilenced]: () => this.#silenceDomain(fault),
      [WideFaultKind.storeSlow]: () => this.#slowStore(forMs),
      [WideFaultKind.ordersLate]: () => this.#delayOrders(fault),
    };
    await actions[kind]();
  }

  #someHosts({ point }: Fault): readonly SoakHost[] {
    const { hosts } = this.#site;
    const count = LEAST_HOSTS + Math.floor(derive(point, 1) * (MOST_HOSTS - LEAST_HOSTS + 1));
    const stride = STRIDES[Math.floor(derive(point, 2) * STRIDES.length)] ?? 1;
    const first = Math.floor(point * hosts.length);
    const indexes = Array.from({ length: count }, (_, index) => first + index * stride);
    return indexes.flatMap((index) => hosts[index % hosts.length] ?? []);
  }

  async #all(hosts: readonly SoakHost[], action: (host: SoakHost) => Promise<void>): Promise<void> {
    await Promise.all(hosts.map((host) => this.#withHost(host, () => action(host))));
  }

  async #roll(hosts: readonly SoakHost[], gapMs: number): Promise<void> {
    const restarts = hosts.map(async (host, index) => {
      await sleep(index * gapMs);
      await this.#withHost(host, () => this.#restart(host));
    });
    await Promise.all(restarts);
  }

  async #strike(hosts: readonly SoakHost[], forMs: number): Promise<void> {
    const strikes = hosts.map((host, index) => {
      if (index % 3 === 0) return this.#withHost(host, () => host.kill(forMs));
      if (index % 3 === 1) return this.#withHost(host, () => host.pause(forMs));
      return host.peerProxy.silence();
    });
    await Promise.all(strikes);
  }

  async #strikeInSilence(hosts: readonly SoakHost[], forMs: number): Promise<void> {
    this.#site.hosts.forEach(({ peerProxy }) => peerProxy.silence());
    await sleep(forMs * SILENCE_SHARE);
    await this.#strike(hosts, forMs);
  }

  /** Kills a host whose connections through proxies are not closed: its machine is gone. */
  async #lose(host: SoakHost, forMs: number): Promise<void> {
    const { sourceAddress, peerProxy } = host;
    const proxies = this.#proxies();
    proxies.forEach((proxy) => proxy.block([sourceAddress]));
    peerProxy.cut([Direction.forward, Direction.backward]);
    await host.lose(forMs, () => {
      proxies.forEach((proxy) => {
        proxy.reset([sourceAddress]);
        proxy.unblock([sourceAddress]);
      });
      peerProxy.reset();
      peerProxy.heal();
    });
  }

  /** Cuts a domain off from the hosts of the others and, at times, from the store. */
  async #cutDomain(fault: Fault): Promise<void> {
    const { hosts } = this.#site;
    const domain = this.#domainOf(fault);
    const cuts = this.#crossings(domain);
    const stores = hosts.filter((host) => host.domain === domain && derive(fault.point, 3) < 0.5);
    cuts.forEach(({ proxy, sources }) => proxy.block(sources));
    stores.forEach(({ storeProxy, sourceAddress }) => storeProxy.block([sourceAddress]));
    await sleep(fault.forMs);
    cuts.forEach(({ proxy, sources }) => proxy.unblock(sources));
    stores.forEach(({ storeProxy, sourceAddress }) => storeProxy.unblock([sourceAddress]));
  }

  /** Silences what is open between a domain and the others, at times between all hosts. */
  async #silenceDomain(fault: Fault): Promise<void> {
    const { hosts } = this.#site;
    if (derive(fault.point, 4) < 0.5) hosts.forEach(({ peerProxy }) => peerProxy.silence());
    else {
      this.#crossings(this.#domainOf(fault)).forEach(({ proxy, sources }) =>
        proxy.silence(sources),
      );
    }
  }

  async #slowStore(forMs: number): Promise<void> {
    const { hosts } = this.#site;
    hosts.forEach(({ storeProxy }) => storeProxy.setDelay(forMs * DELAY_SHARE));
    await sleep(forMs);
    hosts.forEach(({ storeProxy }) => storeProxy.heal());
  }

  async #delayOrders({ point, forMs }: Fault): Promise<void> {
    const { workers } = this.#site;
    const slow = workers.filter((_, index) => derive(point, index + 5) < WORKER_SHARE);
    let orders = 0;
    const delayMs = () => {
      orders += 1;
      if (derive(point, 100 + orders) > LATE_SHARE) return 0;
      return LATE_LEAST_MS + derive(point, 200 + orders) * (LATE_MOST_MS - LATE_LEAST_MS);
    };
    slow.forEach(({ worker }) => worker.delayOrders(delayMs));
    await sleep(forMs);
    slow.forEach(({ worker }) => worker.delayOrders(null));
  }

  #domainOf({ point }: Fault): string {
    const { hosts } = this.#site;
    return hosts[Math.floor(point * hosts.length)]?.domain ?? '';
  }

  #proxies(): readonly FaultProxy[] {
    const { hosts, workers } = this.#site;
    return [...hosts.map(({ peerProxy }) => peerProxy), ...workers.map(({ proxy }) => proxy)];
  }

  /** The proxies of hosts and workers, with the sources on the other side of a domain's border. */
  #crossings(domain: string): readonly { proxy: FaultProxy; sources: readonly string[] }[] {
    const { hosts, workers } = this.#site;
    const targets = [
      ...hosts.map((host) => ({ proxy: host.peerProxy, domain: host.domain })),
      ...workers.map(({ proxy, worker }) => ({ proxy, domain: worker.domain })),
    ];
    return targets.map((target) => {
      const others = hosts.filter(
        (host) => (host.domain === domain) !== (target.domain === domain),
      );
      return { proxy: target.proxy, sources: others.map(({ sourceAddress }) => sourceAddress) };
    });
  }
}
