/**
 * The status exchange between hosts. Status calls carry the health of owners, the loads of their
 * cells, the ownership records, the workers of the requester's domain, the drained failure domains,
 * and the version of the configuration. A host that can't read the lists of its workers asks another
 * one for them by the same calls.
 */
import type { CellSummary } from '../../cells/messages';
import type { Clock } from '../../core/clock';
import type { CellRecord, HostIdentity } from '../ownership/cellRecord';
import { ConfigurationExchange } from './configurationExchange';
import type { CrashExchange } from './crashExchange';
import type { DrainedDomains } from '../drainedDomains';
import type { DispatchJournal } from '../journal';
import type { OwnerHealth } from '../ownership/claimPolicy';
import { StatusFailure, type PeerClient } from './peerClient';
import type { HostStatus, PeerStatus, StatusRequest } from './peerMessages';
import { PeerMonitor } from './peerMonitor';
import type { QueueTable } from '../jobs/queueTable';
import type { CellRegistry } from '../ownership/cellRegistry';
import type { WorkerLists } from '../ownership/workerLists';
import { ListSources } from './listSources';

/** Dependencies of the status exchange. */
export interface StatusExchangeParts {
  readonly self: HostIdentity;
  readonly peers: PeerClient;
  /** Addresses of hosts to poll for cluster state that could not be read from the store. */
  readonly seeds: readonly string[];
  readonly queues: QueueTable;
  readonly records: CellRegistry;
  readonly lists: WorkerLists;
  readonly crashes: Pick<CrashExchange, 'changesSince' | 'learn'>;
  readonly drains: DrainedDomains;
  readonly clock: Clock;
  readonly journal: DispatchJournal;
  /** Called with the cell loads in each answer. */
  readonly onSummaries: (summaries: readonly CellSummary[]) => void;
  /** Called after each status call, answered or not. */
  readonly onPolled: () => void;
}

/**
 * Poll period of hosts that are not owners: seeds, hosts of this domain that must be told of a
 * claim, and a host that is asked for lists of workers.
 */
const NON_OWNER_POLL_PERIOD_MS = 150;

/** Makes and answers the status calls of one host. */
export class StatusExchange {
  readonly #parts: StatusExchangeParts;

  readonly #monitor: PeerMonitor;

  /** The configuration of this host, and those that it gets from other hosts. */
  readonly configurations: ConfigurationExchange;

  readonly #listSources = new ListSources();

  #nonOwnersPolledAtMs = -Infinity;

  #closed = false;

  constructor(parts: StatusExchangeParts) {
    this.#parts = parts;
    this.#monitor = new PeerMonitor(parts.self.domain);
    this.configurations = new ConfigurationExchange(parts);
  }

  close(): void {
    this.#closed = true;
    this.configurations.close();
  }

  /** Restarts the timeouts after a pause of this process, during which it could read no answers. */
  resume(nowMs: number): void {
    this.#monitor.resume(nowMs);
  }

  health(owner: HostIdentity, cell: string, nowMs: number): OwnerHealth {
    return this.#monitor.health(owner, cell, nowMs);
  }

  /** True if the owner has answered a poll of this host since then. */
  hasAnsweredSince(owner: HostIdentity, sinceMs: number): boolean {
    return this.#monitor.hasAnsweredSince(owner, sinceMs);
  }

  /** Makes all owners due for a poll. */
  expediteAll(): void {
    this.#monitor.expediteAll();
  }

  /** Sets the number of cells in the cluster. */
  setCellCount(cells: number): void {
    this.#monitor.setCellCount(cells);
  }

  /** Monitors the owners in the current records, after the owner of a cell has changed. */
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

