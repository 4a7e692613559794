/** Simulates several hosts with one store; messages can be lost, duplicated and reordered. */
import { expect } from 'earl';
import {
  ConfigurationReplica,
  decodeRecord,
  isNewer,
  publish,
  type ConfigurationRecord,
  type PublishOutcome,
  type ReplicaAction,
} from '../../src/configuration';
import type { ConfigurationMessage } from '../../src/core/messages';
import { MemoryStore } from '../../src/standins/storeMemory';
import { sampleText } from './samples';

const KEY = '/wasabiyoke/x/configuration';
const RELAYS = 2;

interface Envelope {
  readonly from: number;
  readonly to: number;
  readonly message: ConfigurationMessage;
}

/** Linear congruential generator of numbers in [0, 1). */
function createRandom(seed: number) {
  let state = seed % 2 ** 32;
  return {
    next() {
      state = (state * 1664525 + 1013904223) % 2 ** 32;
      return state / 2 ** 32;
    },
  };
}

async function yieldMicrotasks(count: number): Promise<void> {
  if (count <= 0) return;
  await null;
  await yieldMicrotasks(count - 1);
}

/** Simulation of the hosts and the store, with the outcomes reported to operators. */
export class World {
  readonly store: MemoryStore;

  readonly outcomes = new Map<string, PublishOutcome>();

  /** Publication ids reported to operators as overridden. */
  readonly overridden = new Set<string>();

  /** Publication ids of all records that were in force on some host. */
  readonly seen = new Set<string>();

  readonly #random: { next(): number };

  readonly #hosts: ConfigurationReplica[];

  #inFlight: readonly Envelope[] = [];

  #nowMs = 0;

  #published = 0;

  #planned: readonly { readonly steps: number; readonly fault: () => unknown }[] = [];

