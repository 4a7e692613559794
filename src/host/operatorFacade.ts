/**
 * Implements the operators' interface with the services of this host. Queries the other hosts for
 * data that only they have: the schedulers for workers and queues, each member for its generation.
 */
import { randomUUID } from 'node:crypto';
import { Err, Ok, type Result } from 'ts-results';
import {
  diffConfigurations,
  parseConfiguration,
  type PublishOutcome as StoreOutcome,
} from '../configuration';
import { toConfiguration } from '../configuration/record';
import type { Clock, HostView } from '../core';
import { MemberState, type Member } from '../core/messages';
import type { PeerTransport } from '../peers/transport';
import type { Finding } from '../settings/finding';
import type { ConfigurationService } from './configurationService';
import type { CoreService } from './coreService';
import type {
  ConfigurationChange,
  ConfigurationView,
  GenerationInForce,
  HostStatus,
  OperatorService,
  PublishOutcome,
  PublishRequest,
  QueueView,
  WorkerView,
} from './operatorService';

/** Answer of a host to a status request of a peer. */
export interface PeerStatus {
  readonly status: HostStatus;
  readonly view: HostView;
  /** Monotonic time of that host, the reference for the times in `view`. */
  readonly nowMs: number;
}

/** Identity of this host. */
export interface HostIdentity {
  readonly id: string;
  readonly incarnation: string;
  readonly service: string;
  readonly region: string;
  readonly domain: string;
}

/** Dependencies of the facade; the services are looked up at the time of use. */
export interface OperatorFacadeParts {
  readonly identity: () => HostIdentity;
  readonly clock: Clock;
  readonly core: () => CoreService;
  readonly configuration: () => ConfigurationService;
  readonly peers: () => PeerTransport;
  readonly members: () => readonly Member[];
  readonly schedulerOf: (domain: string) => string | null;
  readonly isRelay: () => boolean;
  readonly drain: () => void;
}

function toPublishOutcome(outcome: StoreOutcome): PublishOutcome {
  switch (outcome.outcome) {
    case 'published': {
      const { generation, publicationId } = outcome;
      return { outcome: 'published', generation, publicationId };
    }
    case 'lostRace': {
      const { generation, publicationId, publishedBy, publishedAtMs } = outcome.winner;
      const winner = { generation, publicationId, publishedBy, publishedAtMs };
      return { outcome: 'lostRace', winner };
    }
    case 'invalid':
      return { outcome: 'rejected', findings: outcome.findings };
    case 'unavailable':
      return { outcome: 'unavailable', detail: outcome.message };
    default: {
      const { publicationId, message } = outcome;
      return { outcome: 'unknown', publicationId, detail: message };
    }
  }
}

function workersOf({ view: { scheduler } }: PeerStatus): readonly WorkerView[] {
  return scheduler.workers.map((worker) => ({
    workerId: worker.id,
    domain: scheduler.domain,
    rack: worker.rack,
    address: worker.address,
    condition: worker.state,
    slots: worker.slots,
    usedSlots: worker.usedSlots,
  }));
}

function queuesOf({ view: { scheduler }, nowMs }: PeerStatus): readonly QueueView[] {
  return scheduler.queues.map((queue) => ({
    domain: scheduler.domain,
    team: queue.team,
    kind: queue.kind,
    urgency: queue.urgency,
    queuedTasks: queue.queuedTasks,
    usedSlots: queue.usedSlots,
    oldestWaitMs: queue.oldestArrivalMs === null ? 0 : Math.round(nowMs - queue.oldestArrivalMs),
  }));
}

async function findConfigurationErrors(file: string, text: string): Promise<readonly Finding[]> {
  const parsed = parseConfiguration(file, text);
  return parsed.ok ? [] : parsed.val;
}

/** Operators' interface of one host and, through it, of the other hosts. */
export class OperatorFacade implements OperatorService {
  readonly checkConfiguration = findConfigurationErrors;

  readonly #parts: OperatorFacadeParts;

  readonly #startedAtMs: number;

  #draining = false;

  constructor(parts: OperatorFacadeParts) {
    this.#parts = parts;
    this.#startedAtMs = parts.clock.nowMs();
  }

  /** Answers a status request of a peer. */
  peerStatus(): PeerStatus {
    const { core, clock } = this.#parts;
    return { status: this.#status(), view: core().inspect(), nowMs: clock.nowMs() };
  }

  async status(): Promise<HostStatus> {
    return this.#status();
  }

  async members(): Promise<readonly Member[]> {
    return this.#parts.members();
  }

  async workers(): Promise<readonly WorkerView[]> {
    return (await this.#schedulers()).flatMap(workersOf);
  }

  async queues(): Promise<readonly QueueView[]> {
    return (await this.#schedulers()).flatMap(queuesOf);
  }

  async configuration(): Promise<ConfigurationView | null> {
    return this.#parts.configuration().inForce;
  }

  async diffConfiguration(
    text: string,
  ): Promise<Result<readonly ConfigurationChange[], readonly Finding[]>> {
    const parsed = parseConfiguration('proposed', text);
    if (parsed.err) return Err(parsed.val);
    const record = this.#parts.configuration().inForce;
    const inForce = record === null ? null : toConfiguration(record);
    const current = inForce?.ok ? inForce.val : null;
    const proposed = { generation: 0, publicationId: '', teams: parsed.val };
    return Ok(diffConfigurations(current, proposed));
  }

  async publishConfiguration(request: PublishRequest): Promise<PublishOutcome> {
    const { file, text, publishedBy, expectedGeneration } = request;
    const outcome = await this.#parts.configuration().publish({
      file,
      text,
      publishedBy,
      publicationId: randomUUID(),
      publishedAtMs: Date.now(),
      ...(expectedGeneration === undefined ? {} : { basedOnGeneration: expectedGeneration }),
    });
    return toPublishOutcome(outcome);
  }

  /** Dead members are listed with a null generation, because they may come back. */
  async inForce(): Promise<readonly GenerationInForce[]> {
    return Promise.all(
      this.#parts.members().map(async (member) => {
        const status = await this.#statusOf(member);
        const { hostId, domain } = member;
        return { hostId, domain, generation: status?.status.generation ?? null };
      }),
    );
  }

  async drain(): Promise<void> {
    if (this.#draining) return;
    this.#draining = true;
    this.#parts.drain();
  }

  async #schedulers(): Promise<readonly PeerStatus[]> {
    const { members, schedulerOf } = this.#parts;
    const schedulers = members().filter(({ hostId, domain }) => schedulerOf(domain) === hostId);
    const statuses = await Promise.all(schedulers.map((member) => this.#statusOf(member)));
    return statuses.flatMap((status) => (status === null ? [] : [status]));
  }

  async #statusOf(member: Member): Promise<PeerStatus | null> {
    if (member.hostId === this.#parts.identity().id) return this.peerStatus();
    if (member.state === MemberState.dead) return null;
    return (await this.#parts.peers().status(member.peerAddress)) as PeerStatus | null;
  }

  #status(): HostStatus {
    const { identity, clock, core, configuration, schedulerOf, isRelay } = this.#parts;
    const { id, incarnation, service, region, domain } = identity();
    return {
      hostId: id,
      incarnation,
      service,
      region,
      domain,
      state: this.#draining ? 'draining' : 'serving',
      schedulerId: schedulerOf(domain),
      relay: isRelay(),
      generation: configuration().inForce?.generation ?? 0,
      pendingSubmissions: core().pending(),
      uptimeMs: Math.round(clock.nowMs() - this.#startedAtMs),
    };
  }
}
