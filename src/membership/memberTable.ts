/**
 * The members known to this host, with the time since which they have been suspect or dead. The
 * record of this host is never suspect or dead: it refutes every such claim.
 */
import { MemberState, type Member } from '../core/messages';
import {
  asDead,
  differsBeyondSequence,
  isPresent,
  asRefuted,
  supersedes,
  asSuspect,
} from './member';

/** A member as this host sees it. */
interface Entry {
  readonly member: Member;
  /** Start of the suspicion. A leaving member is suspected without changing its record. */
  readonly suspectedAtMs: number | null;
  readonly deadAtMs: number | null;
}

const entryOf = (member: Member, nowMs: number): Entry => ({
  member,
  suspectedAtMs: member.state === MemberState.suspect ? nowMs : null,
  deadAtMs: member.state === MemberState.dead ? nowMs : null,
});

/** Member records by host id. */
export class MemberTable {
  #self: Member;

  readonly #others = new Map<string, Entry>();

  #changed = true;

  #cachedMembers: readonly Member[] | null = null;

  constructor(self: Member) {
    this.#self = self;
  }

  /** The record of this host. */
  get self(): Member {
    return this.#self;
  }

  /** All known members, this host first. Returns the same array until a record changes. */
  members(): readonly Member[] {
    this.#cachedMembers ??= [this.#self, ...this.others()];
    return this.#cachedMembers;
  }

  /** The other known members, including dead ones. */
  others(): readonly Member[] {
    return [...this.#others.values()].map(({ member }) => member);
  }

  /** The record of a host, or null if it is not known. */
  get(hostId: string): Member | null {
    return hostId === this.#self.hostId ? this.#self : (this.#others.get(hostId)?.member ?? null);
  }

  /** Whether anything but sequence numbers has changed since the last call; resets the flag. */
  consumeChanged(): boolean {
    const changed = this.#changed;
    this.#changed = false;
    return changed;
  }

  /** Replaces the record of this host. */
  setSelf(self: Member): void {
    if (differsBeyondSequence(self, this.#self)) this.#changed = true;
    this.#self = self;
    this.#cachedMembers = null;
  }

  /**
   * Applies a record received from a peer. Returns the record to disseminate, or null if nothing
   * changed.
   */
  apply(claim: Member, nowMs: number): Member | null {
    if (claim.hostId === this.#self.hostId) return this.#refute(claim);
    const current = this.#others.get(claim.hostId);
    if (current === undefined) {
      // Otherwise hosts that have not forgotten a dead member yet would bring it back.
      if (!isPresent(claim)) return null;
    } else if (!supersedes(claim, current.member)) {
      return null;
    }
    this.#set(entryOf(claim, nowMs));
    return claim;
  }

  /**
   * Marks a member as suspect after a failed probe. Returns the record to disseminate, or null if
   * it did not change.
   */
  suspect(hostId: string, nowMs: number): Member | null {
    const entry = this.#others.get(hostId);
    if (entry === undefined || !isPresent(entry.member) || entry.suspectedAtMs !== null)
      return null;
    if (entry.member.state === MemberState.leaving) {
      this.#others.set(hostId, { ...entry, suspectedAtMs: nowMs });
      return null;
    }
    const member = asSuspect(entry.member);
    this.#set(entryOf(member, nowMs));
    return member;
  }

  /**
   * Ends the suspicion of a leaving member after a successful probe. A member whose record says
   * suspect has to refute that itself.
   */
  clearLeavingSuspicion(hostId: string): void {
    const entry = this.#others.get(hostId);
    if (entry !== undefined && entry.member.state === MemberState.leaving) {
      this.#others.set(hostId, { ...entry, suspectedAtMs: null });
    }
  }

  /** Declares suspects dead that have not refuted within `suspicionMs`; returns their records. */
  expire(nowMs: number, suspicionMs: number): readonly Member[] {
    return [...this.#others.values()]
      .filter(
        ({ member, suspectedAtMs }) =>
          isPresent(member) && suspectedAtMs !== null && nowMs - suspectedAtMs >= suspicionMs,
      )
      .map(({ member }) => {
        const dead = asDead(member);
        this.#set(entryOf(dead, nowMs));
        return dead;
      });
  }

  /** Restarts the timeout of every suspicion after this process was paused. */
  restartSuspicions(nowMs: number): void {
    this.#others.forEach((entry, hostId) => {
      if (entry.suspectedAtMs !== null) {
        this.#others.set(hostId, { ...entry, suspectedAtMs: nowMs });
      }
    });
  }

  /** Removes members that have been dead for at least `forgetDeadMs`. */
  forget(nowMs: number, forgetDeadMs: number): void {
    this.#others.forEach(({ deadAtMs }, hostId) => {
      if (deadAtMs === null || nowMs - deadAtMs < forgetDeadMs) return;
      this.#others.delete(hostId);
      this.#cachedMembers = null;
      this.#changed = true;
    });
  }

  #refute(claim: Member): Member | null {
    if (!supersedes(claim, this.#self)) return null;
    this.setSelf(asRefuted(this.#self, claim));
    return this.#self;
  }

  #set(entry: Entry): void {
    const { hostId } = entry.member;
    const current = this.#others.get(hostId)?.member;
    if (current === undefined || differsBeyondSequence(current, entry.member)) this.#changed = true;
    this.#others.set(hostId, entry);
    this.#cachedMembers = null;
  }
}
