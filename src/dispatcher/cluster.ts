/**
 * The cells and their owners as this host sees them: watches the owners, runs the cells that this host
 * owns, and sends batches to the owners of the others.
 */
import {
  BatchReason,
  type BatchOutcome,
  type CellSummary,
  type TaskBatch,
} from '../cells/messages';
import type { CellOptions } from '../cells/cellState';
import type { SubmitterContact } from '../cells/submitterContact';
import type { WorkerEntry } from '../cells/worker';
import type { RandomSource } from '../core/clock';
import { CellClaims } from './cellClaims';
import { CellLayout } from './cellLayout';
import type { CellOwner } from './cellOwner';
import { isSameProcess, type CellRecord, type HostIdentity } from './cellRecord';
import type { DispatchJournal } from './journal';
import { LayoutChoice } from './layoutChoice';
import { OwnedCells } from './ownedCells';
import { OwnerHealth } from './claimPolicy';
import { PauseWatch } from './pauseWatch';
import type { PeerClient } from './peerClient';
import type { HostClock } from './peerClocks';
import type { BatchCall } from './peerMessages';
import { StatusExchange } from './statusExchange';
import type { Platform } from './platform';
import type { QueueTable } from './queueTable';
import { CellRegistry } from './cellRegistry';
import { CellLoads } from './router';
import { WorkerLists } from './workerLists';
import type { SessionOptions } from './workerSession';

/** Figures, in milliseconds. */
export interface ClusterOptions extends CellOptions, SessionOptions {
  readonly workerListPeriodMs: number;
}

/** What a cluster is built from. */
export interface ClusterParts {
  readonly self: HostIdentity;
  /** Names of all failure domains. */
  readonly domains: readonly string[];
  readonly platform: Platform;
  readonly peers: PeerClient;
  /** Addresses of hosts that may tell what the store can't. */
  readonly seeds: readonly string[];
  readonly queues: QueueTable;
  readonly options: ClusterOptions;
  readonly clock: HostClock;
  readonly random: RandomSource;
  readonly journal: DispatchJournal;
}

const TICK_MS = 25;
/** A vacant cell usually finds an owner within this time. */
const TAKEOVER_TIME_MS = 1500;

const NO_CELLS: ReadonlySet<string> = new Set();
const NOT_OWNER: BatchOutcome = {
  type: 'refused',
  reason: BatchReason.notOwner,
  retryAfterMs: 0,
};

/** View of the cells from one host. */
export class Cluster {
  readonly loads = new CellLoads();

  readonly #parts: ClusterParts;

  readonly #records: CellRegistry;

  readonly #lists: WorkerLists;

  readonly #owned: OwnedCells;

  readonly #claims: CellClaims;

  readonly #talk: StatusExchange;

  readonly #layoutChoice = new LayoutChoice();

  /** Null while it is not known, and no cell can be served. */
  #layout: CellLayout | null = null;

  readonly #health = new Map<string, OwnerHealth>();

  #timer: NodeJS.Timeout | null = null;

  readonly #pauses: PauseWatch;

  /** Since when no cell has served, or the time of the start. */
  #unservedSinceMs: number;

  #leaving = false;

  #resumeListener: (() => void) | null = null;

