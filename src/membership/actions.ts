/** Actions that the membership state machine returns to its caller. */
import type { Member, MembershipMessage } from '../core/messages';

/** A message to send or an event to report. */
export type MembershipAction =
  | { readonly type: 'send'; readonly address: string; readonly message: MembershipMessage }
  | { readonly type: 'membersChanged'; readonly members: readonly Member[] }
  /** A peer has a newer configuration generation in force than this host. */
  | {
      readonly type: 'generationSeen';
      readonly hostId: string;
      readonly address: string;
      readonly generation: number;
    }
  /**
   * A probe started after the last pause (or after the start) succeeded, or there is no other
   * member. Emitted once per pause.
   */
  | { readonly type: 'confirmed' }
  /** Another running process uses the id of this host. */
  | { readonly type: 'conflict'; readonly incarnation: string };
