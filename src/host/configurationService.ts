/**
 * Keeps the configuration of this host up to date: performs the actions of the configuration
 * replica, runs the relay while the host has that role, and publishes configurations for operators.
 */
import {
  ConfigurationRelay,
  ConfigurationReplica,
  publish,
  SYSTEM_TIMERS,
  type Candidate,
  type Configuration,
  type PublishOutcome,
  type ReplicaAction,
} from '../configuration';
import type { ConfigurationRecord } from '../configuration/record';
import type { Clock, RandomSource } from '../core';
import { MemberState, type ConfigurationMessage, type Member } from '../core/messages';
import { ServiceName, type Service } from '../kernel';
import type { Log } from '../observe';
import type { PeerTransport } from '../peers/transport';
import type { Store } from '../store';

const TICK_MS = 250;

/** Dependencies and identity of a `ConfigurationService`. */
export interface ConfigurationServiceParts {
  readonly hostId: string;
  readonly domain: string;
  readonly service: string;
  readonly store: Store;
  readonly peers: Pick<PeerTransport, 'send'>;
  readonly random: RandomSource;
  readonly clock: Clock;
  readonly log: Log;
  /** Returns the members that watch the store on behalf of a domain. */
  readonly relaysOf: (domain: string, members: readonly Member[]) => readonly Member[];
  readonly onConfiguration: (configuration: Configuration) => void;
}

/** Returns the store key that holds the configuration of a service. */
export function configurationKey(service: string): string {
  return `/wasabiyoke/${service}/configuration`;
}

/** Connects the configuration replica and relay of one host to the store and its peers. */
export class ConfigurationService implements Service {
  readonly name = ServiceName.configuration;

  readonly #parts: ConfigurationServiceParts;

  readonly #replica: ConfigurationReplica;

  readonly #relay: ConfigurationRelay;

  readonly #key: string;

  #members: readonly Member[] = [];

  #timer: NodeJS.Timeout | null = null;

  #closed = false;

  constructor(parts: ConfigurationServiceParts) {
    this.#parts = parts;
    this.#key = configurationKey(parts.service);
    this.#replica = new ConfigurationReplica(parts.random);
    this.#relay = new ConfigurationRelay({
      store: parts.store,
      key: this.#key,
      random: parts.random,
      timers: SYSTEM_TIMERS,
      onEntry: (entry, mayWriteBack) =>
        this.#perform(this.#replica.onStoreEntry(entry, mayWriteBack)),
    });
  }

  get inForce(): ConfigurationRecord | null {
    return this.#replica.inForce;
  }

  async open(): Promise<void> {
    this.#timer = setInterval(
      () => this.#perform(this.#replica.onTick(this.#parts.clock.nowMs())),
      TICK_MS,
    );
  }

  async close(): Promise<void> {
    this.#closed = true;
    if (this.#timer) clearInterval(this.#timer);
    this.#relay.stop();
  }

  /**
   * Updates the peers of the replica, and starts or stops the relay if the role has changed. A
   * closed service ignores members, because the event bus may deliver them after the close.
   */
  setMembers(members: readonly Member[]): void {
    if (this.#closed) return;
    const { hostId, domain, relaysOf, log } = this.#parts;
    this.#members = members;
    const reachable = members.filter(
      (member) => member.hostId !== hostId && member.state !== MemberState.dead,
    );
    this.#replica.setPeers(reachable.map((member) => member.hostId));
    const isRelay = relaysOf(domain, members).some((member) => member.hostId === hostId);
    this.#replica.setRelay(isRelay);
    log.debug('configuration relay', { domain, isRelay });
    if (isRelay) this.#relay.start();
    else this.#relay.stop();
  }

  receive(from: string, message: ConfigurationMessage): void {
    const actions =
      message.type === 'configurationPush'
        ? this.#replica.onPush(from, message)
        : this.#replica.onPull(from, message);
    this.#perform(actions);
  }

  /** Handles the generation that a peer reported in a membership message. */
  observeGeneration(from: string, generation: number): void {
    this.#perform(this.#replica.onGeneration(from, generation, this.#parts.clock.nowMs()));
  }

  async publish(candidate: Candidate): Promise<PublishOutcome> {
    const { store, clock, log } = this.#parts;
    const context = {
      store,
      key: this.#key,
      inForce: this.#replica.inForce,
      newestHeard: this.#replica.newestHeard(clock.nowMs()),
    };
    const outcome = await publish(context, candidate);
    log.info('publication of a configuration', {
      outcome: outcome.outcome,
      publicationId: candidate.publicationId,
      publishedBy: candidate.publishedBy,
    });
    const record = 'record' in outcome ? outcome.record : null;
    if (record) this.#perform(this.#replica.onPublished(record));
    return outcome;
  }

  #perform(actions: readonly ReplicaAction[]): void {
    actions.forEach((action) => this.#performAction(action));
  }

  #performAction(action: ReplicaAction): void {
    const { log, peers, onConfiguration } = this.#parts;
    switch (action.type) {
      case 'putInForce':
        log.info('configuration in force', {
          generation: action.record.generation,
          publicationId: action.record.publicationId,
        });
        onConfiguration(action.configuration);
        break;
      case 'pushToDomain':
        this.#peersOfDomain().forEach(({ peerAddress }) => {
          peers.send(peerAddress, [action.message]);
        });
        break;
      case 'sendToPeer':
        peers.send(this.#addressOf(action.hostId), [action.message]);
        break;
      case 'writeBack':
        log.warn('the store holds an older configuration; writing the one in force back');
        this.#relay.writeBack(action);
        break;
      case 'rejectRecord':
        log.error('configuration record rejected', {
          source: action.source,
          reason: action.message,
          findings: action.findings,
        });
        break;
      default:
        log.error('a publication overrode one that it did not know', {
          overriddenId: action.overridden.publicationId,
          byId: action.by.publicationId,
        });
    }
  }

  #peersOfDomain(): readonly Member[] {
    const { hostId, domain } = this.#parts;
    return this.#members.filter(
      (member) =>
        member.domain === domain && member.hostId !== hostId && member.state !== MemberState.dead,
    );
  }

  #addressOf(hostId: string): string {
    return this.#members.find((member) => member.hostId === hostId)?.peerAddress ?? '';
  }
}
