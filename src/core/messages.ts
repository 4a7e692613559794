/**
 * Messages between entry hosts. They are one-way and may be lost, delayed or repeated; every state
 * machine that takes them must tolerate that. `src/peers` carries them.
 */
import type { Resources } from './job';

/** How the use of a grant ended; the scheduler judges workers by it. */
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
  /** Unique within the submitter's incarnation. */
  readonly requestId: number;
  readonly team: string;
  readonly kind: string;
  readonly count: number;
  readonly resources: Resources;
  /** What is left of the job's deadline when the message is sent. */
  readonly deadlineMs: number;
  /** Number of tasks of the whole job. */
  readonly jobTasks: number;
  /** True when a task of the job has already started; such a request is never refused by admission. */
  readonly begun: boolean;
  /** Time since the job arrived, so that a moved request keeps its place by age. */
  readonly waitedMs: number;
}

/** One granted slot. */
export interface Grant {
  /** Unique within the fleet with overwhelming probability: a random base plus a counter. */
  readonly grantId: number;
  readonly worker: WorkerRef;
}

/** Grants slots to the tasks of one request. */
export interface SlotGrant {
  readonly type: 'slotGrant';
  readonly requestId: number;
  readonly grants: readonly Grant[];
}

/** Turns down what is left of a request; `reason` is a `Reason`. */
export interface SlotRefusal {
  readonly type: 'slotRefusal';
  readonly requestId: number;
  readonly reason: string;
  readonly retryAfterMs: number;
}

/** Withdraws `count` slots of a request that have not been granted. */
export interface SlotCancel {
  readonly type: 'slotCancel';
  readonly requestId: number;
  readonly count: number;
}

/** Gives a granted slot back. `runTimeMs` is 0 unless the task ran to its end. */
export interface SlotRelease {
  readonly type: 'slotRelease';
  readonly grantId: number;
  readonly outcome: GrantOutcome;
  readonly runTimeMs: number;
}

/** A grant in use, as told to a new scheduler. */
export interface Claim {
  readonly grantId: number;
  readonly workerId: string;
  readonly team: string;
  readonly kind: string;
  readonly resources: Resources;
}

/** Tells a new scheduler of a domain which grants the submitter uses there. */
export interface SlotClaims {
  readonly type: 'slotClaims';
  readonly claims: readonly Claim[];
}

/** Load of one team in a domain. */
export interface TeamLoad {
  readonly team: string;
  readonly queuedTasks: number;
  /** Slots that the team's share still guarantees it there. */
  readonly headroomSlots: number;
}

/** Load of one domain as its scheduler sees it. */
export interface LoadSummary {
  readonly type: 'loadSummary';
  readonly domain: string;
  readonly capacitySlots: number;
  readonly freeSlots: number;
  /** The largest single worker of the domain, for the refusal of impossible jobs. */
  readonly largest: Resources;
  /** Teams with waiting tasks; while no slot is free, all teams with a share. */
  readonly teams: readonly TeamLoad[];
}

/** State of a member as gossip carries it. */
export const MemberState = {
  alive: 'alive',
  suspect: 'suspect',
  dead: 'dead',
  leaving: 'leaving',
} as const;
export type MemberState = (typeof MemberState)[keyof typeof MemberState];

/** One entry host as the others know it. */
export interface Member {
  readonly hostId: string;
  /** Differs for each start of the process. */
  readonly incarnation: string;
  readonly domain: string;
  /** `ip:port` of the peer transport. */
  readonly peerAddress: string;
  readonly state: MemberState;
  /** Raised only by the member itself, to refute a suspicion. */
  readonly sequence: number;
}

/** Probe of membership; `ping` is answered by `ack` with the same nonce. */
export interface Ping {
  readonly type: 'ping';
  readonly nonce: number;
  readonly updates: readonly Member[];
  /** Configuration generation in force at the sender. */
  readonly generation: number;
}

/** Answer to a ping. */
export interface Ack {
  readonly type: 'ack';
  readonly nonce: number;
  readonly updates: readonly Member[];
  readonly generation: number;
}

/** Asks a member to ping `target` on the sender's behalf; answered by `ack` if the target answers. */
export interface PingRequest {
  readonly type: 'pingRequest';
  readonly nonce: number;
  readonly target: Member;
}

/** Asks a peer for the configuration it has in force if it is newer than `generation`. */
export interface ConfigurationPull {
  readonly type: 'configurationPull';
  readonly generation: number;
  /** With it, a peer also answers if it has another content under the same generation. */
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
