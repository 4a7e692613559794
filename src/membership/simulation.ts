/**
 * Discrete-event simulation of several hosts running `Membership` over a network with latency, loss
 * and partitions, and with pauses of hosts. Deterministic for a given seed. Used by tests and
 * benchmarks.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import TinyQueue from 'tinyqueue';
import type { RandomSource } from '../core/clock';
import { MemberState, type Member, type MembershipMessage } from '../core/messages';
import type { PeerOrigin } from '../peers/transport';
import type { MembershipAction } from './actions';
import { Membership } from './membership';

const TICK_MS = 20;
const ONE_WAY_LATENCY_MS = 0.5;

/** Deterministic random numbers in [0, 1). */
export const seededRandom = (seed: number): RandomSource => {
  const generator = xoroshiro128plus(seed);
  return { next: () => uniformFloat64(generator) };
};

interface SimulatedHost {
  readonly origin: PeerOrigin;
  readonly address: string;
  readonly membership: Membership;
  readonly nextTickMs: number;
}

interface Delivery {
  readonly atMs: number;
  readonly order: number;
  readonly from: PeerOrigin;
  readonly to: string;
  readonly message: MembershipMessage;
}

/** Called with every action of every host. */
export type Observer = (hostId: string, action: MembershipAction, nowMs: number) => void;

/** Wraps each call of a `Membership`; `measure.ts` uses it to measure CPU time. */
export type Runner = <T>(call: () => T) => T;

/** Simulated network of hosts. The peer address of host `x` is `x:1`. */
export class Simulation {
  readonly #random: RandomSource;

  readonly #observe: Observer;

  readonly #runner: Runner;

  readonly #hosts = new Map<string, SimulatedHost>();

  readonly #pausedUntilMs = new Map<string, number>();

