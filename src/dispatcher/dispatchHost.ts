/**
 * One dispatcher process on a platform. Connects the cells, the job runner, the server for requests
 * of other hosts and the metrics, and drains them on shutdown. The interface for callers is part of
 * the platform.
 */
import type { Server } from 'node:http';
import { CrashHistory } from '../cells/crashHistory';
import type { RandomSource } from '../core/clock';
import { splitAddress } from '../settings/address';
import type { HostIdentity } from './ownership/cellRecord';
import { Cluster, type ClusterOptions } from './cluster';
import { Dispatcher } from './dispatcher';
import type { DispatchJournal } from './journal';
import { JobRunner } from './jobs/jobRunner';
import type { DispatchMetrics } from './metrics';
import { PeerClient } from './peers/peerClient';
import type { HostClock } from './peers/peerClocks';
import { PeerServer } from './peers/peerServer';
import { PlacementPreviewer } from './jobs/placementPreview';
import { StepRunner } from './jobs/stepRunner';
import type { Platform } from './platform';
import { QueueTable } from './jobs/queueTable';
import type { DispatcherSettings } from './settings';
import { latestLeaseEndMs } from './ownership/leaseTimes';

/** Dependencies of a `DispatchHost`. */
export interface DispatchHostParts {
  readonly settings: DispatcherSettings;
  readonly platform: Platform;
  readonly journal: DispatchJournal;
  readonly metrics: DispatchMetrics;
  readonly clock: HostClock;
  /** Number of log lines dropped since the start. */
  readonly droppedLines: () => number;
}

const INCARNATION_DIGITS = 12;
const HEX_RADIX = 16;
const RENEW_WAIT_MS = 120;
const WORKER_LIST_PERIOD_MS = 500;
/** Longest time from the decision to start a task until the start arrives at the worker. */
const START_MARGIN_MS = 150;
/**
 * Time until a worker missing from the list counts as gone. Entries that expired while the store of
 * the list was down are back within two seconds of its return.
 */
const MISSING_WORKER_GRACE_MS = 2500;
/**
 * Time within which a host that no longer polls for its batches is detected, and its runs stopped.
 */
const ABANDON_DETECTION_MS = 1000;
const DRAIN_POLL_MS = 50;
/** Time for the load balancer to detect the drain, and for other hosts to take the cells over. */
const MIN_DRAIN_MS = 2500;
/** Part of the drain time reserved for the process to exit by itself. */
const EXIT_MARGIN_MS = 700;

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/**
 * Distinguishes the processes of one host, by the time of their start and random digits. It needs
 * to be unique, not secret, and `node:crypto` would lengthen the start.
 */
function drawIncarnation({ timeOfDayMs }: HostClock, random: RandomSource): string {
  const digits = Array.from({ length: INCARNATION_DIGITS }, () =>
    Math.floor(random.next() * HEX_RADIX).toString(HEX_RADIX),
  );
  return `${Math.floor(timeOfDayMs()).toString(HEX_RADIX)}${digits.join('')}`;
}

/** A dispatcher process. */
export class DispatchHost {
  readonly dispatcher: Dispatcher;

  readonly #parts: DispatchHostParts;

  readonly #peers: PeerClient;

  readonly #peerServer: PeerServer;

  readonly #cluster: Cluster;

  #metricsServer: Server | null = null;

  #drainMs: number;

