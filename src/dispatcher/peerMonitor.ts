/**
 * Asks the owners of cells at short intervals whether they serve, and keeps what they say of their
 * cells. The same calls tell an owner that the hosts whose batches it runs are alive. Owners at which
 * nothing runs for this host are asked less often where there are many, so that the cost does not grow
 * with hosts times cells.
 */
import type { HostIdentity } from './cellRecord';
import { OwnerHealth } from './claimPolicy';
import type { PeerStatus } from './peerMessages';

/** Period of the questions to owners at which something runs for this host. */
const BUSY_PERIOD_MS = 150;
/** An idle owner is asked once in this time for each cell, so 20 times a second at most in all. */
const IDLE_PERIOD_PER_CELL_MS = 50;
/** Idle owners of other domains: the hosts there claim their cells first, and the store tells of it. */
const FAR_PERIOD_PER_CELL_MS = 3 * IDLE_PERIOD_PER_CELL_MS;
/** An owner that does not list a new cell after this time will not soon. */
const EXPECT_CELL_MS = 1000;
/** An owner that has not answered for this long is taken to be gone. */
const SILENT_AFTER_MS = 600;
/** The same for idle owners: unanswered questions and a part of the next period. */
const SILENT_PERIODS = 2.5;

interface Peer {
  readonly owner: HostIdentity;
  firstAskedAtMs: number;
  lastAskedAtMs: number;
  /** Since when something runs there for this host. */
  busySinceMs: number | null;
  answeredAtMs: number | null;
  status: PeerStatus | null;
  /** Cells that it has got and does not list yet. */
  readonly expectedCells: Set<string>;
  /** When these no longer make the questions to it more frequent. */
  expectedUntilMs: number;
  refused: boolean;
}

/** Health of the owners, as seen from this host. */
export class PeerMonitor {
  readonly #domain: string;

  readonly #peers = new Map<string, Peer>();

  #nearPeriodMs = BUSY_PERIOD_MS;

  #farPeriodMs = BUSY_PERIOD_MS;

  /** `domain` is the failure domain of this host. */
  constructor(domain: string) {
    this.#domain = domain;
  }

  /** Sets how many cells there are. */
  setCellCount(cells: number): void {
    this.#nearPeriodMs = Math.max(BUSY_PERIOD_MS, cells * IDLE_PERIOD_PER_CELL_MS);
    this.#farPeriodMs = Math.max(BUSY_PERIOD_MS, cells * FAR_PERIOD_PER_CELL_MS);
  }

  /** Keeps only these owners. */
  setOwners(owners: readonly HostIdentity[], nowMs: number): void {
    const wanted = new Map(owners.map((owner) => [owner.address, owner]));
    this.#peers.forEach((peer, address) => {
      if (wanted.get(address)?.incarnation !== peer.owner.incarnation) this.#peers.delete(address);
    });
    wanted.forEach((owner, address) => {
      if (this.#peers.has(address)) return;
      this.#peers.set(address, {
        owner,
        firstAskedAtMs: nowMs,
        lastAskedAtMs: -Infinity,
        busySinceMs: null,
        answeredAtMs: null,
        status: null,
        expectedCells: new Set(),
        expectedUntilMs: -Infinity,
        refused: false,
      });
    });
  }

  /**
   * An owner has got a cell: it is asked at once, and then as a busy one until it lists the cell, for a
   * second at most, so that batches for it need not wait for the next question to an idle owner.
   */
  expectCell(address: string, cell: string, nowMs: number): void {
    this.#peers.forEach(({ expectedCells }) => expectedCells.delete(cell));
    const peer = this.#peers.get(address);
    if (!peer || peer.status?.cells.some((summary) => summary.cell === cell)) return;
    peer.expectedCells.add(cell);
    peer.expectedUntilMs = nowMs + EXPECT_CELL_MS;
    peer.lastAskedAtMs = -Infinity;
  }

  /** Addresses to ask now; they count as asked. */
  takeDue(isBusy: (address: string) => boolean, nowMs: number): readonly string[] {
    const due: string[] = [];
    this.#peers.forEach((peer, address) => {
      const asked = peer;
      asked.busySinceMs = isBusy(address) ? (peer.busySinceMs ?? nowMs) : null;
      const lacksCell = peer.expectedCells.size > 0 && nowMs < peer.expectedUntilMs;
      const isIdle = peer.busySinceMs === null && !lacksCell;
      const periodMs = isIdle ? this.#idlePeriodMs(peer) : BUSY_PERIOD_MS;
      if (nowMs - peer.lastAskedAtMs < periodMs) return;
      asked.lastAskedAtMs = nowMs;
      due.push(address);
    });
    return due;
  }

  answered(address: string, status: PeerStatus, nowMs: number): void {
    const peer = this.#peers.get(address);
    if (!peer) return;
    peer.answeredAtMs = nowMs;
    peer.status = status;
    status.cells.forEach(({ cell }) => peer.expectedCells.delete(cell));
    peer.refused = false;
  }

  /** What the host at the address last said of itself. */
  statusOf(address: string): PeerStatus | null {
    return this.#peers.get(address)?.status ?? null;
  }

  /** Nothing listens at the address: the process is not there. */
  refused(address: string): void {
    const peer = this.#peers.get(address);
    if (peer) peer.refused = true;
  }

  /** This process stood still for a while; what was not heard in that time says nothing. */
  resume(nowMs: number): void {
    this.#peers.forEach((peer) => {
      const resumed = peer;
      resumed.firstAskedAtMs = nowMs;
      if (peer.answeredAtMs !== null) resumed.answeredAtMs = nowMs;
    });
  }

  /** How the owner of `cell` looks. */
  health(owner: HostIdentity, cell: string, nowMs: number): OwnerHealth {
    const peer = this.#peers.get(owner.address);
    if (!peer) return OwnerHealth.unknown;
    if (peer.refused || this.#isSilent(peer, nowMs)) return OwnerHealth.gone;
    if (!peer.status) return OwnerHealth.unknown;
    const { incarnation, leaving, cells } = peer.status;
    if (incarnation !== owner.incarnation) return OwnerHealth.gone;
    if (leaving) return OwnerHealth.leaving;
    return cells.some((summary) => summary.cell === cell)
      ? OwnerHealth.serving
      : OwnerHealth.unknown;
  }

  #idlePeriodMs({ owner }: Peer): number {
    return owner.domain === this.#domain ? this.#nearPeriodMs : this.#farPeriodMs;
  }

  #isSilent(peer: Peer, nowMs: number): boolean {
    const { answeredAtMs, firstAskedAtMs, busySinceMs } = peer;
    const heardAtMs = answeredAtMs ?? firstAskedAtMs;
    const idleLimitMs = Math.max(SILENT_AFTER_MS, SILENT_PERIODS * this.#idlePeriodMs(peer));
    if (nowMs - heardAtMs > idleLimitMs) return true;
    // An idle owner's last answer may be old when a batch is sent there.
    return busySinceMs !== null && nowMs - Math.max(heardAtMs, busySinceMs) > SILENT_AFTER_MS;
  }
}
