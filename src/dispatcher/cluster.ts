/**
 * The cells and their owners as this host sees them: follows the records in the store, watches the
 * owners, claims vacant cells, and runs the cells that this host owns.
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
import {
  CELL_PREFIX,
  cellKey,
  decodeRecord,
  encodeOwner,
  type CellRecord,
  type HostIdentity,
} from './cellRecord';
import type { DispatchJournal } from './journal';
import { Ownership, OwnerHealth } from './ownership';
import { StatusFailure, type PeerClient } from './peerClient';
import type { BatchCall, PeerStatus, StatusQuestion } from './peerMessages';
import { PeerMonitor } from './peerMonitor';
import type { Platform } from './platform';
import type { QueueConfiguration, QueueTable } from './queueTable';
import { CellLoads } from './router';
import type { RenewOrder } from './workerControl';
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
const WATCH_AGAIN_MS = 200;
const PROBED_WORKERS = 3;
/** An order of a host that owns nothing: a worker that has an owner answers without obeying. */
const PROBE: RenewOrder = { fencingToken: 0, acknowledged: 0, leaseEndClockMs: null, waitMs: 0 };
/** A vacant cell usually finds an owner within this time. */
const TAKEOVER_TIME_MS = 1500;

/** View of the cells from one host. */
export class Cluster {
  readonly loads = new CellLoads();

  readonly #parts: ClusterParts;

  readonly #records = new Map<string, CellRecord>();

  readonly #owned = new Map<string, CellOwner>();

  readonly #claiming = new Set<string>();

  readonly #monitor = new PeerMonitor();

  readonly #ownership: Ownership;

  readonly #health = new Map<string, OwnerHealth>();

  #timer: NodeJS.Timeout | null = null;

  #lastTickMs: number;

  #lastListMs = -Infinity;

  #lastAskMs = -Infinity;

  #listing = false;

  /** Since when no cell has served, or the time of the start. */
  #unservedSinceMs: number;

  #storeUp: boolean | null = null;

  #leaving = false;

  #closed = false;

  #resumeListener: (() => void) | null = null;

  constructor(parts: ClusterParts) {
    this.#parts = parts;
    this.#lastTickMs = parts.clock.nowMs();
    this.#unservedSinceMs = this.#lastTickMs;
    this.#ownership = new Ownership(parts.self, parts.random, this.#lastTickMs);
  }

