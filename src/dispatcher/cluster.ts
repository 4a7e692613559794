/**
 * This host's view of all cells and their owners. Monitors the owners, runs the cells that this
 * host owns, and forwards batches for the other cells to their owners.
 */
import {
  BatchReason,
  type BatchOutcome,
  type CellRoom,
  type CellSummary,
  type TaskBatch,
} from '../cells/messages';
import type { CellOptions } from '../cells/cellState';
import type { CrashHistory } from '../cells/crashHistory';
import type { ListedWorkers } from '../cells/cellWorkers';
import type { RandomSource } from '../core/clock';
import { CellClaims } from './ownership/cellClaims';
import { CellLayout } from './ownership/cellLayout';
import type { CellOwner } from './ownership/cellOwner';
import { isSameProcess, type CellRecord, type HostIdentity } from './ownership/cellRecord';
import { CrashExchange } from './peers/crashExchange';
import { DrainedDomains } from './drainedDomains';
import type { DispatchJournal } from './journal';
import { LayoutSelector } from './ownership/layoutSelector';
import { NOT_OWNER, OwnedCells } from './ownership/ownedCells';
import { OwnerHealth } from './ownership/claimPolicy';
import { OwnerHealthTable } from './ownership/ownerHealthTable';
import { PauseDetector } from './ownership/pauseDetector';
import type { PeerClient } from './peers/peerClient';
import type { HostClock } from './peers/peerClocks';
import type { BatchCall } from './peers/peerMessages';
import { StatusExchange } from './peers/statusExchange';
import { OpenCells } from './openCells';
import type { Platform } from './platform';
import { FoundRuns } from './jobs/foundRuns';
import type { QueueTable } from './jobs/queueTable';
import { CellRegistry } from './ownership/cellRegistry';
import { CellLoads } from './jobs/router';
import { WorkerLists } from './ownership/workerLists';
import type { SessionOptions } from './ownership/workerSession';

/** Timing parameters, in milliseconds. */
export interface ClusterOptions extends CellOptions, SessionOptions {
  readonly workerListPeriodMs: number;
}

/** Dependencies of a `Cluster`. */
export interface ClusterParts {
  readonly self: HostIdentity;
  /** Names of all failure domains. */
  readonly domains: readonly string[];
  readonly platform: Platform;
  readonly peers: PeerClient;
  /** Addresses of hosts that are polled for the cluster state when the store can't be read. */
  readonly seeds: readonly string[];
  readonly queues: QueueTable;
  readonly options: ClusterOptions;
  /** Lost workers by task. */
  readonly crashes: CrashHistory;
  readonly clock: HostClock;
  readonly random: RandomSource;
  readonly journal: DispatchJournal;
}

const TICK_MS = 25;
/** Cells whose owners were lost together with this host have new ones so long after its start. */
const OWNERS_AFTER_START_MS = 300;
/** Time for which a new process claims no cell unless it knows which domains are drained. */
const DRAINS_WAIT_MS = 1000;

const NO_CELLS: ReadonlySet<string> = new Set();
/** Cluster state as seen by one host. */
export class Cluster {
  readonly loads = new CellLoads();

  /** Failure domains that the operators have drained. */
  readonly drains: DrainedDomains;

  readonly #parts: ClusterParts;

  readonly #registry: CellRegistry;

  readonly #workerLists: WorkerLists;

  readonly #ownedCells: OwnedCells;

  readonly #claims: CellClaims;

  readonly #crashExchange: CrashExchange;

  readonly #statusExchange: StatusExchange;

  readonly #layoutSelector: LayoutSelector;

  /** Null until the layout is known; no cell can be served before that. */
  #layout: CellLayout | null = null;

  readonly #foundRuns: FoundRuns;

  readonly #ownerHealth: OwnerHealthTable;

  readonly #openCells: OpenCells;

  readonly #startedAtMs: number;

  #timer: NodeJS.Timeout | null = null;

  readonly #pauseDetector: PauseDetector;

  #firstServiceMs: number | null = null;

  #leaving = false;

  #resumeListener: (() => void) | null = null;

