/**
 * Membership of entry hosts: a SWIM state machine without I/O. Its inputs are the time, messages
 * and the hosts registered in the store; its outputs are actions. It guarantees that this host
 * never considers itself suspect or dead, that it suspects nobody because of messages it missed
 * while it was paused, and that the load per host does not depend on the number of hosts.
 */
import type { RandomSource } from '../core/clock';
import { MemberState, type Member, type MembershipMessage } from '../core/messages';
import type { PeerOrigin } from '../peers/transport';
import type { MembershipAction } from './actions';
import { UpdateSelector } from './updateSelector';
import { Contacts } from './contacts';
import { GenerationTracker } from './generationTracker';
import { asLeaving, isPresent, recordOfSender } from './member';
import { MemberTable } from './memberTable';
import { DEFAULT_MEMBERSHIP_OPTIONS, type MembershipOptions } from './membershipOptions';
import { Probes, shuffled, type Probe } from './probes';

/**
 * Membership as seen by one host. `nowMs` is from a monotonic clock that keeps running while the
 * process is paused.
 */
export class Membership {
  readonly #options: MembershipOptions;

  readonly #random: RandomSource;

  readonly #table: MemberTable;

  readonly #updateSelector: UpdateSelector;

  readonly #generationTracker: GenerationTracker;

  readonly #probes: Probes;

  readonly #contacts: Contacts;

  #actions: MembershipAction[] = [];

  #lastTickMs: number | null = null;

  #resumedAtMs = 0;

  #confirmed = false;

  #nextProbeMs = 0;

  #nextDeadProbeMs = 0;

  #nextContactMs = 0;

  /** `seeds` are peer addresses from the settings; their host ids are not known yet. */
  constructor(
    self: Member,
    seeds: readonly string[],
    random: RandomSource,
    options: Partial<MembershipOptions> = {},
  ) {
    this.#options = { ...DEFAULT_MEMBERSHIP_OPTIONS, ...options };
    this.#random = random;
    this.#table = new MemberTable(self);
    this.#probes = new Probes(random);
    this.#contacts = new Contacts(seeds);
    this.#updateSelector = new UpdateSelector(this.#table, this.#options.maxUpdates);
    this.#generationTracker = new GenerationTracker(this.#options.generationRepeatMs);
  }

  /** All known members including dead ones, this host first. */
  members(): readonly Member[] {
    return this.#table.members();
  }

  /** Sets the configuration generation in force at this host. */
  setGeneration(generation: number): void {
    this.#generationTracker.set(generation);
  }

