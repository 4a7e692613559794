/** Probes in progress, and the order in which members are probed. */
import type { RandomSource } from '../core/clock';

/** A ping that waits for its `ack`. */
export interface Probe {
  readonly nonce: number;
  /** Null when only the address is known. */
  readonly hostId: string | null;
  readonly startedAtMs: number;
  /** Whether a failure makes the member a suspect. */
  readonly judged: boolean;
  /** Members that were asked to probe on this host's behalf. */
  readonly helpers: readonly string[];
}

/** A ping sent on behalf of another member. */
export interface Relay {
  readonly targetId: string;
  readonly requesterId: string;
  readonly requesterNonce: number;
  readonly startedAtMs: number;
}

/** Nonces are 32 bits on the wire. */
const NONCE_LIMIT = 2 ** 32;

/** Random permutation (Fisher-Yates). */
export const shuffled = <T>(values: readonly T[], random: RandomSource): T[] => {
  const result = [...values];
  for (let last = result.length - 1; last > 0; last -= 1) {
    const other = Math.floor(random.next() * (last + 1));
    const value = result[last] as T;
    result[last] = result[other] as T;
    result[other] = value;
  }
  return result;
};

/** Probes and relays by nonce. */
export class Probes {
  readonly #random: RandomSource;

  readonly #probes = new Map<number, Probe>();

  readonly #relays = new Map<number, Relay>();

  #nonce: number;

  #order: string[] = [];

  constructor(random: RandomSource) {
    this.#random = random;
    this.#nonce = Math.floor(random.next() * NONCE_LIMIT);
  }

  /** Starts a probe and returns its nonce. */
  start(hostId: string | null, judged: boolean, nowMs: number): number {
    const nonce = this.#nextNonce();
    this.#probes.set(nonce, { nonce, hostId, startedAtMs: nowMs, judged, helpers: [] });
    return nonce;
  }

  /** Starts a relayed probe and returns its nonce. */
  startRelay(relay: Relay): number {
    const nonce = this.#nextNonce();
    this.#relays.set(nonce, relay);
    return nonce;
  }

  /** Whether a probe that will judge the member is in progress. */
  isProbing(hostId: string): boolean {
    return [...this.#probes.values()].some((probe) => probe.judged && probe.hostId === hostId);
  }

  /** Notes the members that were asked to help. */
  help(probe: Probe, helpers: readonly string[]): void {
    this.#probes.set(probe.nonce, { ...probe, helpers });
  }

  /** Probes older than the time given. */
  olderThan(ageMs: number, nowMs: number): readonly Probe[] {
    return [...this.#probes.values()].filter(({ startedAtMs }) => nowMs - startedAtMs >= ageMs);
  }

  /** Ends a probe if the sender's answer proves that its target runs. */
  answer(nonce: number, fromId: string): Probe | null {
    const probe = this.#probes.get(nonce);
    if (probe === undefined) return null;
    const { hostId, helpers } = probe;
    if (hostId !== null && hostId !== fromId && !helpers.includes(fromId)) return null;
    this.#probes.delete(nonce);
    return probe;
  }

  /** Ends a relayed probe. */
  answerRelay(nonce: number, fromId: string): Relay | null {
    const relay = this.#relays.get(nonce);
    if (relay === undefined || relay.targetId !== fromId) return null;
    this.#relays.delete(nonce);
    return relay;
  }

  /** Ends a probe without an answer. */
  drop(nonce: number): void {
    this.#probes.delete(nonce);
  }

  /** Drops relayed probes that can't help any more. */
  expireRelays(ageMs: number, nowMs: number): void {
    this.#relays.forEach(({ startedAtMs }, nonce) => {
      if (nowMs - startedAtMs >= ageMs) this.#relays.delete(nonce);
    });
  }

  /** Drops everything in progress. */
  clear(): void {
    this.#probes.clear();
    this.#relays.clear();
  }

  /** Next member to probe: all members in random order, then again in another order. */
  next(hostIds: readonly string[]): string | null {
    const eligible = new Set(hostIds);
    let next = this.#order.pop();
    while (next !== undefined && !eligible.has(next)) next = this.#order.pop();
    if (next !== undefined || hostIds.length === 0) return next ?? null;
    this.#order = shuffled(hostIds, this.#random);
    return this.#order.pop() ?? null;
  }

  /** Makes a member the next one to be probed. */
  putFirst(hostId: string): void {
    this.#order.push(hostId);
  }

  #nextNonce(): number {
    this.#nonce = (this.#nonce + 1) % NONCE_LIMIT;
    return this.#nonce;
  }
}
