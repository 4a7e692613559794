/**
 * One entry host: registers the services that its settings call for, joins them by events, and drains
 * or closes them. Services find each other by name in the kernel, which owns and closes them all.
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
import { closing } from './lifecycle';
import { MembershipService } from './membershipService';
import { MONOTONIC_CLOCK } from './monotonicClock';
import { OperatorApi } from './operatorApi';
import { OperatorFacade } from './operatorFacade';
import { createOutputs, type HostOutputs } from './outputs';
import { PeerService } from './peerService';

/** Connections per worker until the number of hosts is known. */
const FIRST_CONNECTIONS = 6;
const DRAIN_CHECK_MS = 20;
const INCARNATION_BYTES = 6;
const SECRET_BYTES = 32;

const RANDOM: RandomSource = { next: () => Math.random() };

function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** Makes the transport to the other entry hosts. */
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

  readonly #operators = new OperatorFacade({
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

  /** Builds the host and opens nothing. Without `outputs` it logs and measures as its settings say. */
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
   * Graceful shutdown: says not ready and leaves its roles, serves on for the load balancer's grace
   * time, then refuses new jobs, and closes once every job in progress has been answered.
   */
  drain(): Promise<void> {
    this.#draining ??= this.#drainOnce();
    return this.#draining;
  }

  /** Calls back once when a drain that anybody began has closed the host. */
  onDrained(callback: () => void): void {
    this.#drainedCallback = callback;
  }

  /** Closes; requests in progress are answered first. */
  close(): Promise<void> {
    return this.#kernel.close();
  }

  /** Closes at once, as a crash would: connections break and jobs in progress get no answer. */
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
    const workers = new HttpWorkers(FIRST_CONNECTIONS, { controlTimeoutMs: core.taskLeaseMs / 2 });
    this.#kernel.register(closing(ServiceName.log, close), log);
    this.#kernel.register(
      closing(ServiceName.metrics, () => Promise.resolve()),
      metrics,
    );
    this.#kernel.register(
      closing(ServiceName.store, () => etcd.close()),
      etcd,
    );
    this.#kernel.register(
      closing(ServiceName.workers, () => workers.close()),
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
        status: () => this.#operators.peerStatus(),
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
    const api = new OperatorApi(this.#operators, this.#log);
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

  async #drainOnce(): Promise<void> {
    this.#log.info('drain begun');
    this.#kernel.publish('drainBegun', { reason: 'asked' });
    await pause(this.#settings.caller.drainGraceMs);
    this.#core.drain();
    await this.#allAnswered();
    this.#log.info('drained');
    await this.close();
    this.#drainedCallback?.();
  }

  async #allAnswered(): Promise<void> {
    if (this.#aborted || this.#core.pending() === 0) return;
    await pause(DRAIN_CHECK_MS);
    await this.#allAnswered();
  }
}
