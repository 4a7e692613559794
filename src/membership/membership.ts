/**
 * Membership of entry hosts: a SWIM state machine without I/O. It takes time, messages and news from
 * the store, and returns actions. It guarantees that this host never considers itself suspect or
 * dead, that it judges nobody by what it missed during its own pause, and that its load per host
 * does not depend on the number of hosts.
 */
import type { RandomSource } from '../core/clock';
import { MemberState, type Member, type MembershipMessage } from '../core/messages';
import type { PeerOrigin } from '../peers/transport';
import type { MembershipAction } from './actions';
import { Composer } from './composer';
import { Contacts } from './contacts';
import { GenerationWatch } from './generationWatch';
import { announcedLeaving, isPresent, ownRecord } from './member';
import { MemberTable } from './memberTable';
import { DEFAULT_MEMBERSHIP_OPTIONS, type MembershipOptions } from './membershipOptions';
import { Probes, shuffled, type Probe } from './probes';

/** Membership of one host. `nowMs` is monotonic time that goes on while the process is paused. */
export class Membership {
  readonly #options: MembershipOptions;

  readonly #random: RandomSource;

  readonly #table: MemberTable;

  readonly #composer: Composer;

  readonly #generations: GenerationWatch;

  readonly #probes: Probes;

  readonly #contacts: Contacts;

  #actions: MembershipAction[] = [];

  #lastTickMs: number | null = null;

  #resumedAtMs = 0;

  #confirmed = false;

  #nextProbeMs = 0;

  #nextDeadProbeMs = 0;

  #nextContactMs = 0;

