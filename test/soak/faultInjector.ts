/** Carries out the faults of a plan. */
import { setTimeout as sleep } from 'node:timers/promises';
import { FaultKind, PlannedKind, WideFaultKind, type Fault } from './faultPlan';
import { Direction, type FaultProxy } from './faultProxy';
import type { Invariants } from './invariants';
import type { SoakHost } from './soakHost';
import type { SoakSite } from './soakSite';
import { WideFaults } from './wideFaults';

const BOTH = [Direction.forward, Direction.backward];
/** Delay of each chunk, as a share of the fault's time. */
const DELAY_SHARE = 0.1;

/** Time of a drain, over that of the fault: longer than hosts may take to learn of it. */
const DRAIN_FACTOR = 4;

const WIDE_KINDS: ReadonlySet<string> = new Set(Object.values(WideFaultKind));

function isWide(kind: Fault['kind']): kind is WideFaultKind {
  return WIDE_KINDS.has(kind);
}

function pick<T>(items: readonly T[], point: number): T {
  return items[Math.floor(point * items.length)] as T;
}

/** Holds a fault for its time. */
async function hold(fault: Fault, begin: () => void, end: () => void): Promise<void> {
  begin();
  await sleep(fault.forMs);
  end();
}

/** Causes faults at a site. */
export class FaultInjector {
  readonly #site: SoakSite;

  readonly #invariants: Invariants;

  /** A host goes through one restart, kill or pause at a time. */
  readonly #busy = new Map<SoakHost, Promise<unknown>>();

  readonly #wide: WideFaults;

  #version = 1;

  /** Drains in progress by domain. */
  readonly #drains = new Map<string, number>();

  constructor(site: SoakSite, invariants: Invariants) {
    this.#site = site;
    this.#invariants = invariants;
    this.#wide = new WideFaults(
      site,
      (host, action) => this.#withHost(host, action),
      (host) => this.#restart(host),
    );
  }

  /** Causes a fault and returns when it is over. */
  async cause(fault: Fault): Promise<void> {
    this.#invariants.faultBegins(fault);
    if (fault.kind === PlannedKind.domainDrained) await this.#drain(fault);
    else if (isWide(fault.kind)) await this.#wide.cause(fault.kind, fault);
    else await this.#causeOne(fault.kind, fault);
  }

  async #causeOne(kind: FaultKind, fault: Fault): Promise<void> {
    const { store, workers, hosts } = this.#site;
    const host = pick(hosts, fault.point);
    const { worker, proxy: workerProxy } = pick(workers, fault.point);
    const flag = (name: keyof typeof store.faults) =>
      hold(
        fault,
        () => {
          store.faults[name] = true;
        },
        () => {
          store.faults[name] = false;
        },
      );
    const cut = (proxy: FaultProxy, directions: readonly Direction[]) =>
      hold(
        fault,
        () => proxy.cut(directions),
        () => proxy.heal(),
      );
    const delay = (proxy: FaultProxy) =>
      hold(
        fault,
        () => proxy.setDelay(fault.forMs * DELAY_SHARE),
        () => proxy.heal(),
      );
    const actions: Record<FaultKind, () => Promise<unknown> | void> = {
      [FaultKind.hostKilled]: () => this.#withHost(host, () => host.kill()),
      [FaultKind.hostPaused]: () => this.#withHost(host, () => host.pause(fault.forMs)),
      [FaultKind.hostRestarted]: () => this.#withHost(host, () => this.#restart(host)),
      [FaultKind.hostReloaded]: () => host.reload(),
      [FaultKind.configurationChanged]: () => this.#changeConfiguration(),
      [FaultKind.storeBusy]: () => flag('busy'),
      [FaultKind.storeSilent]: () => flag('silent'),
      [FaultKind.storeLosesAnswers]: () => flag('losesWriteAnswers'),
      [FaultKind.storeForgets]: () => flag('forgetsHistory'),
      [FaultKind.storeCut]: () => cut(host.storeProxy, BOTH),
      [FaultKind.peersCut]: () => cut(host.peerProxy, BOTH),
      [FaultKind.peersReset]: () => host.peerProxy.reset(),
      [FaultKind.peersSilenced]: () => host.peerProxy.silence(),
      [FaultKind.peersDelayed]: () => delay(host.peerProxy),
      [FaultKind.workerCut]: () => cut(workerProxy, BOTH),
      [FaultKind.workerCutOneWay]: () => cut(workerProxy, [Direction.backward]),
      [FaultKind.workerReset]: () => workerProxy.reset(),
      [FaultKind.workerSilenced]: () => workerProxy.silence(),
      [FaultKind.workerDelayed]: () => delay(workerProxy),
      [FaultKind.workerCrashed]: () => worker.crash(),
    };
    await actions[kind]();
  }

  /** Drains a domain; it is taken back when the last of its drains is over. */
  async #drain({ point, forMs }: Fault): Promise<void> {
    const { domain } = pick(this.#site.hosts, point);
    const key = `op/evacuate/${domain}`;
    const count = () => this.#drains.get(domain) ?? 0;
    this.#drains.set(domain, count() + 1);
    if (count() === 1) {
      this.#site.store.put(key, '{}');
      this.#invariants.drainBegins(domain);
    }
    await sleep(forMs * DRAIN_FACTOR);
    this.#drains.set(domain, count() - 1);
    if (count() > 0) return;
    this.#invariants.drainEnds(domain);
    this.#site.store.remove(key);
  }

  #changeConfiguration(): void {
    this.#version += 1;
    this.#site.putConfiguration(this.#version);
  }

  async #restart(host: SoakHost): Promise<void> {
    const wrong = await host.restart();
    if (wrong) this.#invariants.note(wrong);
  }

  async #withHost(host: SoakHost, action: () => Promise<void>): Promise<void> {
    const before = this.#busy.get(host) ?? Promise.resolve();
    const turn = before.then(action);
    this.#busy.set(host, turn);
    await turn;
  }
}
