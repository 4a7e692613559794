/**
 * What hosts tell each other with their status calls: whether owners serve, how full their cells are,
 * who owns what, the workers of the asker's domain, and the newest configuration.
 */
import type { CellSummary } from '../cells/messages';
import type { Clock } from '../core/clock';
import type { CellRecord, HostIdentity } from './cellRecord';
import type { DispatchJournal } from './journal';
import type { OwnerHealth } from './ownership';
import { StatusFailure, type PeerClient } from './peerClient';
import type { PeerStatus, StatusQuestion } from './peerMessages';
import { PeerMonitor } from './peerMonitor';
import type { QueueConfiguration, QueueTable } from './queueTable';
import type { RecordKeeper } from './recordKeeper';
import type { WorkerLists } from './workerLists';

/** What the talk between hosts is built from. */
export interface PeerTalkParts {
  readonly self: HostIdentity;
  readonly peers: PeerClient;
  /** Addresses of hosts that may tell what the store can't. */
  readonly seeds: readonly string[];
  readonly queues: QueueTable;
  readonly records: RecordKeeper;
  readonly lists: WorkerLists;
  readonly clock: Clock;
  readonly journal: DispatchJournal;
  /** Called with the cells of a host that has answered, and after each call. */
  readonly onSummaries: (summaries: readonly CellSummary[]) => void;
  readonly onAsked: () => void;
}

/** Status calls of one host. */
export class PeerTalk {
  readonly #parts: PeerTalkParts;

  readonly #monitor = new PeerMonitor();

  #closed = false;

  constructor(parts: PeerTalkParts) {
    this.#parts = parts;
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

  /**
   * Asks the owners of all cells, and the seeds while nothing else is known. Neighbours are asked, and
   * so told, of claims that they can't learn of from the store.
   */
  askAll(hasUnwrittenClaims: boolean, nowMs: number): void {
    const { self, queues, seeds, records } = this.#parts;
    const known = records.all();
    const owners = known.map(({ owner }) => owner);
    this.#monitor.setOwners(
      owners.filter(({ address }) => address !== self.address),
      nowMs,
    );
    const lacksNews = known.length === 0 || queues.configuration === null;
    const strangers = lacksNews ? seeds.filter((seed) => seed !== self.address) : [];
    const neighbours = hasUnwrittenClaims ? records.neighbours() : [];
    const addresses = new Set([
      ...this.#monitor.addresses(),
      ...strangers,
      ...neighbours.map(({ address }) => address),
    ]);
    addresses.forEach((address) => this.#ask(address));
  }

  /** Answers another host's question, and takes what it knows. */
  answer(
    { from, configurationVersion, records, listVersion }: StatusQuestion,
    cells: readonly CellSummary[],
    leaving: boolean,
  ): PeerStatus {
    const { self, lists } = this.#parts;
    const known = this.#configurationVersion();
    if (configurationVersion > known) this.#pullConfiguration(from.address);
    this.#learnRecords(records, from.hostId);
    return {
      hostId: self.hostId,
      incarnation: self.incarnation,
      leaving,
      configurationVersion: known,
      cells,
      records: this.#parts.records.all(),
      workers: lists.newerThan(from.domain, listVersion),
    };
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

  #configurationVersion(): number {
    return this.#parts.queues.configuration?.version ?? 0;
  }

  async #ask(address: string): Promise<void> {
    const { self, peers, clock, records, lists, onAsked } = this.#parts;
    const status = await peers.status(address, {
      from: self,
      configurationVersion: this.#configurationVersion(),
      records: records.all(),
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
    this.#learnRecords(status.records, status.hostId);
    if (status.workers) lists.learn(self.domain, status.workers);
    if (status.configurationVersion > this.#configurationVersion()) {
      this.#pullConfiguration(address);
    }
  }

  #learnRecords(records: readonly CellRecord[], source: string): void {
    records.forEach((record) => this.#parts.records.learn(record, source));
  }

  async #pullConfiguration(address: string): Promise<void> {
    const configuration = await this.#parts.peers.configuration(address);
    if (configuration) this.configure(configuration, address);
  }
}