  readonly #deliveries = new TinyQueue<Delivery>(
    [],
    (a, b) => a.atMs - b.atMs || a.order - b.order,
  );

  #groupOf = new Map<string, number>();

  #lossFraction = 0;

  #deliveryCount = 0;

  #nowMs = 0;

  /** Cached result of `agreed`; null after a view has changed. */
  #agreed: boolean | null = null;

  constructor(
    seed: number,
    observe: Observer = () => undefined,
    runner: Runner = (call) => call(),
  ) {
    this.#random = seededRandom(seed);
    this.#observe = observe;
    this.#runner = runner;
  }

  /** Current virtual time. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** Ids of the running hosts. */
  get hostIds(): readonly string[] {
    return [...this.#hosts.keys()];
  }

  /** Starts a host, or restarts it with a new incarnation. */
  start(hostId: string, incarnation: string, seeds: readonly string[], domain = 'd'): void {
    const address = `${hostId}:1`;
    const self: Member = {
      hostId,
      incarnation,
      domain,
      peerAddress: address,
      state: MemberState.alive,
      sequence: 0,
    };
    const seedAddresses = seeds.map((seed) => `${seed}:1`);
    this.#pausedUntilMs.delete(hostId);
    this.#agreed = null;
    this.#hosts.set(hostId, {
      origin: { hostId, incarnation },
      address,
      membership: new Membership(self, seedAddresses, this.#random),
      nextTickMs: this.#nowMs + this.#random.next() * TICK_MS,
    });
  }

  /** Stops a host without an announcement, as in a crash. */
  kill(hostId: string): void {
    this.#hosts.delete(hostId);
    this.#agreed = null;
  }

  /** Pauses a host. Messages to it are delivered after the pause, as from socket buffers. */
  pause(hostId: string, durationMs: number): void {
    this.#pausedUntilMs.set(hostId, this.#nowMs + durationMs);
  }

  /** Sets the fraction of messages that are lost. */
  setLossFraction(fraction: number): void {
    this.#lossFraction = fraction;
  }

  /** Splits the hosts into groups that cannot reach each other. Hosts not listed are in group 0. */
  partition(groups: ReadonlyMap<string, number>): void {
    this.#groupOf = new Map(groups);
  }

  /** Membership of a running host. */
  membership(hostId: string): Membership {
    const host = this.#hosts.get(hostId);
    if (host === undefined) throw new Error(`host ${hostId} is not running`);
    return host.membership;
  }

  /** The record that `observer` has of a host, or null if it has none. */
  view(observer: string, hostId: string): Member | null {
    const members = this.membership(observer).members();
    return members.find((member) => member.hostId === hostId) ?? null;
  }

  /** Whether at every running host, exactly the running hosts are alive or leaving. */
  agreed(): boolean {
    this.#agreed ??= this.#compareViews();
    return this.#agreed;
  }

  /** Calls the membership of a host, for example `leave`, and executes the returned actions. */
  callMembership(
    hostId: string,
    call: (membership: Membership) => readonly MembershipAction[],
  ): void {
    const host = this.#hosts.get(hostId);
    if (host !== undefined) this.#executeActions(host, call(host.membership));
  }

  /** Advances virtual time by `durationMs`, or until `until` holds; returns the time reached. */
  run(durationMs: number, until: () => boolean = () => false): number {
    const endMs = this.#nowMs + durationMs;
    while (this.#nowMs < endMs && !until()) this.#step(endMs);
    return this.#nowMs;
  }

  #compareViews(): boolean {
    const running = this.hostIds.toSorted().join();
    return this.hostIds.every((hostId) => {
      const present = this.membership(hostId)
        .members()
        .filter(({ state }) => state === MemberState.alive || state === MemberState.leaving)
        .map((member) => member.hostId);
      return present.toSorted().join() === running;
    });
  }

  #step(endMs: number): void {
    const host = this.#nextHost();
    const tickMs = host === null ? endMs : this.#nextWakeMs(host);
    const delivery = this.#deliveries.peek();
    if (delivery !== undefined && delivery.atMs <= Math.min(tickMs, endMs)) {
      this.#deliveries.pop();
      this.#nowMs = Math.max(this.#nowMs, delivery.atMs);
      this.#deliver(delivery);
    } else if (host !== null && tickMs <= endMs) {
      this.#nowMs = Math.max(this.#nowMs, tickMs);
      this.#hosts.set(host.origin.hostId, { ...host, nextTickMs: this.#nowMs + TICK_MS });
      this.#executeActions(
        host,
        this.#runner(() => host.membership.tick(this.#nowMs)),
      );
    } else {
      this.#nowMs = endMs;
    }
  }

  #nextWakeMs(host: SimulatedHost): number {
    return Math.max(host.nextTickMs, this.#pausedUntilMs.get(host.origin.hostId) ?? 0);
  }

  #nextHost(): SimulatedHost | null {
    let next: SimulatedHost | null = null;
    let nextMs = Infinity;
    this.#hosts.forEach((host) => {
      const wakeMs = this.#nextWakeMs(host);
      if (wakeMs < nextMs) {
        next = host;
        nextMs = wakeMs;
      }
    });
    return next;
  }

  #deliver(delivery: Delivery): void {
    const host = [...this.#hosts.values()].find(({ address }) => address === delivery.to);
    if (host === undefined) return;
    const pausedUntilMs = this.#pausedUntilMs.get(host.origin.hostId) ?? 0;
    if (pausedUntilMs > this.#nowMs) {
      this.#deliveries.push({ ...delivery, atMs: pausedUntilMs });
      return;
    }
    const actions = this.#runner(() =>
      host.membership.receive(delivery.from, delivery.message, this.#nowMs),
    );
    this.#executeActions(host, actions);
  }

  #executeActions(host: SimulatedHost, actions: readonly MembershipAction[]): void {
    actions.forEach((action) => {
      this.#observe(host.origin.hostId, action, this.#nowMs);
      if (action.type === 'membersChanged') this.#agreed = null;
      if (action.type !== 'send' || this.#isLost(host.address, action.address)) return;
      this.#deliveryCount += 1;
      this.#deliveries.push({
        atMs: this.#nowMs + ONE_WAY_LATENCY_MS,
        order: this.#deliveryCount,
        from: host.origin,
        to: action.address,
        message: action.message,
      });
    });
  }

  #isLost(from: string, to: string): boolean {
    const group = (address: string): number =>
      this.#groupOf.get(address.slice(0, address.lastIndexOf(':'))) ?? 0;
    return group(from) !== group(to) || this.#random.next() < this.#lossFraction;
  }
}
