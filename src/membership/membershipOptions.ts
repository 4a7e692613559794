/** Periods, timeouts and limits of membership. */

/** The defaults are the figures of docs/design.md, section 9. */
export interface MembershipOptions {
  /**
   * One member is probed per period. It becomes suspect if it has not answered by the end of it.
   */
  readonly probePeriodMs: number;
  /** After this time without a direct answer, other members are asked to probe the target. */
  readonly probeTimeoutMs: number;
  /** Number of members that are asked to probe the target. */
  readonly indirectProbes: number;
  /** A suspect that has not refuted within this time is declared dead. */
  readonly suspicionMs: number;
  /** One dead member is probed per period, so that the two sides of a healed partition merge. */
  readonly deadProbePeriodMs: number;
  /** One contact address without a known member is probed per period. */
  readonly contactPeriodMs: number;
  /** Maximum number of member records in a message, including the record of the sender. */
  readonly maxUpdates: number;
  /** Number of members notified directly when this host leaves; gossip reaches the others. */
  readonly leaveFanout: number;
  /** A longer interval between two ticks means that this process was paused. */
  readonly pauseGapMs: number;
  /** A reported generation that has not been put in force is reported again after this time. */
  readonly generationRepeatMs: number;
  /** Dead members are removed after this time; regions can be disconnected for an hour. */
  readonly forgetDeadMs: number;
}

export const DEFAULT_MEMBERSHIP_OPTIONS: MembershipOptions = {
  probePeriodMs: 200,
  probeTimeoutMs: 100,
  indirectProbes: 2,
  suspicionMs: 600,
  deadProbePeriodMs: 2000,
  contactPeriodMs: 1000,
  maxUpdates: 8,
  leaveFanout: 3,
  pauseGapMs: 500,
  generationRepeatMs: 500,
  forgetDeadMs: 2 * 60 * 60 * 1000,
};
