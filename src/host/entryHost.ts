/**
 * One entry host: registers its services according to the settings, connects them by events, and
 * drains or closes them. The kernel owns all services, opens and closes them, and looks them up by
 * name.
 */
import { randomBytes } from 'node:crypto';
import { HostCore, type RandomSource } from '../core';
import { MemberState, type Member } from '../core/messages';
import { Kernel, ServiceName } from '../kernel';
import { relaysOf, schedulerOf } from '../membership';
import type { Log } from '../observe';
import { GrpcTransport } from '../peers';
import type { PeerTransport } from '../peers/transport';
import type { TransportOptions } from '../peers/transportOptions';
import { coreOptions, type Settings } from '../settings';
import { EtcdStore, type Store } from '../store';
import { HttpHostList, HttpWorkers, type Workers } from '../workers';
import { splitAddress } from '../settings';
import { CallerApi } from './callerApi';
import { ConfigurationService } from './configurationService';
import { CoreService } from './coreService';
import { HostListService } from './hostListService';
import { closeOnlyService } from './lifecycle';
import { MembershipService } from './membershipService';
import { MONOTONIC_CLOCK } from './monotonicClock';
import { OperatorApi } from './operatorApi';
import { OperatorFacade } from './operatorFacade';
import { createOutputs, type HostOutputs } from './outputs';
import { PeerService } from './peerService';

/** Connection limit for each worker until the number of entry hosts is known. */
const INITIAL_CONNECTIONS_PER_WORKER = 6;
const DRAIN_POLL_MS = 20;
const INCARNATION_BYTES = 6;
const SECRET_BYTES = 32;

const RANDOM: RandomSource = { next: () => Math.random() };

