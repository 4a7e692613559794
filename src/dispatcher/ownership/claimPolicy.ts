/**
 * Decides when this host claims a cell. A cell is vacant when its owner does not answer, is
 * leaving, or has restarted. A host claims the cells of its own earlier process at once. Other hosts
 * of the cell's domain follow in the order of their spare processor capacity; hosts of other domains
 * claim only if none of those does. An unnecessary
 * claim is harmless: the store lets only one claim win, and workers accept only the owner with the
 * highest fencing token.
 */
import type { RandomSource } from '../../core/clock';
import { isEarlierProcess, isSameProcess, type CellRecord, type HostIdentity } from './cellRecord';

/** Health of a cell's owner as seen by this host. */
export const OwnerHealth = {
  serving: 'serving',
  /** It has not answered yet, but has not timed out either. */
  unknown: 'unknown',
  /** It is shutting down; its batches continue until another host takes the cell over. */
  leaving: 'leaving',
  gone: 'gone',
} as const;
export type OwnerHealth = (typeof OwnerHealth)[keyof typeof OwnerHealth];

/** State of a cell that the decision to claim it depends on. */
export interface CellView {
  readonly cell: string;
  /** Failure domain of the cell. */
  readonly domain: string;
  readonly record: CellRecord | null;
  readonly health: OwnerHealth;
  /** Number of cells of this host's domain that the current owner has. */
  readonly ownerCells: number;
}

/** Load of this host, which may claim the cell. */
export interface ClaimantLoad {
  /** Number of cells of its domain that it owns. */
  readonly cells: number;
  /** Cores of the largest host of its domain. */
  readonly maxCores: number;
}

/**
 * Random delay of claims within a domain, so that most hosts see the first claim before making
 * their own.
 */
const LOCAL_JITTER_MS = 60;
/** Delay of a host with almost no cores relative to the largest host of the domain. */
const WEAK_HOST_DELAY_MS = 300;
/** Delay for each cell that a host already owns. */
const OWNED_CELL_DELAY_MS = 120;
/** Hosts of other domains wait this long for a claim by the domain's own hosts. */
const REMOTE_DELAY_MS = 2000;
const REMOTE_JITTER_MS = 500;
/**
 * Delay before a cell is taken over from an owner that is serving. A host that has just started
 * does not consider such cells before this time either.
 */
const REBALANCE_DELAY_MS = 3000;
/**
 * A cell moves to a host of its domain if its owner's load is higher than that host's by this
 * factor.
 */
const REBALANCE_FACTOR = 1.5;
/** Interval between claims of the same cell. */
const CLAIM_RETRY_MS = 250;

interface ClaimSchedule {
  readonly claimAtMs: number;
}

/** Decides on the claims of one host. */
export class ClaimPolicy {
  readonly #self: HostIdentity;

  readonly #random: RandomSource;

  readonly #startedAtMs: number;

  readonly #schedules = new Map<string, ClaimSchedule>();

  constructor(self: HostIdentity, random: RandomSource, nowMs: number) {
    this.#self = self;
    this.#random = random;
    this.#startedAtMs = nowMs;
  }

  /** True if this host should claim the cell now. */
  shouldClaim(view: CellView, room: ClaimantLoad, nowMs: number): boolean {
    const { cell, record, health } = view;
    if (record && isSameProcess(record.owner, this.#self)) return this.#cancelClaim(cell);
    if (record && isEarlierProcess(record.owner, this.#self)) return this.#isDue(cell, nowMs, 0);
    const isVacant = health === OwnerHealth.gone || health === OwnerHealth.leaving;
    if (!record || isVacant) return this.#isDue(cell, nowMs, this.#delayMs(view, room));
    const isWarmedUp = nowMs - this.#startedAtMs >= REBALANCE_DELAY_MS;
    const mayTakeOver = isWarmedUp && health === OwnerHealth.serving;
    if (!mayTakeOver || !this.#isBetterOwner(view, record.owner, room))
      return this.#cancelClaim(cell);
    return this.#isDue(cell, nowMs, REBALANCE_DELAY_MS + this.#localDelayMs(room));
  }

  #cancelClaim(cell: string): false {
    this.#schedules.delete(cell);
    return false;
  }

  /**
   * A host of the cell's domain is a better owner than one of another domain, and within the domain
   * a host whose load with the cell would be clearly lower.
   */
  #isBetterOwner(
    { domain, ownerCells }: CellView,
    owner: HostIdentity,
    room: ClaimantLoad,
  ): boolean {
    if (domain !== this.#self.domain) return false;
    if (owner.domain !== domain) return true;
    const loadHere = (room.cells + 1) / this.#self.cores;
    return loadHere * REBALANCE_FACTOR <= ownerCells / owner.cores;
  }

  #delayMs({ domain }: CellView, room: ClaimantLoad): number {
    if (this.#self.domain === domain) return this.#localDelayMs(room);
    return REMOTE_DELAY_MS + this.#jitter(REMOTE_JITTER_MS) + OWNED_CELL_DELAY_MS * room.cells;
  }

  #localDelayMs({ cells, maxCores: strongestCores }: ClaimantLoad): number {
    const coreShortfall = Math.max(0, 1 - this.#self.cores / strongestCores);
    return (
      this.#jitter(LOCAL_JITTER_MS) +
      WEAK_HOST_DELAY_MS * coreShortfall +
      OWNED_CELL_DELAY_MS * cells
    );
  }

  #jitter(mostMs: number): number {
    return this.#random.next() * mostMs;
  }

  #isDue(cell: string, nowMs: number, delayMs: number): boolean {
    const schedule = this.#schedules.get(cell) ?? {
      claimAtMs: nowMs + delayMs,
    };
    const due = nowMs >= schedule.claimAtMs;
    this.#schedules.set(cell, due ? { ...schedule, claimAtMs: nowMs + CLAIM_RETRY_MS } : schedule);
    return due;
  }
}
