/** Drives one real core as the scheduler of a domain; the messages of the submitters are made up. */
import type { HostCore } from '../core/hostCore';
import type { CoreAction, CoreEvent } from '../core/events';
import { GrantOutcome, type SlotMessage, type SlotRequest } from '../core/messages';
import {
  createFleetCore,
  DEADLINE_MS,
  IGNORE_ACTIONS,
  RESOURCES,
  RUN_MS,
  type ActionObserver,
} from './slopesCores';
import {
  fleetConfiguration,
  fleetMembers,
  fleetWorkers,
  INCARNATION,
  KIND,
  teamName,
  workerStatus,
} from './slopesFleet';

interface Held {
  readonly grantId: number;
  readonly host: string;
}

/** A core that is the scheduler of a domain of the given size. */
export class SchedulerDrive {
  readonly core: HostCore;

  /** Advances by a little with each message, as at the design load. */
  nowMs = 1000;

  readonly #onAction: ActionObserver;

  readonly #hosts: readonly string[];

  #held: Held[] = [];

  #oldest = 0;

  #requestId = 0;

  constructor(workers: number, hosts: number, onAction = IGNORE_ACTIONS) {
    this.#onAction = onAction;
    const members = fleetMembers(hosts, 1);
    const ids = members.map((member) => member.hostId);
    this.#hosts = ids.slice(1);
    this.core = createFleetCore(ids[0] ?? '', ids[0] ?? '');
    this.handle({ type: 'configuration', configuration: fleetConfiguration() });
    this.handle({ type: 'members', members });
    const entries = fleetWorkers(workers);
    this.handle({ type: 'workerList', entries });
    entries.forEach((entry) => {
      this.handle({ type: 'workerStatus', workerId: entry.id, status: workerStatus(entry) });
    });
    this.nowMs += 100;
    this.handle({ type: 'tick' });
  }

  /** Grants that have not been released. */
  get held(): number {
    return this.#held.length - this.#oldest;
  }

  handle(event: CoreEvent): readonly CoreAction[] {
    const actions = this.core.handle(event, this.nowMs);
    actions.forEach((action) => this.#take(action));
    return actions;
  }

  /** A request of the next host and team; `begun` passes the admission check. */
  request(count: number, begun = false): void {
    this.#requestId += 1;
    const index = this.#requestId;
    const message: SlotRequest = {
      type: 'slotRequest',
      requestId: index,
      team: teamName(index),
      kind: KIND,
      count,
      resources: RESOURCES,
      deadlineMs: DEADLINE_MS,
      jobTasks: count,
      begun,
      waitedMs: 0,
    };
    this.#receive(this.#hosts[index % this.#hosts.length] ?? '', message);
  }

  /** Releases the grants that are held longest. */
  release(count: number): void {
    for (let left = Math.min(count, this.held); left > 0; left -= 1) {
      const held = this.#held[this.#oldest];
      this.#oldest += 1;
      if (held) this.#releaseOne(held);
    }
    if (this.#oldest > 100_000) {
      this.#held = this.#held.slice(this.#oldest);
      this.#oldest = 0;
    }
  }

  #releaseOne({ grantId, host }: Held): void {
    this.#receive(host, {
      type: 'slotRelease',
      grantId,
      outcome: GrantOutcome.succeeded,
      runTimeMs: RUN_MS,
    });
  }

  #receive(hostId: string, message: SlotMessage): void {
    this.nowMs += 0.03;
    const from = { hostId, incarnation: INCARNATION };
    this.handle({ type: 'peerMessages', from, messages: [message] });
  }

  #take(action: CoreAction): void {
    this.#onAction(action);
    if (action.type !== 'send') return;
    action.messages.forEach((message) => {
      if (message.type !== 'slotGrant') return;
      message.grants.forEach(({ grantId }) => this.#held.push({ grantId, host: action.to }));
    });
  }
}