  constructor(parts: ClusterParts) {
    this.#parts = parts;
    const { self, platform, journal, clock, options } = parts;
    this.#pauses = new PauseWatch(clock);
    this.#unservedSinceMs = clock.nowMs();
    this.#records = new CellRegistry({
      self,
      store: platform.store,
      journal,
      onOwner: (record) => this.#ownerChanged(record),
      onLayout: (cellsPerDomain) => this.#layOut(cellsPerDomain),
    });
    this.#lists = new WorkerLists({
      directory: platform.workers,
      periodMs: options.workerListPeriodMs,
      onList: () => this.#workersListed(),
      onAnswer: (up, detail) => this.#records.storeSeen(up, detail),
    });
    this.#owned = new OwnedCells({ ...parts, workerClient: platform.workerClient });
    this.#claims = new CellClaims({
      ...parts,
      records: this.#records,
      healthOf: (cell) => this.#health.get(cell) ?? OwnerHealth.unknown,
      ask: (address) => this.#talk.poll(address),
    });
    this.#talk = new StatusExchange({
      ...parts,
      records: this.#records,
      lists: this.#lists,
      onSummaries: (summaries) => this.#noteLoads(summaries),
      onPolled: () => this.#refreshHealth(clock.nowMs()),
    });
  }

  /** The status calls between hosts. */
  get statusExchange(): StatusExchange {
    return this.#talk;
  }

  get summaries(): readonly CellSummary[] {
    return this.owners.map((owner) => owner.summary());
  }

  get isLeaving(): boolean {
    return this.#leaving;
  }

  /** Names of the cells in this host's failure domain. */
  get ownDomainCells(): ReadonlySet<string> {
    return this.#layout?.cellsOf(this.#parts.self.domain) ?? NO_CELLS;
  }

  open(): void {
    this.#records.open();
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
  }

  /** Called after the process stood still. */
  onResume(listener: () => void): void {
    this.#resumeListener = listener;
  }

  /** Lets other hosts take the cells over. */
  leave(): void {
    this.#leaving = true;
    this.#parts.journal.logDecision('leaving', { cells: this.owners.map(({ cell }) => cell) });
  }

  get owners(): readonly CellOwner[] {
    return this.#owned.all();
  }

  close(): void {
    if (this.#timer) clearInterval(this.#timer);
    this.#claims.close();
    this.#records.close();
    this.#talk.close();
    this.#owned.close();
  }

  /** Cells whose owner serves and has workers, with what is known of their load. */
  serving(): readonly CellSummary[] {
    return (this.#layout?.cells ?? []).flatMap((cell) => {
      const summary = this.isServing(cell) ? this.loads.get(cell) : undefined;
      return summary && summary.capacityCpuMillis > 0 ? [summary] : [];
    });
  }

  /** True while a cell without an owner is likely to find one soon. */
  get expectsOwner(): boolean {
    return this.#parts.clock.nowMs() - this.#unservedSinceMs < TAKEOVER_TIME_MS;
  }

  ownerOf(cell: string): CellRecord | null {
    return this.#records.get(cell);
  }

  isServing(cell: string): boolean {
    if (this.#owned.get(cell)) return true;
    return this.#health.get(cell) === OwnerHealth.serving;
  }

  /** Runs a batch in a cell, here or at its owner. `abort` withdraws it. */
  async run(cell: string, batch: TaskBatch, abort: AbortController): Promise<BatchOutcome> {
    const owner = this.#owned.get(cell);
    if (owner) return this.#runHere(owner, batch, abort);
    const record = this.#records.get(cell);
    if (!record || isSameProcess(record.owner, this.#parts.self)) return NOT_OWNER;
    const call: BatchCall = {
      from: this.#parts.self,
      cell,
      batch,
      ownerIncarnation: record.owner.incarnation,
      isRetry: false,
    };
    const reply = await this.#parts.peers.run(record.owner.address, call, abort);
    if (reply.summary) this.loads.set(reply.summary);
    return reply.outcome;
  }

  /** A batch from another host. */
  async runForPeer({ cell, batch }: BatchCall, contact: SubmitterContact): Promise<BatchOutcome> {
    return this.#owned.get(cell)?.run(batch, contact) ?? NOT_OWNER;
  }

  withdraw(cell: string, batchId: string, reason: BatchReason): void {
    this.#owned.get(cell)?.withdraw(batchId, reason);
  }

  summary(cell: string): CellSummary | null {
    return this.#owned.get(cell)?.summary() ?? null;
  }

  async #runHere(
    owner: CellOwner,
    batch: TaskBatch,
    abort: AbortController,
  ): Promise<BatchOutcome> {
    const withdraw = () => owner.withdraw(batch.batchId, BatchReason.withdrawn);
    abort.signal.addEventListener('abort', withdraw, { once: true });
    const outcome = await owner.run(batch);
    abort.signal.removeEventListener('abort', withdraw);
    this.loads.set(owner.summary());
    return outcome;
  }

  #layOut(cellsPerDomain: number): void {
    this.#layout = new CellLayout(this.#parts.domains, cellsPerDomain);
    this.#talk.setCellCount(this.#layout.cells.length);
    this.#workersListed();
  }

  /** Proposes a layout from the list of workers, at the first start of a deployment. */
  #chooseLayout(nowMs: number): void {
    if (!this.#records.lacksLayout) return;
    this.#lists.refresh(nowMs);
    const cellsPerDomain = this.#layoutChoice.observe(this.#lists.all(), nowMs);
    if (cellsPerDomain !== null) this.#records.proposeLayout(cellsPerDomain);
  }

  #workersOf(cell: string): readonly WorkerEntry[] {
    const domain = this.#layout?.domainOf(cell) ?? cell;
    return this.#lists.of(domain).filter((entry) => this.#layout?.cellOf(entry) === cell);
  }

  /** Tells the owned cells their workers. An empty list says nothing. */
  #workersListed(): void {
    this.owners.forEach((owner) => {
      const workers = this.#workersOf(owner.cell);
      if (workers.length > 0) owner.setWorkers(workers);
    });
  }

  #ownerChanged(record: CellRecord): void {
    const nowMs = this.#parts.clock.nowMs();
    this.#owned.releaseOlder(record);
    if (isSameProcess(record.owner, this.#parts.self)) {
      this.#owned.add(record, this.#workersOf(record.cell));
      this.#lists.refreshNow(nowMs);
    }
    this.#talk.ownerChanged(record, nowMs);
    this.#askPeers(nowMs);
    this.#refreshHealth(nowMs);
  }

  #tick(): void {
    const nowMs = this.#parts.clock.nowMs();
    const gapMs = this.#pauses.look();
    if (gapMs > 0) this.#resume(gapMs, nowMs);
    this.#askPeers(nowMs);
    this.#refreshHealth(nowMs);
    this.#chooseLayout(nowMs);
    if (!this.#leaving && this.#layout) this.#claims.claimDue(this.#layout, nowMs);
    if (this.owners.length > 0) this.#lists.refresh(nowMs);
    this.#claims.writeDue(
      this.owners.map(({ cell }) => cell),
      nowMs,
    );
    this.owners.forEach((owner) => this.loads.set(owner.summary()));
    if (this.serving().length > 0) this.#unservedSinceMs = nowMs;
  }

  #resume(gapMs: number, nowMs: number): void {
    this.#parts.journal.logDecision('pause-detected', { gapMs: Math.round(gapMs) });
    this.#talk.resume(nowMs);
    this.#resumeListener?.();
  }

  #askPeers(nowMs: number): void {
    const hasUnwrittenClaims = this.owners.some(({ cell }) => {
      const record = this.#records.get(cell);
      return record !== null && this.#records.isUnwritten(record);
    });
    this.#talk.pollDue(hasUnwrittenClaims, nowMs);
  }

  /** The loads of its own cells this host knows better. */
  #noteLoads(summaries: readonly CellSummary[]): void {
    summaries.forEach((summary) => {
      if (!this.#owned.get(summary.cell)) this.loads.set(summary);
    });
  }

  #refreshHealth(nowMs: number): void {
    this.#records.all().forEach(({ cell, owner }) => {
      if (owner.address === this.#parts.self.address) {
        // An earlier incarnation of this host, or this one without the cell.
        this.#health.set(cell, OwnerHealth.gone);
        return;
      }
      const before = this.#health.get(cell);
      const health = this.#talk.health(owner, cell, nowMs);
      this.#health.set(cell, health);
      if (before === health) return;
      this.#parts.journal.logDecision('owner-health', { cell, owner: owner.hostId, health });
      if (health === OwnerHealth.gone) {
        this.loads.remove(cell);
        this.#parts.peers.abandonCallsTo(owner.address);
      }
    });
  }
}
