/**
 * What hosts tell each other with their status calls: whether owners serve, how full their cells are,
 * who owns what, the workers of the asker's domain, and the newest configuration.
 */
import type { CellSummary } from '../cells/messages';
import type { Clock } from '../core/clock';
import type { CellRecord, HostIdentity } from './cellRecord';
import type { DispatchJournal } from './journal';
import type { OwnerHealth } from './claimPolicy';
import { StatusFailure, type PeerClient } from './peerClient';
import type { HostStatus, PeerStatus, StatusRequest } from './peerMessages';
import { PeerMonitor } from './peerMonitor';
import type { QueueConfiguration, QueueTable } from './queueTable';
import type { CellRegistry } from './cellRegistry';
import type { WorkerLists } from './workerLists';

/** What the talk between hosts is built from. */
export interface StatusExchangeParts {
  readonly self: HostIdentity;
  readonly peers: PeerClient;
  /** Addresses of hosts that may tell what the store can't. */
  readonly seeds: readonly string[];
  readonly queues: QueueTable;
  readonly records: CellRegistry;
  readonly lists: WorkerLists;
  readonly clock: Clock;
  readonly journal: DispatchJournal;
  /** Called with the cells of a host that has answered, and after each call. */
  readonly onSummaries: (summaries: readonly CellSummary[]) => void;
  readonly onPolled: () => void;
}

/** Period of the questions to hosts that own nothing: seeds, and neighbours that must hear of a claim. */
const OTHERS_PERIOD_MS = 150;

/** Status calls of one host. */
export class StatusExchange {
  readonly #parts: StatusExchangeParts;

  readonly #monitor: PeerMonitor;

  #othersAskedAtMs = -Infinity;

  #closed = false;

  constructor(parts: StatusExchangeParts) {
    this.#parts = parts;
    this.#monitor = new PeerMonitor(parts.self.domain);
  }

  close(): void {
    this.#closed = true;
  }

  /** After a pause of this process: what was not heard in that time says nothing. */
  resume(nowMs: number): void {
    this.#monitor.resume(nowMs);
  }

  health(owner: HostIdentity, cell: string, nowMs: number): OwnerHealth {
    return this.#monitor.health(owner, cell, nowMs);
  }

  /** Sets how many cells there are. */
  setCellCount(cells: number): void {
    this.#monitor.setCellCount(cells);
  }

  /** Follows the owners that the records name now, after a cell has got a new one. */
  ownerChanged(changed: CellRecord, nowMs: number): void {
    const { self, peers, records } = this.#parts;
    const owners = records.all().map(({ owner }) => owner);
    this.#monitor.setOwners(
      owners.filter(({ address }) => address !== self.address),
      nowMs,
    );
    this.#monitor.expectCell(changed.owner.address, changed.cell, nowMs);
    peers.abandonCallsToFormerOwners(changed);
  }

  /** Asks the owners of cells whose turn it is, and others that must be asked now. */
  pollDue(hasUnwrittenClaims: boolean, nowMs: number): void {
    const { peers } = this.#parts;
    const due = this.#monitor.takeDue((address) => peers.mayHaveBatchesAt(address), nowMs);
    const addresses = new Set([...due, ...this.#takeOthers(hasUnwrittenClaims, nowMs)]);
    addresses.forEach((address) => this.poll(address));
  }

  /**
   * The seeds while nothing else is known. Neighbours are asked, and so told, of claims that they can't
   * learn of from the store.
   */
  #takeOthers(hasUnwrittenClaims: boolean, nowMs: number): readonly string[] {
    const { self, queues, seeds, records } = this.#parts;
    if (nowMs - this.#othersAskedAtMs < OTHERS_PERIOD_MS) return [];
    this.#othersAskedAtMs = nowMs;
    const lacksNews = records.all().length === 0 || queues.configuration === null;
    const strangers = lacksNews ? seeds.filter((seed) => seed !== self.address) : [];
    const neighbours = hasUnwrittenClaims ? records.domainPeers() : [];
    return [...strangers, ...neighbours.map(({ address }) => address)];
  }

  /** Answers another host's question, and takes what it knows. */
  answer(
    { from, configurationVersion, recordsDigest, records, listVersion }: StatusRequest,
    cells: readonly CellSummary[],
    leaving: boolean,
  ): HostStatus {
    const { self, lists } = this.#parts;
    const known = this.#configurationVersion();
    if (configurationVersion > known) this.#pullConfiguration(from.address);
    this.#learnRecords(records, from.hostId);
    return {
      hostId: self.hostId,
      incarnation: self.incarnation,
      leaving,
      configurationVersion: known,
      cellsPerDomain: this.#parts.records.cellsPerDomain,
      cells,
      ...this.#tell(recordsDigest),
      workers: lists.newerThan(from.domain, listVersion),
    };
  }

  /** Puts a configuration in force if it is newer. */
  configure(configuration: QueueConfiguration, source: string): void {
    if (!this.#parts.queues.apply(configuration)) return;
    this.#parts.journal.logDecision('configuration-in-force', {
      version: configuration.version,
      queues: configuration.bindings.length,
      source,
    });
  }

  #configurationVersion(): number {
    return this.#parts.queues.configuration?.version ?? 0;
  }

  /** Asks one host, and takes what it says. */
  async poll(address: string): Promise<void> {
    const { self, peers, clock, lists, onPolled: onAsked } = this.#parts;
    const status = await peers.status(address, {
      from: self,
      configurationVersion: this.#configurationVersion(),
      ...this.#tell(this.#monitor.statusOf(address)?.recordsDigest ?? null),
      listVersion: lists.versionOf(self.domain),
    });
    if (this.#closed) return;
    if (status === StatusFailure.refused) {
      this.#monitor.refused(address);
    } else if (status !== StatusFailure.unanswered) {
      this.#monitor.answered(address, status, clock.nowMs());
      this.#learn(address, status);
    }
    onAsked();
  }

  #learn(address: string, status: PeerStatus): void {
    const { self, lists, onSummaries } = this.#parts;
    onSummaries(status.cells);
    // Hosts of an earlier version do not tell it.
    if (status.cellsPerDomain) {
      this.#parts.records.setLayout(status.cellsPerDomain, status.hostId);
    }
    this.#learnRecords(status.records, status.hostId);
    if (status.workers) lists.merge(self.domain, status.workers);
    if (status.configurationVersion > this.#configurationVersion()) {
      this.#pullConfiguration(address);
    }
  }

  /** What a host that sent this digest should be told of the owners of the cells. */
  #tell(theirs: string | null): { recordsDigest: string; records: readonly CellRecord[] } {
    const { records } = this.#parts;
    const { digest } = records;
    return { recordsDigest: digest, records: theirs === digest ? [] : records.all() };
  }

  #learnRecords(records: readonly CellRecord[], source: string): void {
    records.forEach((record) => this.#parts.records.merge(record, source));
  }

  async #pullConfiguration(address: string): Promise<void> {
    const configuration = await this.#parts.peers.configuration(address);
    if (configuration) this.configure(configuration, address);
  }
}
