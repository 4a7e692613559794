/**
 * Messages between entry hosts. They are one-way and may be lost, delayed or repeated, and every
 * receiver must tolerate that. `src/peers` transports them.
 */
import type { Resources } from './job';

/** How the use of a grant ended. The scheduler derives the health of workers from it. */
export const GrantOutcome = {
  succeeded: 'succeeded',
  failed: 'failed',
  stopped: 'stopped',
  refused: 'refused',
  unreachable: 'unreachable',
  unknown: 'unknown',
  unused: 'unused',
} as const;
export type GrantOutcome = (typeof GrantOutcome)[keyof typeof GrantOutcome];

/** Where a granted task is to be started. */
export interface WorkerRef {
  readonly id: string;
  readonly address: string;
  readonly incarnation: string;
}

/** Asks the scheduler of a domain for `count` slots for tasks of one job. */
export interface SlotRequest {
  readonly type: 'slotRequest';
  /** Unique within the submitter's process incarnation. */
  readonly requestId: number;
  readonly team: string;
  readonly kind: string;
  readonly count: number;
  readonly resources: Resources;
  /** Time left to the job's deadline when the message is sent. */
  readonly deadlineMs: number;
  /** Number of tasks of the whole job. */
  readonly jobTasks: number;
  /** True if a task of the job has started. Such a request is not refused by admission. */
  readonly begun: boolean;
  /** Time since the job arrived. Lets a request that moves to another domain keep its age. */
  readonly waitedMs: number;
}

/** One granted slot. */
export interface Grant {
  /** A random base plus a counter, unique within the fleet with overwhelming probability. */
  readonly grantId: number;
  readonly worker: WorkerRef;
}

/** Slots granted to one request. */
export interface SlotGrant {
  readonly type: 'slotGrant';
  readonly requestId: number;
  readonly grants: readonly Grant[];
}

/** Refuses the ungranted rest of a request. `reason` is a `Reason`. */
export interface SlotRefusal {
  readonly type: 'slotRefusal';
  readonly requestId: number;
  readonly reason: string;
  readonly retryAfterMs: number;
}

/** Cancels `count` slots of a request that have not been granted. */
export interface SlotCancel {
  readonly type: 'slotCancel';
  readonly requestId: number;
  readonly count: number;
}

/** Releases a granted slot. `runTimeMs` is 0 unless the task ran to its end. */
export interface SlotRelease {
  readonly type: 'slotRelease';
  readonly grantId: number;
  readonly outcome: GrantOutcome;
  readonly runTimeMs: number;
}

/** A grant that a submitter uses. */
export interface Claim {
  readonly grantId: number;
  readonly workerId: string;
  readonly team: string;
  readonly kind: string;
  readonly resources: Resources;
}

/**
 * Lists the grants that the submitter uses in a domain. Sent to a new scheduler and periodically.
 */
export interface SlotClaims {
  readonly type: 'slotClaims';
  readonly claims: readonly Claim[];
}

/** Load of one team in a domain. */
export interface TeamLoad {
  readonly team: string;
  readonly queuedTasks: number;
  /** Slots that the team's share guarantees there beyond those that count against it. */
  readonly headroomSlots: number;
}

/** Load of one domain, as reported by its scheduler. */
export interface LoadSummary {
  readonly type: 'loadSummary';
  readonly domain: string;
  readonly capacitySlots: number;
  readonly freeSlots: number;
  /** Largest amount of each resource on a single worker. Jobs that need more are impossible. */
  readonly largest: Resources;
  /** Teams with waiting tasks and, while no slot is free, teams with headroom. */
  readonly teams: readonly TeamLoad[];
}

/** State of a member, as spread by gossip. */
export const MemberState = {
  alive: 'alive',
  suspect: 'suspect',
  dead: 'dead',
  leaving: 'leaving',
} as const;
export type MemberState = (typeof MemberState)[keyof typeof MemberState];

/** One entry host, as known to the others. */
export interface Member {
  readonly hostId: string;
  /** Differs for each start of the process. */
  readonly incarnation: string;
  readonly domain: string;
  /** `ip:port` of the peer transport. */
  readonly peerAddress: string;
  readonly state: MemberState;
  /** Incremented by the member itself only, to refute a suspicion. */
  readonly sequence: number;
}

/** Membership probe, answered by an `ack` with the same nonce. */
export interface Ping {
  readonly type: 'ping';
  readonly nonce: number;
  readonly updates: readonly Member[];
  /** Generation of the configuration in force at the sender. */
  readonly generation: number;
}

/** Answer to a ping. */
export interface Ack {
  readonly type: 'ack';
  readonly nonce: number;
  readonly updates: readonly Member[];
  readonly generation: number;
}

/** Asks a member to ping `target` for the sender. Answered by an `ack` if the target answers. */
export interface PingRequest {
  readonly type: 'pingRequest';
  readonly nonce: number;
  readonly target: Member;
}

/** Asks a peer for its configuration in force if that is newer than `generation`. */
export interface ConfigurationPull {
  readonly type: 'configurationPull';
  readonly generation: number;
  /** If set, a peer with another publication of the same generation answers too. */
  readonly publicationId?: string;
}

/** Carries a configuration record; see `src/configuration`. */
export interface ConfigurationPush {
  readonly type: 'configurationPush';
  readonly generation: number;
  readonly publicationId: string;
  readonly publishedBy: string;
  readonly publishedAtMs: number;
  readonly text: string;
  readonly history: readonly string[];
}

export type SlotMessage =
  SlotRequest | SlotGrant | SlotRefusal | SlotCancel | SlotRelease | SlotClaims | LoadSummary;
export type MembershipMessage = Ping | Ack | PingRequest;
export type ConfigurationMessage = ConfigurationPull | ConfigurationPush;
export type PeerMessage = SlotMessage | MembershipMessage | ConfigurationMessage;
