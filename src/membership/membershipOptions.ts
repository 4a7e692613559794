/** Times and limits of membership. */

/** Figures of docs/design.md, section 9. */
export interface MembershipOptions {
  /** One member is probed per period; a probe without an answer by its end makes a suspect. */
  readonly probePeriodMs: number;
  /** Without a direct answer by then, other members are asked to probe. */
  readonly probeTimeoutMs: number;
  readonly indirectProbes: number;
  /** A suspect that has not refuted by then is declared dead. */
  readonly suspicionMs: number;
  /** One dead member is probed per period, so that healed partitions merge. */
  readonly deadProbePeriodMs: number;
  /** One address without a known member is tried per period. */
  readonly contactPeriodMs: number;
  /** Member records in one message, the sender's own among them. */
  readonly maxUpdates: number;
  /** Members that are told at once that this host is leaving; gossip reaches the others. */
  readonly leaveFanout: number;
  /** A larger gap between two ticks means that this process was paused. */
  readonly pauseGapMs: number;
  /** A generation that was reported and not put in force is reported again after this. */
  readonly generationRepeatMs: number;
  /** Dead members are forgotten after this; regions can lose contact for an hour. */
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
