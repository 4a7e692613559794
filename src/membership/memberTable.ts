/**
 * The members that this host knows, with the time of their suspicion or death. The own record is
 * never suspect or dead: a claim that it is gets refuted.
 */
import { MemberState, type Member } from '../core/messages';
import { declaredDead, differs, isPresent, refuted, supersedes, suspected } from './member';

/** A member as this host sees it. */
interface Entry {
  readonly member: Member;
  /** Start of the suspicion; a leaving member is doubted without a change of its record. */
  readonly suspectedAtMs: number | null;
  readonly deadAtMs: number | null;
}

const entryOf = (member: Member, nowMs: number): Entry => ({
  member,
  suspectedAtMs: member.state === MemberState.suspect ? nowMs : null,
  deadAtMs: member.state === MemberState.dead ? nowMs : null,
});

/** Table of members. */
export class MemberTable {
  #self: Member;

  readonly #others = new Map<string, Entry>();

  #changed = true;

  #list: readonly Member[] | null = null;

  constructor(self: Member) {
    this.#self = self;
  }

  /** The own record. */
  get self(): Member {
    return this.#self;
  }

  /** All known members, this host first; the same array until something changes. */
  members(): readonly Member[] {
    this.#list ??= [this.#self, ...this.others()];
    return this.#list;
  }

  /** The other known members, dead ones among them. */
  others(): readonly Member[] {
    return [...this.#others.values()].map(({ member }) => member);
  }

  /** The record of a host. */
  get(hostId: string): Member | null {
    return hostId === this.#self.hostId ? this.#self : (this.#others.get(hostId)?.member ?? null);
  }

  /** Whether more than sequence numbers changed since the last call. */
  takeChanged(): boolean {
    const changed = this.#changed;
    this.#changed = false;
    return changed;
  }

  /** Replaces the own record. */
  setSelf(self: Member): void {
    if (differs(self, this.#self)) this.#changed = true;
    this.#self = self;
    this.#list = null;
  }

  /** Takes a record heard from a peer; returns the record to pass on, or null if it is not news. */
  apply(claim: Member, nowMs: number): Member | null {
    if (claim.hostId === this.#self.hostId) return this.#refute(claim);
    const current = this.#others.get(claim.hostId);
    if (current === undefined) {
      // Otherwise a member that was forgotten here would come back from those who still know it.
      if (!isPresent(claim)) return null;
    } else if (!supersedes(claim, current.member)) {
      return null;
    }
    this.#set(entryOf(claim, nowMs));
    return claim;
  }

  /** A probe of the member failed; returns the record to pass on, if it changed. */
  doubt(hostId: string, nowMs: number): Member | null {
    const entry = this.#others.get(hostId);
    if (entry === undefined || !isPresent(entry.member) || entry.suspectedAtMs !== null)
      return null;
    if (entry.member.state === MemberState.leaving) {
      this.#others.set(hostId, { ...entry, suspectedAtMs: nowMs });
      return null;
    }
    const member = suspected(entry.member);
    this.#set(entryOf(member, nowMs));
    return member;
  }

  /** A probe of the member succeeded; a suspect still has to refute by itself. */
  clearDoubt(hostId: string): void {
    const entry = this.#others.get(hostId);
    if (entry !== undefined && entry.member.state === MemberState.leaving) {
      this.#others.set(hostId, { ...entry, suspectedAtMs: null });
    }
  }

  /** Declares suspects dead whose time is up; returns their records. */
  expire(nowMs: number, suspicionMs: number): readonly Member[] {
    return [...this.#others.values()]
      .filter(
        ({ member, suspectedAtMs }) =>
          isPresent(member) && suspectedAtMs !== null && nowMs - suspectedAtMs >= suspicionMs,
      )
      .map(({ member }) => {
        const dead = declaredDead(member);
        this.#set(entryOf(dead, nowMs));
        return dead;
      });
  }

  /** Gives every suspect its full time again, after this process was paused. */
  restartSuspicions(nowMs: number): void {
    this.#others.forEach((entry, hostId) => {
      if (entry.suspectedAtMs !== null) {
        this.#others.set(hostId, { ...entry, suspectedAtMs: nowMs });
      }
    });
  }

  /** Drops members that have been dead for long. */
  forget(nowMs: number, forgetDeadMs: number): void {
    this.#others.forEach(({ deadAtMs }, hostId) => {
      if (deadAtMs === null || nowMs - deadAtMs < forgetDeadMs) return;
      this.#others.delete(hostId);
      this.#list = null;
      this.#changed = true;
    });
  }

  #refute(claim: Member): Member | null {
    if (!supersedes(claim, this.#self)) return null;
    this.setSelf(refuted(this.#self, claim));
    return this.#self;
  }

  #set(entry: Entry): void {
    const { hostId } = entry.member;
    const current = this.#others.get(hostId)?.member;
    if (current === undefined || differs(current, entry.member)) this.#changed = true;
    this.#others.set(hostId, entry);
    this.#list = null;
  }
}