  /**
   * Polls the owners that are due, and other hosts where that is needed, and asks for a newer
   * configuration.
   */
  pollDue(hasUnwrittenClaims: boolean, nowMs: number): void {
    const { peers } = this.#parts;
    this.configurations.askIfDue();
    const due = this.#monitor.takeDue((address) => peers.mayHaveBatchesAt(address), nowMs);
    const addresses = new Set([...due, ...this.#takeDueNonOwners(hasUnwrittenClaims, nowMs)]);
    addresses.forEach((address) => this.poll(address));
  }

  /**
   * Addresses of non-owners to poll: the seeds while records or the configuration are missing, the
   * hosts of this domain while this host has claims that are not in the store, as the call carries
   * the claims, and one host while this one can't read the lists of its workers.
   */
  #takeDueNonOwners(hasUnwrittenClaims: boolean, nowMs: number): readonly string[] {
    const { self, queues, seeds, records, lists } = this.#parts;
    if (nowMs - this.#nonOwnersPolledAtMs < NON_OWNER_POLL_PERIOD_MS) return [];
    this.#nonOwnersPolledAtMs = nowMs;
    const lacksClusterState = records.all().length === 0 || queues.configuration === null;
    const seedAddresses = lacksClusterState ? seeds.filter((seed) => seed !== self.address) : [];
    const domainPeers = hasUnwrittenClaims ? records.domainPeers() : [];
    const wantsLists = lists.wanted(nowMs).length > 0;
    const source = wantsLists ? this.#listSources.next(records.otherAddresses()) : null;
    const sources = source === null ? [] : [source];
    return [...seedAddresses, ...domainPeers.map(({ address }) => address), ...sources];
  }

  /** Answers a status request from another host and merges the state that it carries. */
  answer(
    {
      from,
      configurationVersion,
      recordsDigest,
      records,
      listVersion,
      crashPosition,
      drains: sentDrains = [],
      wantedLists,
    }: StatusRequest,
    cells: readonly CellSummary[],
    leaving: boolean,
  ): HostStatus {
    const { self, lists, drains, clock } = this.#parts;
    this.configurations.learn(configurationVersion, from.address);
    this.#listSources.recordCaller(from.address);
    drains.merge(sentDrains, from.hostId);
    this.#learnRecords(records, from.hostId);
    return {
      hostId: self.hostId,
      incarnation: self.incarnation,
      leaving,
      configurationVersion: this.configurations.version,
      cellsPerDomain: this.#parts.records.cellsPerDomain,
      cells,
      ...this.#recordsFor(recordsDigest),
      workers: lists.newerThan(from.domain, listVersion),
      toldLists: wantedLists && lists.laterThan(wantedLists, clock.nowMs()),
      crashes: this.#parts.crashes.changesSince(crashPosition),
      drains: drains.isKnown ? drains.newerThan(sentDrains) : undefined,
    };
  }

  /** Polls one host and merges the state in its answer. */
  async poll(address: string): Promise<void> {
    const { self, peers, clock, lists, drains, onPolled: onAsked } = this.#parts;
    const knownDrains = drains.all();
    const askedAtMs = clock.nowMs();
    const wantedLists = lists.wanted(askedAtMs);
    const status = await peers.status(address, {
      from: self,
      configurationVersion: this.configurations.version,
      ...this.#recordsFor(this.#monitor.statusOf(address)?.recordsDigest ?? null),
      listVersion: lists.versionOf(self.domain),
      crashPosition: this.#monitor.statusOf(address)?.crashes?.position,
      drains: knownDrains.length > 0 ? knownDrains : undefined,
      wantedLists: wantedLists.length > 0 ? wantedLists : undefined,
    });
    if (this.#closed) return;
    const isAnswered = status !== StatusFailure.refused && status !== StatusFailure.unanswered;
    const hasTold = isAnswered && (status.toldLists?.length ?? 0) > 0;
    if (wantedLists.length > 0) this.#listSources.record(address, hasTold);
    if (status === StatusFailure.refused) {
      this.#monitor.recordRefusal(address);
    } else if (status !== StatusFailure.unanswered) {
      this.#monitor.recordStatus(address, status, clock.nowMs());
      this.#applyStatus(address, status, askedAtMs);
    }
    onAsked();
  }

  #applyStatus(address: string, status: PeerStatus, askedAtMs: number): void {
    const { self, lists, drains, onSummaries } = this.#parts;
    // Before the records: a host that learns from them that it owns a cell may start tasks there.
    if (status.drains) drains.mergeAll(status.drains, status.hostId);
    onSummaries(status.cells);
    // Hosts of earlier versions do not send it.
    if (status.cellsPerDomain) {
      this.#parts.records.setLayout(status.cellsPerDomain, status.hostId);
    }
    this.#learnRecords(status.records, status.hostId);
    if (status.crashes) this.#parts.crashes.learn(status.crashes.records, status.hostId);
    // Before the list for takeovers, which is the same one and is not passed to the owned cells.
    if (status.toldLists) lists.learn(status.toldLists, status.hostId, askedAtMs);
    if (status.workers) lists.merge(self.domain, status.workers, status.hostId, askedAtMs);
    this.configurations.learn(status.configurationVersion, address);
  }

  /** Ownership records for a host that sent this digest; none if its digest equals ours. */
  #recordsFor(peerDigest: string | null): {
    recordsDigest: string;
    records: readonly CellRecord[];
  } {
    const { records } = this.#parts;
    const { digest } = records;
    return { recordsDigest: digest, records: peerDigest === digest ? [] : records.all() };
  }

  #learnRecords(records: readonly CellRecord[], source: string): void {
    records.forEach((record) => this.#parts.records.merge(record, source));
  }
}