  /** `seeds` are peer addresses whose host ids are not known. */
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
    this.#composer = new Composer(this.#table, this.#options.maxUpdates);
    this.#generations = new GenerationWatch(this.#options.generationRepeatMs);
  }

  /** All known members, this host first, dead ones among them. */
  members(): readonly Member[] {
    return this.#table.members();
  }

  /** Sets the configuration generation in force at this host. */
  setGeneration(generation: number): void {
    this.#generations.set(generation);
  }

  /** To be called every 10 to 50 ms. */
  tick(nowMs: number): readonly MembershipAction[] {
    if (this.#lastTickMs === null) this.#begin(nowMs);
    this.#noticePause(nowMs);
    this.#lastTickMs = nowMs;
    this.#judgeProbes(nowMs);
    this.#table
      .expire(nowMs, this.#options.suspicionMs)
      .forEach((member) => this.#composer.spread(member));
    this.#table.forget(nowMs, this.#options.forgetDeadMs);
    this.#probeMember(nowMs);
    this.#probeDead(nowMs);
    this.#tryContact(nowMs);
    this.#confirmAlone(nowMs);
    return this.#finish();
  }

  /** Takes a message of a peer. */
  receive(
    from: PeerOrigin,
    message: MembershipMessage,
    nowMs: number,
  ): readonly MembershipAction[] {
    if (from.hostId === this.#table.self.hostId) {
      if (from.incarnation !== this.#table.self.incarnation) {
        this.#actions.push({ type: 'conflict', incarnation: from.incarnation });
      }
      return this.#finish();
    }
    this.#noticePause(nowMs);
    if (message.type === 'pingRequest') {
      this.#hear(message.target, nowMs);
      this.#relay(from, message.nonce, message.target, nowMs);
      return this.#finish();
    }
    const known = this.#table.get(from.hostId);
    const isNew = known === null || !isPresent(known) || known.incarnation !== from.incarnation;
    message.updates.forEach((member) => this.#hear(member, nowMs));
    const sender = ownRecord(from, message.updates) ?? known;
    if (sender === null) return this.#finish();
    this.#noteGeneration(sender, message.generation, nowMs);
    if (message.type === 'ping') {
      this.#answer(sender, message.nonce);
      if (isNew) this.#introduce(sender, nowMs);
    } else {
      this.#onAck(from, message.nonce);
    }
    return this.#finish();
  }

  /** Takes the hosts registered in the store; unknown ones are pinged before they count as members. */
  learn(members: readonly Member[], nowMs: number): readonly MembershipAction[] {
    const before = new Set(this.#contacts.unknown(this.#table.members()));
    this.#contacts.learn(members.map(({ peerAddress }) => peerAddress));
    this.#contacts
      .unknown(this.#table.members())
      .filter((address) => !before.has(address))
      .forEach((address) => this.#ping(address, null, false, nowMs));
    return this.#finish();
  }

  /** Announces that this host will stop; it stays a member until it does. */
  leave(nowMs: number): readonly MembershipAction[] {
    const { self } = this.#table;
    if (self.state === MemberState.leaving) return this.#finish();
    this.#table.setSelf(announcedLeaving(self));
    this.#composer.spread(this.#table.self);
    shuffled(this.#present(), this.#random)
      .slice(0, this.#options.leaveFanout)
      .forEach((member) => this.#ping(member.peerAddress, member, false, nowMs));
    return this.#finish();
  }

  /** A connection to the member broke; it is probed at once. */
  connectionLost(hostId: string, nowMs: number): readonly MembershipAction[] {
    const member = this.#table.get(hostId);
    const self = hostId === this.#table.self.hostId;
    if (member !== null && !self && isPresent(member) && !this.#probes.isProbing(hostId)) {
      this.#ping(member.peerAddress, member, true, nowMs);
    }
    return this.#finish();
  }

  #begin(nowMs: number): void {
    this.#resumedAtMs = nowMs;
    this.#nextProbeMs = nowMs;
    this.#nextDeadProbeMs = nowMs + this.#options.deadProbePeriodMs;
    this.#nextContactMs = nowMs + this.#options.contactPeriodMs;
    this.#contacts
      .unknown(this.#table.members())
      .forEach((address) => this.#ping(address, null, false, nowMs));
  }

  /** After a pause, what was missed says nothing about others. */
  #noticePause(nowMs: number): void {
    if (this.#lastTickMs === null || nowMs - this.#lastTickMs <= this.#options.pauseGapMs) return;
    this.#lastTickMs = nowMs;
    this.#resumedAtMs = nowMs;
    this.#confirmed = false;
    this.#probes.clear();
    this.#table.restartSuspicions(nowMs);
    this.#nextProbeMs = nowMs;
  }

  #judgeProbes(nowMs: number): void {
    const { probeTimeoutMs, probePeriodMs } = this.#options;
    this.#probes.olderThan(probeTimeoutMs, nowMs).forEach((probe) => {
      if (nowMs - probe.startedAtMs >= probePeriodMs) {
        this.#probes.drop(probe.nonce);
        if (probe.judged && probe.hostId !== null) this.#doubt(probe.hostId, nowMs);
      } else if (probe.judged && probe.helpers.length === 0) {
        this.#askHelpers(probe);
      }
    });
    this.#probes.expireRelays(probePeriodMs, nowMs);
  }

  #doubt(hostId: string, nowMs: number): void {
    const suspect = this.#table.doubt(hostId, nowMs);
    if (suspect === null) return;
    this.#composer.spread(suspect);
    this.#verify(suspect, nowMs);
  }

  #askHelpers(probe: Probe): void {
    const target = probe.hostId === null ? null : this.#table.get(probe.hostId);
    if (target === null) return;
    const helpers = shuffled(
      this.#present().filter(({ hostId }) => hostId !== target.hostId),
      this.#random,
    ).slice(0, this.#options.indirectProbes);
    this.#probes.help(
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
    // A late tick delays the probes that follow; it never makes them come in a burst.
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

  #tryContact(nowMs: number): void {
    if (nowMs < this.#nextContactMs) return;
    this.#nextContactMs = nowMs + this.#options.contactPeriodMs;
    const address = this.#contacts.next(this.#table.members());
    if (address !== null) this.#ping(address, null, false, nowMs);
  }

  /** The wait of one period lets a new host hear from its seeds first. */
  #confirmAlone(nowMs: number): void {
    const waited = nowMs - this.#resumedAtMs >= this.#options.probePeriodMs;
    if (waited && this.#present().length === 0) this.#confirm();
  }

  #confirm(): void {
    if (this.#confirmed) return;
    this.#confirmed = true;
    this.#actions.push({ type: 'confirmed' });
  }

  #hear(member: Member, nowMs: number): void {
    const news = this.#table.apply(member, nowMs);
    if (news === null) return;
    this.#composer.spread(news);
    if (news.state === MemberState.suspect) this.#verify(news, nowMs);
  }

  /**
   * Every host that hears of a suspicion tells the suspect at once, and again with its next probe.
   * Gossip alone takes longer than the suspicion lasts to reach the suspect and to come back.
   */
  #verify(suspect: Member, nowMs: number): void {
    this.#ping(suspect.peerAddress, suspect, false, nowMs);
    this.#probes.putFirst(suspect.hostId);
  }

  #answer(sender: Member, nonce: number, extra: Member | null = null): void {
    const updates = this.#composer.updatesFor(sender, extra);
    const generation = this.#generations.own;
    this.#send(sender.peerAddress, { type: 'ack', nonce, updates, generation });
  }

  /** Tells a member that was not known all members at once; gossip would take seconds. */
  #introduce(member: Member, nowMs: number): void {
    const room = this.#options.maxUpdates - 1;
    const present = this.#present().filter(({ hostId }) => hostId !== member.hostId);
    for (let start = 0; start < present.length; start += room) {
      this.#send(member.peerAddress, {
        type: 'ping',
        nonce: this.#probes.start(member.hostId, false, nowMs),
        updates: [this.#table.self, ...present.slice(start, start + room)],
        generation: this.#generations.own,
      });
    }
  }

  #onAck(from: PeerOrigin, nonce: number): void {
    const relay = this.#probes.answerRelay(nonce, from.hostId);
    const requester = relay === null ? null : this.#table.get(relay.requesterId);
    if (relay !== null && requester !== null) {
      this.#answer(requester, relay.requesterNonce, this.#table.get(relay.targetId));
    }
    const probe = this.#probes.answer(nonce, from.hostId);
    if (probe === null) return;
    if (probe.hostId !== null) this.#table.clearDoubt(probe.hostId);
    this.#confirm();
  }

  #relay(from: PeerOrigin, nonce: number, target: Member, nowMs: number): void {
    const requester = this.#table.get(from.hostId);
    if (requester === null) return;
    if (target.hostId === this.#table.self.hostId) {
      this.#answer(requester, nonce);
      return;
    }
    const known = this.#table.get(target.hostId) ?? target;
    const relayNonce = this.#probes.startRelay({
      targetId: target.hostId,
      requesterId: from.hostId,
      requesterNonce: nonce,
      startedAtMs: nowMs,
    });
    this.#sendPing(known.peerAddress, known, relayNonce);
  }

  #noteGeneration(sender: Member, generation: number, nowMs: number): void {
    if (!this.#generations.isNews(generation, nowMs)) return;
    const { hostId, peerAddress: address } = sender;
    this.#actions.push({ type: 'generationSeen', hostId, address, generation });
  }

  #ping(address: string, target: Member | null, judged: boolean, nowMs: number): void {
    this.#sendPing(address, target, this.#probes.start(target?.hostId ?? null, judged, nowMs));
  }

  #sendPing(address: string, target: Member | null, nonce: number): void {
    const updates = this.#composer.updatesFor(target);
    this.#send(address, { type: 'ping', nonce, updates, generation: this.#generations.own });
  }

  #present(): readonly Member[] {
    return this.#table.others().filter(isPresent);
  }

  #send(address: string, message: MembershipMessage): void {
    this.#actions.push({ type: 'send', address, message });
  }

  #finish(): readonly MembershipAction[] {
    if (this.#table.takeChanged()) {
      this.#actions.push({ type: 'membersChanged', members: this.#table.members() });
    }
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }
}
