/**
 * Hosts around one store in virtual time, by the world of the configuration tests: hosts 1 and 2 are
 * relays. After each step it checks that no host has gone back to an older configuration.
 */
import { expect } from 'earl';
import { isNewer, type ConfigurationRecord, type PublishOutcome } from '../../../src/configuration';
import { World } from '../../configuration/world';

const SEED = 7;
const TICK_MS = 1000;
/** More messages than the hosts of a scenario ever have in flight. */
const DELIVERIES = 500;

/** Hosts and their store. */
export class Hosts {
  readonly world: World;

  /** Of how many messages one is lost; 0 loses none. */
  loseOneOf = 0;

  readonly #count: number;

  /** What each host has had in force at the last look. */
  #last: readonly (ConfigurationRecord | null)[];

  #sent = 0;

  #round = 0;

  constructor(count: number) {
    this.#count = count;
    this.world = new World(count, SEED);
    this.#last = this.world.records;
  }

  get outcomes(): readonly PublishOutcome[] {
    return [...this.world.outcomes.values()];
  }

  get generations(): readonly number[] {
    return this.world.records.map((record) => record?.generation ?? 0);
  }

  /** Publishes on some hosts at once; hosts count from 1. */
  async publish(ordinals: readonly number[]): Promise<void> {
    await this.world.publish(
      ordinals.map((each) => each - 1),
      true,
    );
    this.look();
  }

  async seconds(count: number): Promise<void> {
    if (count <= 0) return;
    await this.#second();
    await this.seconds(count - 1);
  }

  restart(ordinal: number): void {
    this.world.restart(ordinal - 1);
    this.#last = this.#last.map((record, index) => (index === ordinal - 1 ? null : record));
  }

  /** Fails if a host has gone back since the last look. */
  look(): void {
    const now = this.world.records;
    this.#last.forEach((before, index) => {
      const after = now[index] ?? null;
      const wentBack = before !== null && (after === null || isNewer(before, after));
      expect(wentBack ? `host ${index + 1} went back` : 'forward').toEqual('forward');
    });
    this.#last = now;
  }

  /** After all faults have ended, all hosts agree, and what operators were told is true. */
  async checkAtEnd(): Promise<void> {
    this.loseOneOf = 0;
    await this.world.settle();
    this.look();
    const { stored, seen, overridden, outcomes, records } = this.world;
    records.forEach((record) => expect(record).toEqual(stored));
    const ids = (...wanted: readonly string[]) =>
      [...outcomes].filter(([, { outcome }]) => wanted.includes(outcome)).map(([id]) => id);
    const kept = new Set([...(stored?.history ?? []), ...overridden]);
    expect(ids('published').filter((id) => !kept.has(id))).toEqual([]);
    expect(ids('lostRace', 'unavailable').filter((id) => seen.has(id))).toEqual([]);
  }

  async #second(): Promise<void> {
    this.#round += 1;
    const ordinals = Array.from({ length: this.#count }, (_, index) => index);
    await Promise.all(ordinals.map((host) => this.world.read(host)));
    ordinals.forEach((host) => this.world.tick(host, host === 0 ? TICK_MS : 0));
    ordinals.forEach((host) => this.world.gossip((host + this.#round) % this.#count, host));
    Array.from({ length: DELIVERIES }).forEach(() => this.#deliver());
    await Promise.all(ordinals.map((host) => this.world.read(host)));
    this.look();
  }

  #deliver(): void {
    this.#sent += 1;
    const isLost = this.loseOneOf > 0 && this.#sent % this.loseOneOf === 0;
    this.world.deliver(0, isLost ? 0 : 1);
  }
}