  constructor(parts: DispatchHostParts) {
    this.#parts = parts;
    this.#drainMs = parts.settings.drainMs;
    const { settings, platform, journal, metrics, clock } = parts;
    this.#peers = new PeerClient(clock, journal);
    const queues = new QueueTable();
    const random = { next: Math.random };
    const self: HostIdentity = {
      hostId: settings.hostId,
      incarnation: drawIncarnation(clock, random),
      domain: settings.domain,
      address: settings.announcedAddress,
      cores: settings.cores,
    };
    const options: ClusterOptions = {
      leaseMs: settings.leaseMs,
      submitterTimeoutMs: settings.resubmissionMs,
      abandonDetectionMs: ABANDON_DETECTION_MS,
      renewWaitMs: RENEW_WAIT_MS,
      missingGraceMs: MISSING_WORKER_GRACE_MS,
      workerListPeriodMs: WORKER_LIST_PERIOD_MS,
      maxEntryAgeMs: settings.capacityNoticeMs - START_MARGIN_MS,
      overloadPolicy: settings.overloadPolicy,
    };
    const crashes = new CrashHistory(clock.timeOfDayMs, settings.jobStateMs);
    this.#cluster = new Cluster({
      self,
      domains: settings.domains,
      platform,
      peers: this.#peers,
      seeds: settings.seeds,
      queues,
      options,
      crashes,
      clock,
      random,
      journal,
    });
    const stepRunner = new StepRunner({
      cluster: this.#cluster,
      random,
      prefix: `${settings.hostId}-${self.incarnation}`,
      lostRunsEndMs: latestLeaseEndMs(settings.leaseMs, ABANDON_DETECTION_MS),
      clock,
      journal,
    });
    const runner = new JobRunner({ stepRunner, crashes, clock, journal });
    const previewer = new PlacementPreviewer({
      cluster: this.#cluster,
      queues,
      random,
      clock,
      journal,
    });
    const { ownedCells } = this.#cluster;
    const isServing = () => this.#cluster.hasServedCells;
    this.dispatcher = new Dispatcher(queues, runner, metrics, journal, isServing);
    this.#peerServer = new PeerServer(
      {
        incarnation: self.incarnation,
        status: (request) =>
          this.#cluster.statusExchange.answer(
            request,
            this.#cluster.summaries,
            this.#cluster.isLeaving,
          ),
        run: (call, contact) => ownedCells.run(call, contact),
        withdraw: (cell, batchId, reason) => ownedCells.withdraw(cell, batchId, reason),
        summary: (cell) => ownedCells.summary(cell),
        roomIn: (cell, batch, namesWorker) => ownedCells.roomIn(cell, batch, namesWorker),
        preview: (request) => previewer.preview(request),
        runsOf: (cell, jobId) => ownedCells.runsOf(cell, jobId),
        configuration: () => queues.configuration,
      },
      clock,
      journal,
    );
    this.#cluster.onResume(() => this.#peerServer.resume());
    metrics.observeState({
      pending: () => runner.pending,
      owners: () => this.#cluster.owners,
      firstServiceMs: () => this.#cluster.firstServiceMs,
      configurationVersion: () => queues.version,
      configurationBehindMs: () => this.#cluster.statusExchange.configurations.behindMs,
      domains: settings.domains,
      drainedSinceMs: (domain) => this.#cluster.drains.drainedSinceMs(domain),
      runsIn: (domain) => this.#cluster.runsIn(domain),
      workerListAgeMs: () => this.#cluster.workerListAgeMs,
      droppedLines: parts.droppedLines,
    });
  }

  /** Names of the cells that this host owns. */
  get ownedCells(): readonly string[] {
    return this.#cluster.owners.map(({ cell }) => cell);
  }

  /** Names of the cells to which this host can send batches. */
  get servedCells(): readonly string[] {
    return this.#cluster.serving().map(({ cell }) => cell);
  }

  async open(): Promise<void> {
    const { settings, platform, metrics } = this.#parts;
    const peers = splitAddress(settings.peersAddress);
    await this.#peerServer.listen(peers.host, peers.port);
    this.#cluster.open();
    const { drains, statusExchange } = this.#cluster;
    platform.configurations.subscribe({
      configurationRead: (configuration) =>
        statusExchange.configurations.apply(configuration, 'store'),
      drainsRead: (listed, revision) => drains.applyRead(listed, revision),
      drainChanged: (drain) => drains.applyChange(drain),
    });
    const { host, port } = splitAddress(settings.metricsAddress);
    this.#metricsServer = metrics.listen(host, port, this.#parts.journal);
  }

  /** Sets the maximum duration of a drain. */
  setDrainTime(drainMs: number): void {
    this.#drainMs = drainMs;
  }

  /** Hands the cells over and waits for the jobs in progress, at most for the drain time. */
  async drain(): Promise<void> {
    const { clock, journal } = this.#parts;
    const startedAtMs = clock.nowMs();
    const deadlineMs = startedAtMs + this.#drainMs - EXIT_MARGIN_MS;
    this.dispatcher.drain();
    this.#cluster.leave();
    const isBusy = () => this.dispatcher.pending > 0 || this.#cluster.owners.length > 0;
    await sleep(MIN_DRAIN_MS);
    // The load balancer should have stopped by now. Answer new jobs as not run, so that they are
    // sent to another host.
    this.dispatcher.refuseNewJobs();
    while (clock.nowMs() < deadlineMs && isBusy()) {
      // eslint-disable-next-line no-await-in-loop -- polls until the work in progress has ended
      await sleep(DRAIN_POLL_MS);
    }
    this.dispatcher.abandonAll();
    await sleep(DRAIN_POLL_MS);
    journal.logDecision('drained', {
      elapsedMs: Math.round(clock.nowMs() - startedAtMs),
      pending: this.dispatcher.pending,
      cells: this.#cluster.owners.length,
    });
  }

  async close(): Promise<void> {
    const { platform } = this.#parts;
    platform.configurations.close();
    this.#cluster.close();
    this.#peerServer.close();
    this.#metricsServer?.close();
    this.#metricsServer?.closeAllConnections();
    await this.#peers.close();
    await platform.workerClient.close();
    await platform.store.close();
  }
}
