/**
 * Schedules status calls to the owners of cells and derives the health of each owner from the
 * answers. The same calls are the heartbeats by which an owner knows that the submitters of its
 * batches are alive. Idle owners, which run nothing for this host, are polled less often the more
 * cells there are, so that the total cost does not grow with hosts times cells.
 */
import type { CellSummary } from '../../cells/messages';
import type { HostIdentity } from '../ownership/cellRecord';
import { OwnerHealth } from '../ownership/claimPolicy';
import type { PeerStatus } from './peerMessages';

/** Poll period of busy owners, which run batches of this host. */
const BUSY_POLL_PERIOD_MS = 150;
/** Poll period of an idle owner for each cell in the cluster: at most 20 polls a second in all. */
const IDLE_POLL_PERIOD_PER_CELL_MS = 50;
/**
 * The same for idle owners in other domains. They can be polled less often, because hosts in the
 * same domain are the first to claim the cells of a lost owner, and the store announces the claim.
 */
const OTHER_DOMAIN_POLL_PERIOD_PER_CELL_MS = 3 * IDLE_POLL_PERIOD_PER_CELL_MS;
/** Poll period of an owner that lists a new cell, but has not reached the workers of it yet. */
const REACHING_WORKERS_POLL_PERIOD_MS = 50;
/**
 * Time after which an owner that does not list its new cell is polled at the usual period again.
 */
const EXPECTED_CELL_TIMEOUT_MS = 1000;
/** An owner that has not answered for this time counts as gone. */
const UNRESPONSIVE_AFTER_MS = 600;
/** The same for idle owners, in poll periods: two unanswered polls and half a period. */
const UNRESPONSIVE_AFTER_PERIODS = 2.5;

interface Peer {
  readonly owner: HostIdentity;
  firstPolledAtMs: number;
  lastPolledAtMs: number;
  /** Since when the owner has run batches of this host; null while it runs none. */
  busySinceMs: number | null;
  answeredAtMs: number | null;
  status: PeerStatus | null;
  /** Cells that the owner has acquired but does not list with reachable workers yet. */
  readonly expectedCells: Set<string>;
  /** True if the owner lists some of these, but has reached none of their workers. */
  isReachingWorkers: boolean;
  /** When the expected cells stop increasing the poll rate. */
  expectedUntilMs: number;
  refused: boolean;
}

function hasWorkers(summary: CellSummary, cell: string): boolean {
  return summary.cell === cell && summary.capacityCpuMillis > 0;
}

/** Health of cell owners as observed by this host. */
export class PeerMonitor {
  readonly #domain: string;

  readonly #peers = new Map<string, Peer>();

  #ownDomainPeriodMs = BUSY_POLL_PERIOD_MS;

  #otherDomainPeriodMs = BUSY_POLL_PERIOD_MS;

  /** `domain` is the failure domain of this host. */
  constructor(domain: string) {
    this.#domain = domain;
  }

