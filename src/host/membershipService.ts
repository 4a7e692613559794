/** Runs the membership protocol: passes it ticks and messages, and performs its actions. */
import type { Clock, RandomSource } from '../core';
import type { Member, MembershipMessage } from '../core/messages';
import { ServiceName, type Service } from '../kernel';
import { Directory, Membership, type MembershipAction } from '../membership';
import type { Log } from '../observe';
import type { PeerOrigin, PeerTransport } from '../peers/transport';
import type { Store } from '../store';

const TICK_MS = 20;

/** Dependencies and identity of a `MembershipService`. */
export interface MembershipServiceParts {
  readonly self: Member;
  readonly service: string;
  readonly store: Store;
  readonly seeds: readonly string[];
  readonly random: RandomSource;
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly log: Log;
  readonly onMembers: (members: readonly Member[]) => void;
  readonly onGeneration: (hostId: string, generation: number) => void;
  readonly onConfirmed: () => void;
}

/** Connects the membership protocol and the host directory to timers and the peer transport. */
export class MembershipService implements Service {
  readonly name = ServiceName.membership;

  readonly #parts: MembershipServiceParts;

  readonly #membership: Membership;

  readonly #directory: Directory;

  #timer: NodeJS.Timeout | null = null;

  constructor(parts: MembershipServiceParts) {
    this.#parts = parts;
    const { self, seeds, random, store, service, log } = parts;
    this.#membership = new Membership(self, seeds, random);
    this.#directory = new Directory({
      store,
      service,
      self,
      log,
      onHosts: (members) => this.#addHosts(members),
    });
  }

  async open(): Promise<void> {
    this.#parts.onMembers(this.#membership.members());
    this.#timer = setInterval(() => {
      this.#perform(this.#membership.tick(this.#parts.clock.nowMs()));
    }, TICK_MS);
    this.#directory.open();
  }

  async close(): Promise<void> {
    if (this.#timer) clearInterval(this.#timer);
    this.#timer = null;
    await this.#directory.close();
  }

  members(): readonly Member[] {
    return this.#membership.members();
  }

  setGeneration(generation: number): void {
    this.#membership.setGeneration(generation);
  }

  receive(from: PeerOrigin, message: MembershipMessage): void {
    this.#perform(this.#membership.receive(from, message, this.#parts.clock.nowMs()));
  }

  /** Announces to the other members that this host accepts no new work. */
  leave(): void {
    this.#perform(this.#membership.leave(this.#parts.clock.nowMs()));
  }

  connectionLost(peerAddress: string): void {
    const member = this.#membership.members().find((known) => known.peerAddress === peerAddress);
    if (!member) return;
    this.#perform(this.#membership.connectionLost(member.hostId, this.#parts.clock.nowMs()));
  }

  #addHosts(members: readonly Member[]): void {
    this.#perform(this.#membership.learn(members, this.#parts.clock.nowMs()));
  }

  #perform(actions: readonly MembershipAction[]): void {
    actions.forEach((action) => this.#performAction(action));
  }

  #performAction(action: MembershipAction): void {
    const { peers, log, onMembers, onGeneration, onConfirmed, self } = this.#parts;
    switch (action.type) {
      case 'send':
        peers.send(action.address, [action.message]);
        break;
      case 'membersChanged':
        log.info('members changed', {
          members: action.members.map(({ hostId, state }) => `${hostId} ${state}`).join(', '),
        });
        onMembers(action.members);
        break;
      case 'generationSeen':
        onGeneration(action.hostId, action.generation);
        break;
      case 'confirmed':
        onConfirmed();
        break;
      default:
        log.error('another process uses the id of this host', {
          hostId: self.hostId,
          incarnation: action.incarnation,
        });
    }
  }
}