  open(): void {
    this.#watch();
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

  get ownedCount(): number {
    return this.#owned.size;
  }

  get owners(): readonly CellOwner[] {
    return [...this.#owned.values()];
  }

  close(): void {
    this.#closed = true;
    if (this.#timer) clearInterval(this.#timer);
    this.#owned.forEach((owner) => owner.close());
    this.#owned.clear();
  }

  /** Cells whose owner serves and has workers, with what is known of their load. */
  serving(): readonly CellSummary[] {
    return this.#parts.cells.flatMap((cell) => {
      const summary = this.#isServing(cell) ? this.loads.get(cell) : undefined;
      return summary && summary.capacityCpuMillis > 0 ? [summary] : [];
    });
  }

  /** True while a cell without an owner is likely to find one soon. */
  get expectsOwner(): boolean {
    return this.#parts.clock.nowMs() - this.#unservedSinceMs < TAKEOVER_TIME_MS;
  }

  ownerOf(cell: string): CellRecord | null {
    return this.#records.get(cell) ?? null;
  }

  isServing(cell: string): boolean {
    return this.#isServing(cell);
  }

  /** Runs a batch in a cell, here or at its owner. `abort` withdraws it. */
  async run(cell: string, batch: TaskBatch, abort: AbortController): Promise<BatchOutcome> {
    const record = this.#records.get(cell);
    if (this.#owned.has(cell)) return this.#runHere(cell, batch, abort);
    if (!record || this.#ownership.isSelf(record.owner)) {
      return { type: 'refused', reason: BatchReason.notOwner, retryAfterMs: 0 };
    }
    const call: BatchCall = { from: this.#parts.self, cell, batch };
    const reply = await this.#parts.peers.run(record.owner.address, call, abort);
    if (reply.summary) this.loads.set(reply.summary);
    return reply.outcome;
  }

  /** A batch from another host. */
  async runForPeer({ cell, batch }: BatchCall): Promise<BatchOutcome> {
    const owner = this.#owned.get(cell);
    if (!owner) return { type: 'refused', reason: BatchReason.notOwner, retryAfterMs: 0 };
    return owner.run(batch);
  }

  withdraw(cell: string, batchId: string, reason: BatchReason): void {
    this.#owned.get(cell)?.withdraw(batchId, reason);
  }

  summary(cell: string): CellSummary | null {
    return this.#owned.get(cell)?.summary() ?? null;
  }

  status({ from, configurationVersion }: StatusQuestion): PeerStatus {
    const { self, queues } = this.#parts;
    const known = queues.configuration?.version ?? 0;
    if (configurationVersion > known) this.#pullConfiguration(from.address);
    return {
      hostId: self.hostId,
      incarnation: self.incarnation,
      leaving: this.#leaving,
      configurationVersion: known,
      cells: this.owners.map((owner) => owner.summary()),
      records: [...this.#records.values()],
    };
  }

  async #runHere(cell: string, batch: TaskBatch, abort: AbortController): Promise<BatchOutcome> {
    const owner = this.#owned.get(cell);
    if (!owner) return { type: 'refused', reason: BatchReason.notOwner, retryAfterMs: 0 };
    const withdraw = () => owner.withdraw(batch.batchId, BatchReason.withdrawn);
    abort.signal.addEventListener('abort', withdraw, { once: true });
    const outcome = await owner.run(batch);
    abort.signal.removeEventListener('abort', withdraw);
    this.loads.set(owner.summary());
    return outcome;
  }

  #isServing(cell: string): boolean {
    if (this.#owned.has(cell)) return true;
    return this.#health.get(cell) === OwnerHealth.serving;
  }

  #watch(): void {
    if (this.#closed) return;
    this.#parts.platform.store.watch(
      CELL_PREFIX,
      ({ entry }) => {
        const record = entry && decodeRecord(entry);
        if (record) this.#setRecord(record, 'store');
      },
      () => {
        this.#storeSeen(false, 'the watch of the cells ended');
        setTimeout(() => this.#watch(), WATCH_AGAIN_MS);
      },
      () => this.#readRecords(),
    );
  }

  async #readRecords(): Promise<void> {
    const listed = await this.#parts.platform.store.list(CELL_PREFIX);
    if (listed.err) {
      this.#storeSeen(false, listed.val.message);
      return;
    }
    this.#storeSeen(true, 'the cells were read');
    listed.val.forEach((entry) => {
      const record = decodeRecord(entry);
      if (record) this.#setRecord(record, 'store');
      else this.#parts.journal.decide('record-unreadable', { key: entry.key });
    });
  }

  #storeSeen(up: boolean, detail: string): void {
    if (this.#storeUp === up) return;
    this.#storeUp = up;
    this.#parts.journal.decide(up ? 'store-regained' : 'store-lost', { detail });
  }

  #setRecord(record: CellRecord, source: string): void {
    const known = this.#records.get(record.cell);
    if (known && known.revision >= record.revision) return;
    this.#records.set(record.cell, record);
    this.#parts.journal.decide('cell-owner', {
      cell: record.cell,
      owner: record.owner.hostId,
      incarnation: record.owner.incarnation,
      revision: record.revision,
      source,
    });
    const owner = this.#owned.get(record.cell);
    if (owner && owner.fencingToken < record.revision) this.#release(owner, 'newer-owner');
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
    if (nowMs - this.#lastAskMs >= options.peerPeriodMs) {
      this.#lastAskMs = nowMs;
      this.#askPeers(nowMs);
    }
    this.#refreshHealth(nowMs);
    if (!this.#leaving) this.#claimVacant(nowMs);
    if (this.#owned.size > 0 && nowMs - this.#lastListMs >= options.workerListPeriodMs) {
      this.#lastListMs = nowMs;
      this.#listWorkers();
    }
    this.#owned.forEach((owner) => this.loads.set(owner.summary()));
    if (this.serving().length > 0) this.#unservedSinceMs = nowMs;
  }