  constructor(parts: ClusterParts) {
    this.#parts = parts;
    const { self, platform, journal, clock, options } = parts;
    this.#pauseDetector = new PauseDetector(clock);
    this.#startedAtMs = clock.nowMs();
    this.drains = new DrainedDomains({
      ...parts,
      onChange: (domain) => this.#drainChanged(domain),
    });
    this.#foundRuns = new FoundRuns(
      (address, request) => parts.peers.runsOf(address, request),
      clock,
    );
    this.#openCells = new OpenCells({
      ...parts,
      drains: this.drains,
      domainOf: (cell) => this.#domainOf(cell),
      hasAnsweredSince: (cell, sinceMs) => this.#hasAnsweredSince(cell, sinceMs),
    });
    this.#crashExchange = new CrashExchange({ ...parts, store: platform.store });
    this.#registry = new CellRegistry({
      self,
      store: platform.store,
      journal,
      onOwner: (record) => this.#ownerChanged(record),
      onLayout: (cellsPerDomain) => this.#applyLayout(cellsPerDomain),
      onCrashes: (hostId, records) => this.#crashExchange.applyStored(hostId, records),
    });
    this.#workerLists = new WorkerLists({
      directory: platform.workers,
      periodMs: options.workerListPeriodMs,
      clock,
      journal,
      ownedDomains: () => this.#ownedDomains(),
      onList: () => this.#updateCellWorkers(),
      onDirectoryResult: (up, detail) => this.#registry.setStoreAvailable(up, detail),
    });
    this.#ownedCells = new OwnedCells({
      ...parts,
      guardsRoom: (service) => parts.queues.guardsRoom(service),
      workerClient: platform.workerClient,
      isDrained: (cell) => this.#openCells.isDrained(cell),
      onOutdatedEntry: () => this.#workerLists.markOutdated(),
    });
    const namesService = (service: string) => parts.queues.namesService(service);
    this.#layoutSelector = new LayoutSelector(namesService);
    this.#claims = new CellClaims({
      ...parts,
      registry: this.#registry,
      healthOf: (cell) => this.#ownerHealth.of(cell),
      poll: (address) => this.#statusExchange.poll(address),
      namesService,
    });
    this.#statusExchange = new StatusExchange({
      ...parts,
      records: this.#registry,
      lists: this.#workerLists,
      crashes: this.#crashExchange,
      drains: this.drains,
      onSummaries: (summaries) => this.#updateLoads(summaries),
      onPolled: () => this.#refreshHealth(clock.nowMs()),
    });
    this.#ownerHealth = new OwnerHealthTable({
      ...parts,
      healthOf: (owner, cell, nowMs) => this.#statusExchange.health(owner, cell, nowMs),
      onGone: ({ cell, owner }) => {
        this.loads.remove(cell);
        parts.peers.abandonCallsTo(owner.address);
      },
    });
  }

  /** Status polls between hosts. */
  get statusExchange(): StatusExchange {
    return this.#statusExchange;
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
    this.#registry.open();
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
  }

  /** Sets the listener that is called after a pause of the process. */
  onResume(listener: () => void): void {
    this.#resumeListener = listener;
  }

  /**
   * Stops claiming cells and reports this host as leaving, so that other hosts take its cells over.
   */
  leave(): void {
    this.#leaving = true;
    this.#parts.journal.logDecision('leaving', { cells: this.owners.map(({ cell }) => cell) });
  }

  /** The cells that this host owns, for calls of other hosts. */
  get ownedCells(): OwnedCells {
    return this.#ownedCells;
  }

  get owners(): readonly CellOwner[] {
    return this.#ownedCells.all();
  }

  close(): void {
    if (this.#timer) clearInterval(this.#timer);
    this.#claims.close();
    this.#registry.close();
    this.#statusExchange.close();
    this.#crashExchange.close();
    this.#ownedCells.close();
  }

  /**
   * Last known load of each cell that takes tasks: its owner is serving and has workers, and its
   * domain is not drained. During a drain, owners that have been heard since it began are preferred.
   */
  serving(): readonly CellSummary[] {
    return this.#openCells.among(this.#served());
  }

  /** True if some cell is served, also if its domain is drained. */
  get hasServedCells(): boolean {
    return this.#served().length > 0;
  }

  /** True if a new owner of a cell that takes tasks can be expected soon. */
  get expectsOwner(): boolean {
    return this.#openCells.expectsOwner;
  }

  /** Number of runs in progress in the cells of a domain that this host owns. */
  runsIn(domain: string): number {
    const owners = this.owners.filter(({ cell }) => this.#domainOf(cell) === domain);
    return owners.reduce((sum, { cellState }) => sum + cellState.runCount, 0);
  }

  /** Time since the oldest list of workers of the owned cells was read, in ms; 0 without one. */
  get workerListAgeMs(): number {
    const nowMs = this.#parts.clock.nowMs();
    const readAtMs = this.#ownedDomains().map((domain) =>
      Math.max(this.#startedAtMs, this.#workerLists.readAtMs(domain)),
    );
    return Math.max(0, ...readAtMs.map((atMs) => nowMs - atMs));
  }

  /** Time from the start of this process until it knew of a served cell; null before that. */
  get firstServiceMs(): number | null {
    return this.#firstServiceMs;
  }

  ownerOf(cell: string): CellRecord | null {
    return this.#registry.get(cell);
  }

  isServing(cell: string): boolean {
    if (this.#ownedCells.get(cell)) return true;
    return this.#ownerHealth.of(cell) === OwnerHealth.serving;
  }

  /** See `EarlierRunsCluster`. */
  recentlyTakenOver(): readonly string[] {
    return this.#ownerHealth.changedWithin(this.#parts.options.submitterTimeoutMs);
  }

  /** See `EarlierRunsCluster`. */
  get lacksOwner(): boolean {
    if (this.#parts.clock.nowMs() - this.#startedAtMs > OWNERS_AFTER_START_MS) return false;
    return (this.#layout?.cells ?? []).some((cell) => !this.isServing(cell));
  }

  /** See `EarlierRunsCluster`. */
  async mayRunJob(cell: string, jobId: string): Promise<boolean> {
    if (this.#ownedCells.get(cell)) return this.#ownedCells.runsOf(cell, jobId).mayRun;
    const record = this.#registry.get(cell);
    if (!record || isSameProcess(record.owner, this.#parts.self)) return false;
    if (!this.#ownerHealth.mayAnswer(cell)) return false;
    const { address, incarnation } = record.owner;
    const { token } = record;
    return this.#foundRuns.mayRunJob({ address, incarnation, token, cell, jobId });
  }

  /** How many tasks of a batch a cell could end in time; null if its owner does not answer. */
  async roomIn(cell: string, batch: TaskBatch, namesWorker = false): Promise<CellRoom | null> {
    if (this.#ownedCells.get(cell)) return this.#ownedCells.roomIn(cell, batch, namesWorker);
    const record = this.#registry.get(cell);
    if (!record || isSameProcess(record.owner, this.#parts.self)) return null;
    return this.#parts.peers.roomIn(record.owner.address, { cell, batch, namesWorker });
  }

  /** Runs a batch in a cell, locally or at the cell's owner. `abort` withdraws the batch. */
  async run(cell: string, batch: TaskBatch, abort: AbortController): Promise<BatchOutcome> {
    const owner = this.#ownedCells.get(cell);
    if (owner) return this.#runLocally(owner, batch, abort);
    const record = this.#registry.get(cell);
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

  async #runLocally(
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

  #served(): readonly CellSummary[] {
    return (this.#layout?.cells ?? []).flatMap((cell) => {
      const summary = this.isServing(cell) ? this.loads.get(cell) : undefined;
      return summary && summary.capacityCpuMillis > 0 ? [summary] : [];
    });
  }

  /** Polls all owners at the beginning of a drain, as some may have been cut off since. */
  #drainChanged(domain: string): void {
    this.#openCells.drainChanged(domain);
    this.#ownedCells.updateDrains();
    if (!this.drains.isDrained(domain)) return;
    this.#statusExchange.expediteAll();
    this.#pollPeers(this.#parts.clock.nowMs());
  }

  #hasAnsweredSince(cell: string, sinceMs: number): boolean {
    if (this.#ownedCells.get(cell)) return true;
    const record = this.#registry.get(cell);
    return record !== null && this.#statusExchange.hasAnsweredSince(record.owner, sinceMs);
  }

  /** Without a layout, a domain is one cell of the same name. */
  #domainOf(cell: string): string {
    return this.#layout?.domainOf(cell) ?? cell;
  }

  #applyLayout(cellsPerDomain: number): void {
    this.#layout = new CellLayout(this.#parts.domains, cellsPerDomain);
    this.#statusExchange.setCellCount(this.#layout.cells.length);
    this.#ownedCells.updateDrains();
    this.#updateCellWorkers();
  }

  /** Proposes a layout, based on the list of workers, if the deployment has none yet. */
  #chooseLayout(nowMs: number): void {
    if (!this.#registry.lacksLayout) return;
    this.#workerLists.refresh(nowMs);
    const cellsPerDomain = this.#layoutSelector.observe(this.#workerLists.all(), nowMs);
    if (cellsPerDomain !== null) this.#registry.proposeLayout(cellsPerDomain);
  }

  #workersOf(cell: string): ListedWorkers {
    const domain = this.#domainOf(cell);
    const entries = this.#workerLists.of(domain);
    return {
      entries: entries.filter((entry) => this.#layout?.cellOf(entry) === cell),
      readAtMs: this.#workerLists.readAtMs(domain),
    };
  }

  #ownedDomains(): readonly string[] {
    return [...new Set(this.owners.map(({ cell }) => this.#domainOf(cell)))];
  }

  /** Passes the listed workers to the owned cells. An empty list is ignored. */
  #updateCellWorkers(): void {
    this.owners.forEach((owner) => {
      const listed = this.#workersOf(owner.cell);
      if (listed.entries.length > 0) owner.setWorkers(listed);
    });
  }

  #ownerChanged(record: CellRecord): void {
    const nowMs = this.#parts.clock.nowMs();
    this.#ownerHealth.ownerChanged(record.cell);
    this.#ownedCells.releaseSuperseded(record);
    if (isSameProcess(record.owner, this.#parts.self)) {
      this.#ownedCells.add(record, this.#workersOf(record.cell));
      this.#workerLists.refreshNow(nowMs);
    }
    this.#statusExchange.ownerChanged(record, nowMs);
    this.#pollPeers(nowMs);
    this.#refreshHealth(nowMs);
  }

  #tick(): void {
    const nowMs = this.#parts.clock.nowMs();
    const gapMs = this.#pauseDetector.check();
    if (gapMs > 0) this.#resume(gapMs, nowMs);
    this.#crashExchange.tick();
    this.#pollPeers(nowMs);
    this.#refreshHealth(nowMs);
    this.#chooseLayout(nowMs);
    if (!this.#leaving && this.#layout && this.#mayClaim(nowMs)) {
      this.#claims.claimDueCells(this.#layout, nowMs);
    }
    if (this.owners.length > 0) this.#workerLists.refresh(nowMs);
    this.#claims.writePendingClaims(
      this.owners.map(({ cell }) => cell),
      nowMs,
    );
    this.owners.forEach((owner) => this.loads.set(owner.summary()));
    this.#recordServed(nowMs);
  }

  /** A new process learns first which domains are drained, so that it starts nothing there. */
  #mayClaim(nowMs: number): boolean {
    return this.drains.isKnown || nowMs - this.#startedAtMs >= DRAINS_WAIT_MS;
  }

  /** Records which cells are served, and logs the first time of this process. */
  #recordServed(nowMs: number): void {
    const served = this.#served();
    this.#openCells.recordServed(served);
    const cells = served.map(({ cell }) => cell);
    if (cells.length === 0 || this.#firstServiceMs !== null) return;
    this.#firstServiceMs = Math.round(nowMs - this.#startedAtMs);
    const owned = this.owners.map(({ cell }) => cell);
    const lacking = (this.#layout?.cells ?? []).filter((cell) => !cells.includes(cell));
    const sinceStartMs = this.#firstServiceMs;
    this.#parts.journal.logDecision('first-service', { sinceStartMs, cells, owned, lacking });
  }

  #resume(gapMs: number, nowMs: number): void {
    this.#parts.journal.logDecision('pause-detected', { gapMs: Math.round(gapMs) });
    this.#statusExchange.resume(nowMs);
    this.#resumeListener?.();
  }

  #pollPeers(nowMs: number): void {
    const hasUnwrittenClaims = this.owners.some(({ cell }) => {
      const record = this.#registry.get(cell);
      return record !== null && this.#registry.isUnwritten(record);
    });
    this.#statusExchange.pollDue(hasUnwrittenClaims, nowMs);
  }

  /** Stores load reports of other hosts; for the cells that it owns, this host has newer data. */
  #updateLoads(summaries: readonly CellSummary[]): void {
    summaries.forEach((summary) => {
      if (!this.#ownedCells.get(summary.cell)) this.loads.set(summary);
    });
  }

  #refreshHealth(nowMs: number): void {
    this.#ownerHealth.refresh(this.#registry.all(), nowMs);
  }
}
