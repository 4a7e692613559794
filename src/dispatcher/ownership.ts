/**
 * Decides when this host claims a cell. A cell is vacant when its owner does not answer, is leaving, or
 * has started anew. Hosts of the cell's own domain claim first; others only when none of them does. A
 * wrong claim is harmless: the store lets one claim win, and workers obey the newest owner.
 */
import type { RandomSource } from '../core/clock';
import type { CellRecord, HostIdentity } from './cellRecord';

/** How a cell's owner looks from here. */
export const OwnerHealth = {
  serving: 'serving',
  /** No answer yet, but too early to tell. */
  unknown: 'unknown',
  /** It shuts down; what it has begun goes on until another host takes over. */
  leaving: 'leaving',
  gone: 'gone',
} as const;
export type OwnerHealth = (typeof OwnerHealth)[keyof typeof OwnerHealth];

/** Claims by hosts of one domain are spread over this time, so that most of them see the first. */
const LOCAL_SPREAD_MS = 60;
/** Hosts of other domains leave the domain's own hosts this long. */
const REMOTE_DELAY_MS = 2000;
const REMOTE_SPREAD_MS = 500;
/** A host that has just started does not take a cell back from another domain's host. */
const TAKE_BACK_AFTER_MS = 3000;
/** Time between two claims of the same cell. */
const CLAIM_AGAIN_MS = 250;

interface Watch {
  readonly vacantSinceMs: number;
  readonly claimAtMs: number;
}

/** Claims of one host. */
export class Ownership {
  readonly #self: HostIdentity;

  readonly #random: RandomSource;

  readonly #startedAtMs: number;

  readonly #watches = new Map<string, Watch>();

  constructor(self: HostIdentity, random: RandomSource, nowMs: number) {
    this.#self = self;
    this.#random = random;
    this.#startedAtMs = nowMs;
  }

  /** True if this host should claim the cell now. */
  shouldClaim(
    cell: string,
    record: CellRecord | null,
    health: OwnerHealth,
    nowMs: number,
  ): boolean {
    if (record && this.isSelf(record.owner)) return this.#calm(cell);
    const isVacant = health === OwnerHealth.gone || health === OwnerHealth.leaving;
    if (record && !isVacant) {
      return this.#shouldTakeBack(cell, record, health, nowMs);
    }
    return this.#isDue(cell, nowMs, this.#delayMs(cell));
  }

  isSelf({ hostId, incarnation }: HostIdentity): boolean {
    return hostId === this.#self.hostId && incarnation === this.#self.incarnation;
  }

  #calm(cell: string): false {
    this.#watches.delete(cell);
    return false;
  }

  /** An owner of another domain gives the cell back to a host of its own domain. */
  #shouldTakeBack(cell: string, record: CellRecord, health: OwnerHealth, nowMs: number): boolean {
    const isForeign = record.owner.domain !== cell && this.#self.domain === cell;
    const isSettled = nowMs - this.#startedAtMs >= TAKE_BACK_AFTER_MS;
    if (!isForeign || !isSettled || health !== OwnerHealth.serving) return this.#calm(cell);
    return this.#isDue(cell, nowMs, TAKE_BACK_AFTER_MS + this.#spread(LOCAL_SPREAD_MS));
  }

  #delayMs(cell: string): number {
    if (this.#self.domain === cell) return this.#spread(LOCAL_SPREAD_MS);
    return REMOTE_DELAY_MS + this.#spread(REMOTE_SPREAD_MS);
  }

  #spread(mostMs: number): number {
    return this.#random.next() * mostMs;
  }

  #isDue(cell: string, nowMs: number, delayMs: number): boolean {
    const watch = this.#watches.get(cell) ?? { vacantSinceMs: nowMs, claimAtMs: nowMs + delayMs };
    const due = nowMs >= watch.claimAtMs;
    this.#watches.set(cell, due ? { ...watch, claimAtMs: nowMs + CLAIM_AGAIN_MS } : watch);
    return due;
  }
}