  #resume(nowMs: number): void {
    this.#parts.journal.decide('pause-detected', { gapMs: Math.round(nowMs - this.#lastTickMs) });
    this.#monitor.resume(nowMs);
    this.#resumeListener?.();
  }

  #askPeers(nowMs: number): void {
    const { self, queues, seeds } = this.#parts;
    const owners = [...this.#records.values()].map(({ owner }) => owner);
    const others = owners.filter(({ address }) => address !== self.address);
    this.#monitor.setOwners(others, nowMs);
    const lacksNews = this.#records.size === 0 || queues.configuration === null;
    const strangers = lacksNews ? seeds.filter((seed) => seed !== self.address) : [];
    const addresses = new Set([...this.#monitor.addresses(), ...strangers]);
    addresses.forEach((address) => this.#ask(address));
  }

  async #ask(address: string): Promise<void> {
    const { self, queues, peers, clock } = this.#parts;
    const configurationVersion = queues.configuration?.version ?? 0;
    const status = await peers.status(address, { from: self, configurationVersion });
    if (this.#closed) return;
    if (status === StatusFailure.refused) {
      this.#monitor.refused(address);
    } else if (status !== StatusFailure.unanswered) {
      this.#monitor.answered(address, status, clock.nowMs());
      this.#learn(address, status);
    }
    this.#refreshHealth(clock.nowMs());
  }

  #learn(address: string, status: PeerStatus): void {
    status.cells.forEach((summary) => {
      if (!this.#owned.has(summary.cell)) this.loads.set(summary);
    });
    status.records.forEach((record) => this.#setRecord(record, status.hostId));
    const known = this.#parts.queues.configuration?.version ?? 0;
    if (status.configurationVersion > known) this.#pullConfiguration(address);
  }

  async #pullConfiguration(address: string): Promise<void> {
    const configuration = await this.#parts.peers.configuration(address);
    if (configuration) this.configure(configuration, address);
  }

  /** Puts a configuration in force if it is newer. */
  configure(configuration: QueueConfiguration, source: string): void {
    if (!this.#parts.queues.apply(configuration)) return;
    this.#parts.journal.decide('configuration-in-force', {
      version: configuration.version,
      queues: configuration.bindings.length,
      source,
    });
  }

  #refreshHealth(nowMs: number): void {
    this.#records.forEach(({ cell, owner }) => {
      if (owner.address === this.#parts.self.address) {
        // An earlier incarnation of this host, or this one without the cell.
        this.#health.set(cell, OwnerHealth.gone);
        return;
      }
      const before = this.#health.get(cell);
      const health = this.#monitor.health(owner, cell, nowMs);
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
      const record = this.#records.get(cell) ?? null;
      const health = this.#health.get(cell) ?? OwnerHealth.unknown;
      if (this.#ownership.shouldClaim(cell, record, health, nowMs)) this.#claim(cell, record);
    });
  }

  async #claim(cell: string, record: CellRecord | null): Promise<void> {
    this.#claiming.add(cell);
    if (cell === this.#parts.self.domain || (await this.#reachesWorkers(cell))) {
      await this.#swapOwner(cell, record);
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

  async #swapOwner(cell: string, record: CellRecord | null): Promise<void> {
    const { platform, self, journal } = this.#parts;
    const expected = record?.revision ?? 0;
    const swapped = await platform.store.swap(cellKey(cell), encodeOwner(self), expected);
    if (this.#closed) return;
    if (swapped.err) {
      journal.decide('claim-failed', { cell, expected, error: swapped.val.message });
      return;
    }
    const current = swapped.val.current && decodeRecord(swapped.val.current);
    journal.decide('claim', { cell, expected, won: swapped.val.applied });
    if (current) this.#setRecord(current, 'claim');
  }

  #own({ cell, revision }: CellRecord): void {
    const { platform, options, clock, journal } = this.#parts;
    const owner = new CellOwner({
      cell,
      fencingToken: revision,
      control: platform.control,
      options,
      clock,
      journal,
      onFenced: (workerId) => {
        journal.decide('fenced', { cell, worker: workerId, fencingToken: revision });
        if (this.#owned.get(cell) === owner) this.#release(owner, 'fenced');
      },
    });
    this.#owned.set(cell, owner);
    journal.decide('cell-owned', { cell, fencingToken: revision });
    this.#lastListMs = this.#parts.clock.nowMs();
    this.#listWorkers();
  }

  async #listWorkers(): Promise<void> {
    if (this.#listing) return;
    this.#listing = true;
    const listed = await this.#parts.platform.workers.list();
    this.#listing = false;
    if (listed.err) {
      this.#storeSeen(false, listed.val.message);
      return;
    }
    this.#storeSeen(true, 'the workers were listed');
    this.#giveWorkers(listed.val);
  }

  #giveWorkers(entries: readonly WorkerEntry[]): void {
    this.#owned.forEach((owner) => {
      owner.setWorkers(entries.filter(({ domain }) => domain === owner.cell));
    });
  }
}
