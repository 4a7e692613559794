/**
 * The cells and their owners as this host sees them: watches the owners, claims vacant cells, runs the
 * cells that this host owns, and sends batches to the owners of the others.
 */
import {
  BatchReason,
  type BatchOutcome,
  type CellSummary,
  type TaskBatch,
} from '../cells/messages';
import type { CellOptions } from '../cells/cellState';
import type { WorkerEntry } from '../cells/worker';
import type { Clock, RandomSource } from '../core/clock';
import { CellOwner } from './cellOwner';
import type { CellRecord, HostIdentity } from './cellRecord';
import type { DispatchJournal } from './journal';
import { Ownership, OwnerHealth } from './ownership';
import type { PeerClient } from './peerClient';
import type { BatchCall } from './peerMessages';
import { PeerTalk } from './peerTalk';
import type { Platform } from './platform';
import type { QueueTable } from './queueTable';
import { RecordKeeper } from './recordKeeper';
import { CellLoads } from './router';
import type { RenewOrder } from './workerControl';
import { WorkerLists } from './workerLists';
import type { SessionOptions } from './workerSession';

/** Figures, in milliseconds. */
export interface ClusterOptions extends CellOptions, SessionOptions {
  readonly workerListPeriodMs: number;
  readonly peerPeriodMs: number;
}

/** What a cluster is built from. */
export interface ClusterParts {
  readonly self: HostIdentity;
  /** Names of all cells: one for each failure domain. */
  readonly cells: readonly string[];
  readonly platform: Platform;
  readonly peers: PeerClient;
  /** Addresses of hosts that may tell what the store can't. */
  readonly seeds: readonly string[];
  readonly queues: QueueTable;
  readonly options: ClusterOptions;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly journal: DispatchJournal;
}

const TICK_MS = 25;
/** A longer time between two ticks means that the process stood still. */
const PAUSE_GAP_MS = 400;
/** Time between two attempts to write a claim that was made without the store. */
const WRITE_AGAIN_MS = 500;
const PROBED_WORKERS = 3;
/** An order of a host that owns nothing: a worker that has an owner answers without obeying. */
const PROBE: RenewOrder = { fencingToken: 0, acknowledged: 0, leaseEndClockMs: null, waitMs: 0 };
/** A vacant cell usually finds an owner within this time. */
const TAKEOVER_TIME_MS = 1500;

const NOT_OWNER: BatchOutcome = {
  type: 'refused',
  reason: BatchReason.notOwner,
  retryAfterMs: 0,
};

/** View of the cells from one host. */
export class Cluster {
  readonly loads = new CellLoads();

  readonly #parts: ClusterParts;

  readonly #records: RecordKeeper;

  readonly #lists: WorkerLists;

  readonly #owned = new Map<string, CellOwner>();

  readonly #claiming = new Set<string>();

  readonly #talk: PeerTalk;

  readonly #ownership: Ownership;

  readonly #health = new Map<string, OwnerHealth>();

  #timer: NodeJS.Timeout | null = null;

  #lastTickMs: number;

  #lastAskMs = -Infinity;

  #lastWriteMs = -Infinity;

  /** Since when no cell has served, or the time of the start. */
  #unservedSinceMs: number;

  #leaving = false;

  #closed = false;

  #resumeListener: (() => void) | null = null;