  constructor(hosts: number, seed: number) {
    this.#random = createRandom(seed);
    const wait = async () => {
      await yieldMicrotasks(Math.floor(this.#random.next() * 4));
      this.#step();
    };
    this.store = new MemoryStore({ clock: { nowMs: () => this.#nowMs }, wait });
    this.#hosts = Array.from({ length: hosts }, (_, index) => this.#start(index, hosts));
  }

  get records(): readonly (ConfigurationRecord | null)[] {
    return this.#hosts.map((host) => host.inForce);
  }

  get stored(): ConfigurationRecord | null {
    const value = this.store.state.current(KEY)?.value;
    return value === undefined ? null : decodeRecord(value).unwrap();
  }

  /** Publishes on the given hosts concurrently. */
  async publish(hosts: readonly number[], afterGossip: boolean): Promise<void> {
    if (afterGossip) hosts.forEach((host) => this.gossipTo(host));
    await Promise.all(hosts.map((host) => this.#publish(host)));
  }

  /** Injects a fault after `steps` steps of later store calls. Each call has two steps. */
  plan(steps: number, fault: () => unknown): void {
    this.#planned = [...this.#planned, { steps, fault }];
  }

  /** Sends a host the generations of all others, as membership does continuously. */
  gossipTo(to: number): void {
    this.#hosts.forEach((host, from) => this.gossip(from, to, host.generation));
  }

  gossip(from: number, to: number, generation = this.#host(from).generation): void {
    this.#perform(to, this.#host(to).onGeneration(String(from), generation, this.#nowMs));
  }

  async read(host: number): Promise<void> {
    const read = await this.store.get(KEY);
    if (host < RELAYS && read.ok) {
      await this.#perform(host, this.#host(host).onStoreEntry(read.val));
    }
  }

  tick(host: number, passedMs: number): void {
    this.#nowMs += passedMs;
    this.#perform(host, this.#host(host).onTick(this.#nowMs));
  }

  /** Removes one message from the queue and delivers it `times` times. */
  deliver(index: number, times: number): void {
    const envelope = this.#inFlight[index % Math.max(1, this.#inFlight.length)];
    if (!envelope) return;
    this.#inFlight = this.#inFlight.filter((other) => other !== envelope);
    Array.from({ length: times }).forEach(() => this.#take(envelope));
  }

  /** Returns true if hosts other than `except` hold the records of the store and of `except`. */
  isHeldElsewhere(except: number | null): boolean {
    const needed = [this.stored, except === null ? null : this.#host(except).inForce];
    return needed.every((record) =>
      this.#hosts.some(
        ({ inForce }, index) =>
          index !== except && (record === null || (inForce && !isNewer(record, inForce))),
      ),
    );
  }

  /** Replaces a host by a new one without state. */
  restart(host: number): void {
    this.#hosts[host] = this.#start(host, this.#hosts.length);
  }

  /** Repairs the store and exchanges messages until all hosts agree, for at most 30 rounds. */
  async settle(): Promise<void> {
    this.#planned = [];
    this.store.faults.mend();
    this.store.state.readAt(null);
    await this.#settle(30);
  }

  #step(): void {
    const next = this.#planned.map(({ steps, fault }) => ({ steps: steps - 1, fault }));
    this.#planned = next.filter(({ steps }) => steps > 0);
    next.filter(({ steps }) => steps <= 0).forEach(({ fault }) => fault());
  }

  async #settle(rounds: number): Promise<void> {
    if (rounds === 0) return;
    await this.#round();
    const { stored } = this;
    const agreed = this.records.every((record) => record?.publicationId === stored?.publicationId);
    if (!agreed || this.#inFlight.length > 0) await this.#settle(rounds - 1);
  }

  async #round(): Promise<void> {
    await Promise.all(this.#hosts.map((_, host) => this.read(host)));
    this.#hosts.forEach((_, host) => this.tick(host, 2000));
    this.#hosts.forEach((_, host) => this.gossipTo(host));
    Array.from({ length: 100 }).forEach(() => this.deliver(0, 1));
    await yieldMicrotasks(20);
  }

  async #publish(host: number): Promise<void> {
    this.#published += 1;
    const publicationId = `${Math.floor(this.#random.next() * 1000)}-${this.#published}`;
    const replica = this.#host(host);
    const { inForce } = replica;
    const newestHeard = replica.newestHeard(this.#nowMs);
    const outcome = await publish(
      { store: this.store, key: KEY, inForce, newestHeard },
      {
        text: sampleText(0.5),
        file: 'c.ini',
        publicationId,
        publishedBy: String(host),
        publishedAtMs: this.#nowMs,
      },
    );
    this.outcomes.set(publicationId, outcome);
    const record = 'record' in outcome ? outcome.record : null;
    if (record !== null) await this.#perform(host, replica.onPublished(record));
  }

  #take({ from, to, message }: Envelope): void {
    const host = this.#host(to);
    if (message.type === 'configurationPush') {
      this.#perform(to, host.onPush(String(from), message));
    } else this.#perform(to, host.onPull(String(from), message));
  }

  async #perform(host: number, actions: readonly ReplicaAction[]): Promise<void> {
    await Promise.all(actions.map((action) => this.#do(host, action)));
  }

  async #do(from: number, action: ReplicaAction): Promise<void> {
    if (action.type === 'putInForce') this.seen.add(action.record.publicationId);
    else if (action.type === 'reportConflict') {
      action.overridden.history.forEach((id) => this.overridden.add(id));
    } else if (action.type === 'rejectRecord') expect(action.message).toEqual('');
    else if (action.type === 'sendToPeer') this.#send(from, Number(action.hostId), action.message);
    else if (action.type === 'pushToDomain') {
      this.#hosts.forEach((_, to) => this.#send(from, to, action.message));
    } else if (action.type === 'writeBack') {
      const { value, expectedRevision, expectedValue } = action;
      const outcome = await this.store.swap(KEY, value, expectedRevision, expectedValue);
      if (!outcome.ok) return;
      await this.#perform(from, this.#host(from).onStoreEntry(outcome.val.current, false));
    }
  }

  #send(from: number, to: number, message: ConfigurationMessage): void {
    if (from !== to) this.#inFlight = [...this.#inFlight, { from, to, message }];
  }

  #start(host: number, hosts: number): ConfigurationReplica {
    const replica = new ConfigurationReplica(this.#random);
    replica.setRelay(host < RELAYS);
    const peers = Array.from({ length: hosts }, (_, index) => String(index));
    replica.setPeers(peers.filter((peer) => peer !== String(host)));
    return replica;
  }

  #host(index: number): ConfigurationReplica {
    const host = this.#hosts[index];
    if (!host) throw new Error(`no host ${index}`);
    return host;
  }
}