  /** Runs all periodic work. Must be called every 10 to 50 ms. */
  tick(nowMs: number): readonly MembershipAction[] {
    if (this.#lastTickMs === null) this.#start(nowMs);
    this.#handlePause(nowMs);
    this.#lastTickMs = nowMs;
    this.#expireProbes(nowMs);
    this.#table
      .expire(nowMs, this.#options.suspicionMs)
      .forEach((member) => this.#updateSelector.disseminate(member));
    this.#table.forget(nowMs, this.#options.forgetDeadMs);
    this.#probeMember(nowMs);
    this.#probeDead(nowMs);
    this.#probeContact(nowMs);
    this.#confirmIfAlone(nowMs);
    return this.#takeActions();
  }

  /** Handles a message from a peer. */
  receive(
    from: PeerOrigin,
    message: MembershipMessage,
    nowMs: number,
  ): readonly MembershipAction[] {
    if (from.hostId === this.#table.self.hostId) {
      if (from.incarnation !== this.#table.self.incarnation) {
        this.#actions.push({ type: 'conflict', incarnation: from.incarnation });
      }
      return this.#takeActions();
    }
    this.#handlePause(nowMs);
    if (message.type === 'pingRequest') {
      this.#applyRecord(message.target, nowMs);
      this.#probeIndirectly(from, message.nonce, message.target, nowMs);
      return this.#takeActions();
    }
    const known = this.#table.get(from.hostId);
    const isNew = known === null || !isPresent(known) || known.incarnation !== from.incarnation;
    message.updates.forEach((member) => this.#applyRecord(member, nowMs));
    const sender = recordOfSender(from, message.updates) ?? known;
    if (sender === null) return this.#takeActions();
    this.#reportGeneration(sender, message.generation, nowMs);
    if (message.type === 'ping') {
      this.#sendAck(sender, message.nonce);
      if (isNew) this.#sendMemberList(sender, nowMs);
    } else {
      this.#onAck(from, message.nonce);
    }
    return this.#takeActions();
  }

  /**
   * Adds the hosts registered in the store to the contact addresses. New addresses are pinged at
   * once; a host becomes a member only when it is heard from.
   */
  learn(members: readonly Member[], nowMs: number): readonly MembershipAction[] {
    const before = new Set(this.#contacts.withoutMember(this.#table.members()));
    this.#contacts.setDiscovered(members.map(({ peerAddress }) => peerAddress));
    this.#contacts
      .withoutMember(this.#table.members())
      .filter((address) => !before.has(address))
      .forEach((address) => this.#ping(address, null, false, nowMs));
    return this.#takeActions();
  }

  /** Announces that this host will stop. It remains a member until it has stopped. */
  leave(nowMs: number): readonly MembershipAction[] {
    const { self } = this.#table;
    if (self.state === MemberState.leaving) return this.#takeActions();
    this.#table.setSelf(asLeaving(self));
    this.#updateSelector.disseminate(this.#table.self);
    shuffled(this.#present(), this.#random)
      .slice(0, this.#options.leaveFanout)
      .forEach((member) => this.#ping(member.peerAddress, member, false, nowMs));
    return this.#takeActions();
  }

  /** Probes a member at once because a connection to it broke. */
  connectionLost(hostId: string, nowMs: number): readonly MembershipAction[] {
    const member = this.#table.get(hostId);
    const self = hostId === this.#table.self.hostId;
    if (member !== null && !self && isPresent(member) && !this.#probes.isProbing(hostId)) {
      this.#ping(member.peerAddress, member, true, nowMs);
    }
    return this.#takeActions();
  }

  #start(nowMs: number): void {
    this.#resumedAtMs = nowMs;
    this.#nextProbeMs = nowMs;
    this.#nextDeadProbeMs = nowMs + this.#options.deadProbePeriodMs;
    this.#nextContactMs = nowMs + this.#options.contactPeriodMs;
    this.#contacts
      .withoutMember(this.#table.members())
      .forEach((address) => this.#ping(address, null, false, nowMs));
  }

  /**
   * Detects that this process was paused. Probes in progress are dropped and suspicions restarted,
   * because answers missed during the pause say nothing about other members.
   */
  #handlePause(nowMs: number): void {
    if (this.#lastTickMs === null || nowMs - this.#lastTickMs <= this.#options.pauseGapMs) return;
    this.#lastTickMs = nowMs;
    this.#resumedAtMs = nowMs;
    this.#confirmed = false;
    this.#probes.clear();
    this.#table.restartSuspicions(nowMs);
    this.#nextProbeMs = nowMs;
  }

  #expireProbes(nowMs: number): void {
    const { probeTimeoutMs, probePeriodMs } = this.#options;
    this.#probes.olderThan(probeTimeoutMs, nowMs).forEach((probe) => {
      if (nowMs - probe.startedAtMs >= probePeriodMs) {
        this.#probes.cancel(probe.nonce);
        if (probe.suspectOnFailure && probe.hostId !== null) this.#suspect(probe.hostId, nowMs);
      } else if (probe.suspectOnFailure && probe.helpers.length === 0) {
        this.#requestIndirectProbes(probe);
      }
    });
    this.#probes.expireIndirect(probePeriodMs, nowMs);
  }

  #suspect(hostId: string, nowMs: number): void {
    const suspect = this.#table.suspect(hostId, nowMs);
    if (suspect === null) return;
    this.#updateSelector.disseminate(suspect);
    this.#pingSuspect(suspect, nowMs);
  }

  #requestIndirectProbes(probe: Probe): void {
    const target = probe.hostId === null ? null : this.#table.get(probe.hostId);
    if (target === null) return;
    const helpers = shuffled(
      this.#present().filter(({ hostId }) => hostId !== target.hostId),
      this.#random,
    ).slice(0, this.#options.indirectProbes);
    this.#probes.setHelpers(
      probe,
      helpers.map(({ hostId }) => hostId),
    );
    const { nonce } = probe;
    helpers.forEach(({ peerAddress }) =>
      this.#send(peerAddress, { type: 'pingRequest', nonce, target }),
    );
  }

  #probeMember(nowMs: number): void {
    if (nowMs < this.#nextProbeMs) return;
    const { probePeriodMs } = this.#options;
    // A late tick delays the next probes instead of causing a burst.
    this.#nextProbeMs = Math.max(this.#nextProbeMs + probePeriodMs, nowMs + probePeriodMs / 2);
    const hostId = this.#probes.next(this.#present().map((member) => member.hostId));
    const member = hostId === null ? null : this.#table.get(hostId);
    if (member !== null) this.#ping(member.peerAddress, member, true, nowMs);
  }

  #probeDead(nowMs: number): void {
    if (nowMs < this.#nextDeadProbeMs) return;
    this.#nextDeadProbeMs = nowMs + this.#options.deadProbePeriodMs;
    const dead = this.#table.others().filter((member) => !isPresent(member));
    const member = dead[Math.floor(this.#random.next() * dead.length)];
    if (member !== undefined) this.#ping(member.peerAddress, member, false, nowMs);
  }

  #probeContact(nowMs: number): void {
    if (nowMs < this.#nextContactMs) return;
    this.#nextContactMs = nowMs + this.#options.contactPeriodMs;
    const address = this.#contacts.nextWithoutMember(this.#table.members());
    if (address !== null) this.#ping(address, null, false, nowMs);
  }

  /**
   * Emits `confirmed` if there is no other member. Waits for one probe period first, so that a new
   * host can receive answers from its seeds.
   */
  #confirmIfAlone(nowMs: number): void {
    const periodElapsed = nowMs - this.#resumedAtMs >= this.#options.probePeriodMs;
    if (periodElapsed && this.#present().length === 0) this.#confirm();
  }

  #confirm(): void {
    if (this.#confirmed) return;
    this.#confirmed = true;
    this.#actions.push({ type: 'confirmed' });
  }

  #applyRecord(member: Member, nowMs: number): void {
    const applied = this.#table.apply(member, nowMs);
    if (applied === null) return;
    this.#updateSelector.disseminate(applied);
    if (applied.state === MemberState.suspect) this.#pingSuspect(applied, nowMs);
  }

  /**
   * Notifies a suspect of the suspicion at once, and again with the next probe. Every host that
   * learns of the suspicion does this, because by gossip alone the suspicion and its refutation
   * take longer than the suspicion timeout.
   */
  #pingSuspect(suspect: Member, nowMs: number): void {
    this.#ping(suspect.peerAddress, suspect, false, nowMs);
    this.#probes.prioritize(suspect.hostId);
  }

  #sendAck(sender: Member, nonce: number, extra: Member | null = null): void {
    const updates = this.#updateSelector.updatesFor(sender, extra);
    const generation = this.#generationTracker.current;
    this.#send(sender.peerAddress, { type: 'ack', nonce, updates, generation });
  }

  /** Sends all members to a new member at once; gossip would take seconds. */
  #sendMemberList(member: Member, nowMs: number): void {
    const recordsPerMessage = this.#options.maxUpdates - 1;
    const present = this.#present().filter(({ hostId }) => hostId !== member.hostId);
    for (let start = 0; start < present.length; start += recordsPerMessage) {
      this.#send(member.peerAddress, {
        type: 'ping',
        nonce: this.#probes.start(member.hostId, false, nowMs),
        updates: [this.#table.self, ...present.slice(start, start + recordsPerMessage)],
        generation: this.#generationTracker.current,
      });
    }
  }

  #onAck(from: PeerOrigin, nonce: number): void {
    const indirectProbe = this.#probes.completeIndirect(nonce, from.hostId);
    const requester = indirectProbe === null ? null : this.#table.get(indirectProbe.requesterId);
    if (indirectProbe !== null && requester !== null) {
      this.#sendAck(
        requester,
        indirectProbe.requesterNonce,
        this.#table.get(indirectProbe.targetId),
      );
    }
    const probe = this.#probes.complete(nonce, from.hostId);
    if (probe === null) return;
    if (probe.hostId !== null) this.#table.clearLeavingSuspicion(probe.hostId);
    this.#confirm();
  }

  #probeIndirectly(from: PeerOrigin, nonce: number, target: Member, nowMs: number): void {
    const requester = this.#table.get(from.hostId);
    if (requester === null) return;
    if (target.hostId === this.#table.self.hostId) {
      this.#sendAck(requester, nonce);
      return;
    }
    const known = this.#table.get(target.hostId) ?? target;
    const indirectNonce = this.#probes.startIndirect({
      targetId: target.hostId,
      requesterId: from.hostId,
      requesterNonce: nonce,
      startedAtMs: nowMs,
    });
    this.#sendPing(known.peerAddress, known, indirectNonce);
  }

  #reportGeneration(sender: Member, generation: number, nowMs: number): void {
    if (!this.#generationTracker.shouldReport(generation, nowMs)) return;
    const { hostId, peerAddress: address } = sender;
    this.#actions.push({ type: 'generationSeen', hostId, address, generation });
  }

  #ping(address: string, target: Member | null, suspectOnFailure: boolean, nowMs: number): void {
    this.#sendPing(
      address,
      target,
      this.#probes.start(target?.hostId ?? null, suspectOnFailure, nowMs),
    );
  }

  #sendPing(address: string, target: Member | null, nonce: number): void {
    const updates = this.#updateSelector.updatesFor(target);
    this.#send(address, {
      type: 'ping',
      nonce,
      updates,
      generation: this.#generationTracker.current,
    });
  }

  #present(): readonly Member[] {
    return this.#table.others().filter(isPresent);
  }

  #send(address: string, message: MembershipMessage): void {
    this.#actions.push({ type: 'send', address, message });
  }

  #takeActions(): readonly MembershipAction[] {
    if (this.#table.consumeChanged()) {
      this.#actions.push({ type: 'membersChanged', members: this.#table.members() });
    }
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }
}
