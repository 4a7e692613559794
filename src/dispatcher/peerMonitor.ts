/**
 * Asks the owners of cells at short intervals whether they serve, and keeps what they say of their
 * cells. The same calls tell an owner that the hosts whose batches it runs are alive.
 */
import type { CellSummary } from '../cells/messages';
import type { HostIdentity } from './cellRecord';
import { OwnerHealth } from './ownership';
import type { PeerStatus } from './peerMessages';

/** An owner that has not answered for this long is taken to be gone. */
const SILENT_AFTER_MS = 600;

interface Peer {
  readonly owner: HostIdentity;
  firstAskedAtMs: number;
  answeredAtMs: number | null;
  status: PeerStatus | null;
  refused: boolean;
}

/** Health of the owners, as seen from this host. */
export class PeerMonitor {
  readonly #peers = new Map<string, Peer>();

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
        answeredAtMs: null,
        status: null,
        refused: false,
      });
    });
  }

  /** Addresses to ask. */
  addresses(): readonly string[] {
    return [...this.#peers.keys()];
  }

  answered(address: string, status: PeerStatus, nowMs: number): void {
    const peer = this.#peers.get(address);
    if (!peer) return;
    peer.answeredAtMs = nowMs;
    peer.status = status;
    peer.refused = false;
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
    if (peer.refused) return OwnerHealth.gone;
    const heardAtMs = peer.answeredAtMs ?? peer.firstAskedAtMs;
    if (nowMs - heardAtMs > SILENT_AFTER_MS) return OwnerHealth.gone;
    if (!peer.status) return OwnerHealth.unknown;
    const { incarnation, leaving, cells } = peer.status;
    if (incarnation !== owner.incarnation) return OwnerHealth.gone;
    if (leaving) return OwnerHealth.leaving;
    return cells.some((summary) => summary.cell === cell)
      ? OwnerHealth.serving
      : OwnerHealth.unknown;
  }

  /** What the owner last said of the cell. */
  summary(owner: HostIdentity, cell: string): CellSummary | null {
    const { status } = this.#peers.get(owner.address) ?? {};
    return status?.cells.find((summary) => summary.cell === cell) ?? null;
  }
}