function delay(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** Creates the transport to the other entry hosts. */
export type TransportFactory = (options: TransportOptions) => PeerTransport;

function createGrpcTransport(options: TransportOptions): PeerTransport {
  return new GrpcTransport(options);
}

/** A running entry host. */
export class EntryHost {
  readonly #settings: Settings;

  readonly #incarnation = randomBytes(INCARNATION_BYTES).toString('hex');

  readonly #outputs: HostOutputs;

  readonly #kernel: Kernel;

  readonly #transport: PeerTransport;

  readonly #operatorFacade = new OperatorFacade({
    identity: () => ({ ...this.#settings.host, incarnation: this.#incarnation }),
    clock: MONOTONIC_CLOCK,
    core: () => this.#core,
    configuration: () => this.#configuration,
    peers: () => this.#transport,
    members: () => this.#members,
    schedulerOf: (domain) => schedulerOf(domain, this.#members)?.hostId ?? null,
    isRelay: () =>
      relaysOf(this.#settings.host.domain, this.#members).some(
        ({ hostId }) => hostId === this.#settings.host.id,
      ),
    drain: () => {
      this.drain();
    },
  });

  #members: readonly Member[] = [];

  #draining: Promise<void> | null = null;

  #drainedCallback: (() => void) | null = null;

  #aborted = false;

  /**
   * Does not open anything yet. Without `outputs`, log and metrics are set up from the settings.
   */
  constructor(
    settings: Settings,
    outputs: HostOutputs = createOutputs(settings),
    createTransport: TransportFactory = createGrpcTransport,
  ) {
    this.#settings = settings;
    this.#outputs = outputs;
    this.#kernel = new Kernel((fault) => {
      outputs.log.error('event subscriber failed', { ...fault, error: fault.error.message });
    });
    this.#transport = createTransport({
      hostId: settings.host.id,
      incarnation: this.#incarnation,
      listenAddress: settings.listen.peerAddress,
      log: outputs.log,
      onDisconnect: (address) => this.#membership.connectionLost(address),
    });
    this.#registerClients();
    this.#registerPeers();
    this.#registerCore();
    this.#registerConfiguration();
    this.#registerMembership();
    this.#registerHostList();
    this.#registerApis();
    this.#subscribe();
  }

  /** `ip:port` of the callers' interface. */
  get callerAddress(): string {
    return this.#kernel.find<CallerApi>(ServiceName.callerApi).address;
  }

  async open(): Promise<void> {
    await this.#kernel.open();
    const { host, listen } = this.#settings;
    this.#log.info('entry host is open', { incarnation: this.#incarnation, ...listen, ...host });
  }

  /**
   * Shuts down gracefully: reports not ready and gives up its roles, keeps serving for the load
   * balancer's grace period, then refuses new jobs, and closes once all jobs in progress have been
   * answered. Further calls return the same promise.
   */
  drain(): Promise<void> {
    this.#draining ??= this.#runDrain();
    return this.#draining;
  }

  /**
   * Sets the callback for when a drain has closed the host, whether or not an operator began it.
   */
  onDrained(callback: () => void): void {
    this.#drainedCallback = callback;
  }

  /** Closes the host after the requests in progress have been answered. */
  close(): Promise<void> {
    return this.#kernel.close();
  }

  /** Closes at once, like a crash: connections are destroyed and jobs in progress get no answer. */
  async abort(): Promise<void> {
    this.#aborted = true;
    this.#kernel.find<CallerApi>(ServiceName.callerApi).abort();
    await this.#transport.close(0);
    await this.#kernel.close();
  }

  get #log(): Log {
    return this.#outputs.log;
  }

  get #core(): CoreService {
    return this.#kernel.find(ServiceName.core);
  }

  get #membership(): MembershipService {
    return this.#kernel.find(ServiceName.membership);
  }

  get #configuration(): ConfigurationService {
    return this.#kernel.find(ServiceName.configuration);
  }

  #registerClients(): void {
    const { store, core } = this.#settings;
    const { log, metrics, close } = this.#outputs;
    const etcd = new EtcdStore({ endpoints: store.endpoints, callTimeoutMs: store.timeoutMs });
    const workers = new HttpWorkers(INITIAL_CONNECTIONS_PER_WORKER, {
      controlTimeoutMs: core.taskLeaseMs / 2,
    });
    this.#kernel.register(closeOnlyService(ServiceName.log, close), log);
    this.#kernel.register(
      closeOnlyService(ServiceName.metrics, () => Promise.resolve()),
      metrics,
    );
    this.#kernel.register(
      closeOnlyService(ServiceName.store, () => etcd.close()),
      etcd,
    );
    this.#kernel.register(
      closeOnlyService(ServiceName.workers, () => workers.close()),
      workers,
    );
  }

  #registerPeers(): void {
    this.#kernel.register(
      new PeerService(this.#transport, {
        slots: (from, messages) => this.#core.receive(from, messages),
        membership: (from, message) => this.#membership.receive(from, message),
        configuration: (from, message) => this.#configuration.receive(from.hostId, message),
        forward: (key, job) => this.#core.acceptForwarded(key, job),
        forwardCancel: (key) => this.#core.acceptForwardedCancel(key),
        forwardAwait: (key) => this.#core.acceptForwardedAwait(key),
        status: () => this.#operatorFacade.peerStatus(),
      }),
    );
  }

  #registerCore(): void {
    const { host } = this.#settings;
    const core = new HostCore({
      hostId: host.id,
      incarnation: this.#incarnation,
      secret: randomBytes(SECRET_BYTES).toString('hex'),
      domain: host.domain,
      options: coreOptions(this.#settings),
      random: RANDOM,
      chooseScheduler: schedulerOf,
    });
    this.#kernel.register(
      new CoreService({
        hostId: host.id,
        core,
        clock: MONOTONIC_CLOCK,
        workers: this.#kernel.find<Workers>(ServiceName.workers),
        peers: this.#transport,
        decisions: this.#outputs.decisions,
        metrics: this.#outputs.metrics,
      }),
    );
  }

  #registerConfiguration(): void {
    const { id, domain, service } = this.#settings.host;
    this.#kernel.register(
      new ConfigurationService({
        hostId: id,
        domain,
        service,
        store: this.#kernel.find<Store>(ServiceName.store),
        peers: this.#transport,
        random: RANDOM,
        clock: MONOTONIC_CLOCK,
        log: this.#log,
        relaysOf,
        onConfiguration: (configuration) => {
          this.#kernel.publish('configurationChanged', configuration);
        },
      }),
    );
  }

  #registerMembership(): void {
    this.#kernel.register(
      new MembershipService({
        self: {
          hostId: this.#settings.host.id,
          incarnation: this.#incarnation,
          domain: this.#settings.host.domain,
          peerAddress: this.#settings.listen.peerAddress,
          state: MemberState.alive,
          sequence: 0,
        },
        service: this.#settings.host.service,
        store: this.#kernel.find<Store>(ServiceName.store),
        seeds: this.#settings.peers.seeds,
        random: RANDOM,
        clock: MONOTONIC_CLOCK,
        peers: this.#transport,
        log: this.#log,
        onMembers: (members) => this.#kernel.publish('membersChanged', members),
        onGeneration: (from, generation) => this.#configuration.observeGeneration(from, generation),
        onConfirmed: () => this.#core.confirm(),
      }),
    );
  }

  #registerHostList(): void {
    const { hostList, host } = this.#settings;
    this.#kernel.register(
      new HostListService({
        hostList: new HttpHostList(new URL(hostList.url).host),
        domain: host.domain,
        pollMs: hostList.pollMs,
        log: this.#log,
        onList: (entries) => this.#core.setWorkerList(entries),
      }),
    );
  }

  #registerApis(): void {
    const { caller, listen, core } = this.#settings;
    const { host: address, port } = splitAddress(listen.callerAddress);
    this.#kernel.register(
      new CallerApi(
        this.#core,
        {
          address,
          port,
          connections: caller.connections,
          headerBytes: caller.headerBytes,
          bodyBytes: caller.bodyBytes,
          headersTimeoutMs: caller.headerTimeoutMs,
          requestTimeoutMs: caller.requestTimeoutMs,
          keyLifetimeMs: core.keyLifetimeMs,
        },
        this.#outputs,
      ),
    );
    const api = new OperatorApi(this.#operatorFacade, this.#log);
    const operator = splitAddress(listen.operatorAddress);
    this.#kernel.register({
      name: ServiceName.operatorApi,
      open: async () => {
        await api.open(operator.host, operator.port);
      },
      close: () => api.close(),
    });
  }

  #subscribe(): void {
    this.#kernel.subscribe('membersChanged', 'host', (members) => {
      this.#members = members;
      this.#core.setMembers(members);
      this.#configuration.setMembers(members);
    });
    this.#kernel.subscribe('configurationChanged', 'host', (configuration) => {
      this.#core.setConfiguration(configuration);
      this.#membership.setGeneration(configuration.generation);
    });
    this.#kernel.subscribe('drainBegun', 'host', () => {
      this.#kernel.find<CallerApi>(ServiceName.callerApi).drain();
      this.#membership.leave();
    });
  }

  async #runDrain(): Promise<void> {
    this.#log.info('drain begun');
    this.#kernel.publish('drainBegun', { reason: 'asked' });
    await delay(this.#settings.caller.drainGraceMs);
    this.#core.drain();
    await this.#waitUntilAllAnswered();
    this.#log.info('drained');
    await this.close();
    this.#drainedCallback?.();
  }

  async #waitUntilAllAnswered(): Promise<void> {
    if (this.#aborted || this.#core.pending() === 0) return;
    await delay(DRAIN_POLL_MS);
    await this.#waitUntilAllAnswered();
  }
}