  constructor(parts: ClusterParts) {
    this.#parts = parts;
    const { self, platform, journal, clock, options } = parts;
    this.#lastTickMs = clock.nowMs();
    this.#unservedSinceMs = this.#lastTickMs;
    this.#ownership = new Ownership(self, parts.random, this.#lastTickMs);
    this.#records = new RecordKeeper({
      self,
      store: platform.store,
      journal,
      onOwner: (record) => this.#ownerChanged(record),
    });
    this.#lists = new WorkerLists({
      directory: platform.workers,
      periodMs: options.workerListPeriodMs,
      onList: (domain, entries) => this.#owned.get(domain)?.setWorkers(entries),
      onAnswer: (up, detail) => this.#records.storeSeen(up, detail),
    });
    this.#talk = new PeerTalk({
      ...parts,
      records: this.#records,
      lists: this.#lists,
      onSummaries: (summaries) => this.#noteLoads(summaries),
      onAsked: () => this.#refreshHealth(clock.nowMs()),
    });
  }

  /** The status calls between hosts. */
  get talk(): PeerTalk {
    return this.#talk;
  }

  get summaries(): readonly CellSummary[] {
    return this.owners.map((owner) => owner.summary());
  }

  get isLeaving(): boolean {
    return this.#leaving;
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
    this.#parts.journal.decide('leaving', { cells: [...this.#owned.keys()] });
  }

  get owners(): readonly CellOwner[] {
    return [...this.#owned.values()];
  }

  close(): void {
    this.#closed = true;
    if (this.#timer) clearInterval(this.#timer);
    this.#records.close();
    this.#talk.close();
    this.#owned.forEach((owner) => owner.close());
    this.#owned.clear();
  }

  /** Cells whose owner serves and has workers, with what is known of their load. */
  serving(): readonly CellSummary[] {
    return this.#parts.cells.flatMap((cell) => {
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
    if (this.#owned.has(cell)) return true;
    return this.#health.get(cell) === OwnerHealth.serving;
  }

  /** Runs a batch in a cell, here or at its owner. `abort` withdraws it. */
  async run(cell: string, batch: TaskBatch, abort: AbortController): Promise<BatchOutcome> {
    const owner = this.#owned.get(cell);
    if (owner) return this.#runHere(owner, batch, abort);
    const record = this.#records.get(cell);
    if (!record || this.#ownership.isSelf(record.owner)) return NOT_OWNER;
    const call: BatchCall = { from: this.#parts.self, cell, batch };
    const reply = await this.#parts.peers.run(record.owner.address, call, abort);
    if (reply.summary) this.loads.set(reply.summary);
    return reply.outcome;
  }

  /** A batch from another host. */
  async runForPeer({ cell, batch }: BatchCall): Promise<BatchOutcome> {
    return this.#owned.get(cell)?.run(batch) ?? NOT_OWNER;
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

  #ownerChanged(record: CellRecord): void {
    const owner = this.#owned.get(record.cell);
    if (owner && owner.fencingToken < record.token) this.#release(owner, 'newer-owner');
    if (this.#ownership.isSelf(record.owner)) this.#own(record);
    else this.#askPeers(this.#parts.clock.nowMs());
    this.#refreshHealth(this.#parts.clock.nowMs());
  }

  #release(owner: CellOwner, reason: string): void {
    this.#owned.delete(owner.cell);
    owner.close();
    this.#parts.journal.decide('cell-released', {
      cell: owner.cell,
      fencingToken: owner.fencingToken,
      reason,
    });
  }

  #tick(): void {
    const { clock, options } = this.#parts;
    const nowMs = clock.nowMs();
    if (nowMs - this.#lastTickMs > PAUSE_GAP_MS) this.#resume(nowMs);
    this.#lastTickMs = nowMs;
    if (nowMs - this.#lastAskMs >= options.peerPeriodMs) this.#askPeers(nowMs);
    this.#refreshHealth(nowMs);
    if (!this.#leaving) this.#claimVacant(nowMs);
    if (this.#owned.size > 0) this.#lists.refresh(nowMs);
    if (nowMs - this.#lastWriteMs >= WRITE_AGAIN_MS) this.#writeClaims(nowMs);
    this.#owned.forEach((owner) => this.loads.set(owner.summary()));
    if (this.serving().length > 0) this.#unservedSinceMs = nowMs;
  }

  #resume(nowMs: number): void {
    this.#parts.journal.decide('pause-detected', { gapMs: Math.round(nowMs - this.#lastTickMs) });
    this.#talk.resume(nowMs);
    this.#resumeListener?.();
  }

  #askPeers(nowMs: number): void {
    this.#lastAskMs = nowMs;
    const hasUnwrittenClaims = this.owners.some(({ cell }) => {
      const record = this.#records.get(cell);
      return record !== null && this.#records.isUnwritten(record);
    });
    this.#talk.askAll(hasUnwrittenClaims, nowMs);
  }

  /** The loads of its own cells this host knows better. */
  #noteLoads(summaries: readonly CellSummary[]): void {
    summaries.forEach((summary) => {
      if (!this.#owned.has(summary.cell)) this.loads.set(summary);
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
      this.#parts.journal.decide('owner-health', { cell, owner: owner.hostId, health });
      if (health === OwnerHealth.gone) {
        this.loads.remove(cell);
        this.#parts.peers.abandon(owner.address);
      }
    });
  }

  #claimVacant(nowMs: number): void {
    this.#parts.cells.forEach((cell) => {
      if (this.#owned.has(cell) || this.#claiming.has(cell)) return;
      const record = this.#records.get(cell);
      const health = this.#health.get(cell) ?? OwnerHealth.unknown;
      if (this.#ownership.shouldClaim(cell, record, health, nowMs)) this.#claim(cell);
    });
  }

  async #claim(cell: string): Promise<void> {
    this.#claiming.add(cell);
    const isOwnDomain = cell === this.#parts.self.domain;
    if (isOwnDomain || (await this.#reachesWorkers(cell))) {
      const before = this.#records.get(cell);
      const isAnswered = await this.#records.claim(cell);
      const isStillVacant = before === this.#records.get(cell) && !this.#closed;
      if (!isAnswered && isOwnDomain && isStillVacant) this.#records.claimAlone(cell);
    } else {
      this.#parts.journal.decide('claim-withheld', { cell, reason: 'no worker can be reached' });
    }
    this.#claiming.delete(cell);
  }

  /**
   * True if a worker of another domain answers. Where none does, the domain may be cut off and serve
   * itself; a claim would only take its workers away when it is back.
   */
  async #reachesWorkers(cell: string): Promise<boolean> {
    const { control, workers } = this.#parts.platform;
    const listed = await workers.list();
    if (listed.err) return false;
    const some = listed.val.filter(({ domain }) => domain === cell).slice(0, PROBED_WORKERS);
    const answers = await Promise.all(some.map((worker) => control.renew(worker, PROBE)));
    return answers.some(({ type }) => type !== 'silent');
  }

  /** Writes claims that were made without the store. */
  #writeClaims(nowMs: number): void {
    this.#lastWriteMs = nowMs;
    this.#owned.forEach(({ cell }) => {
      const record = this.#records.get(cell);
      if (record && this.#records.isUnwritten(record)) this.#records.write(record);
    });
  }

  #own({ cell, token }: CellRecord): void {
    const { platform, options, clock, journal } = this.#parts;
    const owner = new CellOwner({
      cell,
      fencingToken: token,
      control: platform.control,
      options,
      clock,
      journal,
      onFenced: (workerId) => {
        journal.decide('fenced', { cell, worker: workerId, fencingToken: token });
        if (this.#owned.get(cell) === owner) this.#release(owner, 'fenced');
      },
    });
    this.#owned.set(cell, owner);
    journal.decide('cell-owned', { cell, fencingToken: token });
    const known: readonly WorkerEntry[] = this.#lists.of(cell);
    if (known.length > 0) owner.setWorkers(known);
    this.#lists.refreshNow(clock.nowMs());
  }
}