  /** Sets the number of cells in the cluster, which determines the poll periods of idle owners. */
  setCellCount(cells: number): void {
    this.#ownDomainPeriodMs = Math.max(BUSY_POLL_PERIOD_MS, cells * IDLE_POLL_PERIOD_PER_CELL_MS);
    this.#otherDomainPeriodMs = Math.max(
      BUSY_POLL_PERIOD_MS,
      cells * OTHER_DOMAIN_POLL_PERIOD_PER_CELL_MS,
    );
  }

  /** Replaces the set of monitored owners; state of owners that remain is kept. */
  setOwners(owners: readonly HostIdentity[], nowMs: number): void {
    const wanted = new Map(owners.map((owner) => [owner.address, owner]));
    this.#peers.forEach((peer, address) => {
      if (wanted.get(address)?.incarnation !== peer.owner.incarnation) this.#peers.delete(address);
    });
    wanted.forEach((owner, address) => {
      if (this.#peers.has(address)) return;
      this.#peers.set(address, {
        owner,
        firstPolledAtMs: nowMs,
        lastPolledAtMs: -Infinity,
        busySinceMs: null,
        answeredAtMs: null,
        status: null,
        expectedCells: new Set(),
        isReachingWorkers: false,
        expectedUntilMs: -Infinity,
        refused: false,
      });
    });
  }

  /**
   * Notes that an owner has acquired a cell. The owner is polled at once and then at the busy rate
   * until it lists the cell with workers that it has reached, for at most a second, so that batches
   * need not wait for the next idle poll.
   */
  expectCell(address: string, cell: string, nowMs: number): void {
    this.#peers.forEach(({ expectedCells }) => expectedCells.delete(cell));
    const peer = this.#peers.get(address);
    if (!peer || peer.status?.cells.some((summary) => hasWorkers(summary, cell))) return;
    peer.expectedCells.add(cell);
    peer.expectedUntilMs = nowMs + EXPECTED_CELL_TIMEOUT_MS;
    peer.lastPolledAtMs = -Infinity;
  }

  /** Returns the addresses that are due for a poll and marks them as polled. */
  takeDue(isBusy: (address: string) => boolean, nowMs: number): readonly string[] {
    const due: string[] = [];
    this.#peers.forEach((peer, address) => {
      const polled = peer;
      polled.busySinceMs = isBusy(address) ? (peer.busySinceMs ?? nowMs) : null;
      const lacksCell = peer.expectedCells.size > 0 && nowMs < peer.expectedUntilMs;
      const isIdle = peer.busySinceMs === null && !lacksCell;
      const isReachingWorkers = lacksCell && peer.isReachingWorkers;
      const usualMs = isIdle ? this.#idlePeriodMs(peer) : BUSY_POLL_PERIOD_MS;
      const periodMs = isReachingWorkers ? REACHING_WORKERS_POLL_PERIOD_MS : usualMs;
      if (nowMs - peer.lastPolledAtMs < periodMs) return;
      polled.lastPolledAtMs = nowMs;
      due.push(address);
    });
    return due;
  }

  /** Makes all owners due for a poll. */
  expediteAll(): void {
    this.#peers.forEach((peer) => {
      const expedited = peer;
      expedited.lastPolledAtMs = -Infinity;
    });
  }

  /** True if the owner has answered a poll since then. */
  hasAnsweredSince({ address }: HostIdentity, sinceMs: number): boolean {
    return (this.#peers.get(address)?.answeredAtMs ?? -Infinity) >= sinceMs;
  }

  recordStatus(address: string, status: PeerStatus, nowMs: number): void {
    const peer = this.#peers.get(address);
    if (!peer) return;
    peer.answeredAtMs = nowMs;
    peer.status = status;
    status.cells.forEach((summary) => {
      if (summary.capacityCpuMillis > 0) peer.expectedCells.delete(summary.cell);
    });
    peer.isReachingWorkers = status.cells.some(({ cell }) => peer.expectedCells.has(cell));
    peer.refused = false;
  }

  /** Last status received from the address. */
  statusOf(address: string): PeerStatus | null {
    return this.#peers.get(address)?.status ?? null;
  }

  /** Notes that the address refused a connection, so that its process is not running. */
  recordRefusal(address: string): void {
    const peer = this.#peers.get(address);
    if (peer) peer.refused = true;
  }

  /** Restarts the timeouts after a pause of this process, during which it could read no answers. */
  resume(nowMs: number): void {
    this.#peers.forEach((peer) => {
      const resumed = peer;
      resumed.firstPolledAtMs = nowMs;
      if (peer.answeredAtMs !== null) resumed.answeredAtMs = nowMs;
    });
  }

  /** Health of `owner` as the owner of `cell`. */
  health(owner: HostIdentity, cell: string, nowMs: number): OwnerHealth {
    const peer = this.#peers.get(owner.address);
    if (!peer) return OwnerHealth.unknown;
    if (peer.refused || this.#isUnresponsive(peer, nowMs)) return OwnerHealth.gone;
    if (!peer.status) return OwnerHealth.unknown;
    const { incarnation, leaving, cells } = peer.status;
    if (incarnation !== owner.incarnation) return OwnerHealth.gone;
    if (leaving) return OwnerHealth.leaving;
    return cells.some((summary) => summary.cell === cell)
      ? OwnerHealth.serving
      : OwnerHealth.unknown;
  }

  #idlePeriodMs({ owner }: Peer): number {
    return owner.domain === this.#domain ? this.#ownDomainPeriodMs : this.#otherDomainPeriodMs;
  }

  #isUnresponsive(peer: Peer, nowMs: number): boolean {
    const { answeredAtMs, firstPolledAtMs: firstAskedAtMs, busySinceMs } = peer;
    const lastAnswerAtMs = answeredAtMs ?? firstAskedAtMs;
    const idleLimitMs = Math.max(
      UNRESPONSIVE_AFTER_MS,
      UNRESPONSIVE_AFTER_PERIODS * this.#idlePeriodMs(peer),
    );
    if (nowMs - lastAnswerAtMs > idleLimitMs) return true;
    // The last answer of an idle owner may be old when a batch is sent to it.
    return (
      busySinceMs !== null && nowMs - Math.max(lastAnswerAtMs, busySinceMs) > UNRESPONSIVE_AFTER_MS
    );
  }
}
