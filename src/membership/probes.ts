/** Direct and indirect probes in progress, and the order in which members are probed. */
import type { RandomSource } from '../core/clock';

/** A ping whose `ack` has not arrived yet. */
export interface Probe {
  readonly nonce: number;
  /** Null when only the address is known. */
  readonly hostId: string | null;
  readonly startedAtMs: number;
  /** Whether the member becomes suspect if the probe fails. */
  readonly suspectOnFailure: boolean;
  /** Members that were asked to probe the target on behalf of this host. */
  readonly helpers: readonly string[];
}

/** A ping sent on behalf of another member. */
export interface IndirectProbe {
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
    const swapIndex = Math.floor(random.next() * (last + 1));
    const value = result[last] as T;
    result[last] = result[swapIndex] as T;
    result[swapIndex] = value;
  }
  return result;
};

/** Probes in progress by nonce. */
export class Probes {
  readonly #random: RandomSource;

  readonly #probes = new Map<number, Probe>();

  readonly #indirectProbes = new Map<number, IndirectProbe>();

  #nonce: number;

  #remainingHostIds: string[] = [];

  constructor(random: RandomSource) {
    this.#random = random;
    this.#nonce = Math.floor(random.next() * NONCE_LIMIT);
  }

  /** Starts a probe and returns its nonce. */
  start(hostId: string | null, suspectOnFailure: boolean, nowMs: number): number {
    const nonce = this.#nextNonce();
    this.#probes.set(nonce, {
      nonce,
      hostId,
      startedAtMs: nowMs,
      suspectOnFailure,
      helpers: [],
    });
    return nonce;
  }

  /** Starts a probe on behalf of another member and returns its nonce. */
  startIndirect(indirectProbe: IndirectProbe): number {
    const nonce = this.#nextNonce();
    this.#indirectProbes.set(nonce, indirectProbe);
    return nonce;
  }

  /** Whether a probe is in progress whose failure would make the member suspect. */
  isProbing(hostId: string): boolean {
    return [...this.#probes.values()].some(
      (probe) => probe.suspectOnFailure && probe.hostId === hostId,
    );
  }

  /** Records the members that were asked to probe the target. */
  setHelpers(probe: Probe, helpers: readonly string[]): void {
    this.#probes.set(probe.nonce, { ...probe, helpers });
  }

  /** Direct probes that have been in progress for at least `ageMs`. */
  olderThan(ageMs: number, nowMs: number): readonly Probe[] {
    return [...this.#probes.values()].filter(({ startedAtMs }) => nowMs - startedAtMs >= ageMs);
  }

  /**
   * Completes a probe and returns it. Returns null if the nonce is unknown, or if the answer comes
   * neither from the target nor from a helper and so does not prove that the target is running.
   */
  complete(nonce: number, fromId: string): Probe | null {
    const probe = this.#probes.get(nonce);
    if (probe === undefined) return null;
    const { hostId, helpers } = probe;
    if (hostId !== null && hostId !== fromId && !helpers.includes(fromId)) return null;
    this.#probes.delete(nonce);
    return probe;
  }

  /** Completes an indirect probe and returns it; null if the answer is not from its target. */
  completeIndirect(nonce: number, fromId: string): IndirectProbe | null {
    const indirectProbe = this.#indirectProbes.get(nonce);
    if (indirectProbe === undefined || indirectProbe.targetId !== fromId) return null;
    this.#indirectProbes.delete(nonce);
    return indirectProbe;
  }

  /** Removes a probe that was not answered. */
  cancel(nonce: number): void {
    this.#probes.delete(nonce);
  }

  /** Removes indirect probes that are too old to be of use to the requester. */
  expireIndirect(ageMs: number, nowMs: number): void {
    this.#indirectProbes.forEach(({ startedAtMs }, nonce) => {
      if (nowMs - startedAtMs >= ageMs) this.#indirectProbes.delete(nonce);
    });
  }

  /** Removes all probes in progress. */
  clear(): void {
    this.#probes.clear();
    this.#indirectProbes.clear();
  }

  /**
   * The next member to probe. All members are probed in random order, then again in a new random
   * order.
   */
  next(hostIds: readonly string[]): string | null {
    const eligible = new Set(hostIds);
    let next = this.#remainingHostIds.pop();
    while (next !== undefined && !eligible.has(next)) next = this.#remainingHostIds.pop();
    if (next !== undefined || hostIds.length === 0) return next ?? null;
    this.#remainingHostIds = shuffled(hostIds, this.#random);
    return this.#remainingHostIds.pop() ?? null;
  }

  /** Makes a member the next one to probe. */
  prioritize(hostId: string): void {
    this.#remainingHostIds.push(hostId);
  }

  #nextNonce(): number {
    this.#nonce = (this.#nonce + 1) % NONCE_LIMIT;
    return this.#nonce;
  }
}
