/**
 * Decides when this host claims a cell. A cell is vacant when its owner does not answer, is leaving, or
 * has started anew. Hosts of the cell's own domain claim first, those with more processor to spare
 * before the others; hosts of other domains only when none of them does. A wrong claim is harmless: the
 * store lets one claim win, and workers obey the newest owner.
 */
import type { RandomSource } from '../core/clock';
import { isSameProcess, type CellRecord, type HostIdentity } from './cellRecord';

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

/** A cell, and what a claim of it depends on. */
export interface CellView {
  readonly cell: string;
  /** Failure domain of the cell. */
  readonly domain: string;
  readonly record: CellRecord | null;
  readonly health: OwnerHealth;
  /** Cells of this domain that the record's owner has. */
  readonly ownerCells: number;
}

/** What this host could do for another cell. */
export interface OwnRoom {
  /** Cells of its domain that it owns. */
  readonly cells: number;
  /** Processor of the strongest host of its domain, in cores. */
  readonly strongestCores: number;
}

/** Claims by hosts of one domain are spread over this time, so that most of them see the first. */
const LOCAL_SPREAD_MS = 60;
/** Head start of the strongest host before one that has nearly no processor. */
const STRONGER_LEAD_MS = 300;
/** Head start before a host that already owns a cell, for each cell. */
const IDLE_LEAD_MS = 120;
/** Hosts of other domains leave the domain's own hosts this long. */
const REMOTE_DELAY_MS = 2000;
const REMOTE_SPREAD_MS = 500;
/** A host that has just started takes no cell over from an owner that serves. */
const TAKE_OVER_AFTER_MS = 3000;
/** A cell moves to a host of its domain that would be loaded less than its owner, by this factor. */
const RELIEF_FACTOR = 1.5;
/** Time between two claims of the same cell. */
const CLAIM_AGAIN_MS = 250;

interface Watch {
  readonly vacantSinceMs: number;
  readonly claimAtMs: number;
}

/** Claims of one host. */
export class ClaimPolicy {
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
  shouldClaim(view: CellView, room: OwnRoom, nowMs: number): boolean {
    const { cell, record, health } = view;
    if (record && isSameProcess(record.owner, this.#self)) return this.#calm(cell);
    const isVacant = health === OwnerHealth.gone || health === OwnerHealth.leaving;
    if (!record || isVacant) return this.#isDue(cell, nowMs, this.#delayMs(view, room));
    const isSettled = nowMs - this.#startedAtMs >= TAKE_OVER_AFTER_MS;
    const mayTakeOver = isSettled && health === OwnerHealth.serving;
    if (!mayTakeOver || !this.#isBetterOwner(view, record.owner, room)) return this.#calm(cell);
    return this.#isDue(cell, nowMs, TAKE_OVER_AFTER_MS + this.#localDelayMs(room));
  }

  #calm(cell: string): false {
    this.#watches.delete(cell);
    return false;
  }

  /** A cell belongs to its own domain, and there to a host that can bear it. */
  #isBetterOwner({ domain, ownerCells }: CellView, owner: HostIdentity, room: OwnRoom): boolean {
    if (domain !== this.#self.domain) return false;
    if (owner.domain !== domain) return true;
    const loadHere = (room.cells + 1) / this.#self.cores;
    return loadHere * RELIEF_FACTOR <= ownerCells / owner.cores;
  }

  #delayMs({ domain }: CellView, room: OwnRoom): number {
    if (this.#self.domain === domain) return this.#localDelayMs(room);
    return REMOTE_DELAY_MS + this.#spread(REMOTE_SPREAD_MS) + IDLE_LEAD_MS * room.cells;
  }

  #localDelayMs({ cells, strongestCores }: OwnRoom): number {
    const weakness = Math.max(0, 1 - this.#self.cores / strongestCores);
    return this.#spread(LOCAL_SPREAD_MS) + STRONGER_LEAD_MS * weakness + IDLE_LEAD_MS * cells;
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
