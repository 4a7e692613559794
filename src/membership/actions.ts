/** Actions of membership. */
import type { Member, MembershipMessage } from '../core/messages';

/** What membership wants done or known. */
export type MembershipAction =
  | { readonly type: 'send'; readonly address: string; readonly message: MembershipMessage }
  | { readonly type: 'membersChanged'; readonly members: readonly Member[] }
  /** A peer has a newer configuration in force. */
  | {
      readonly type: 'generationSeen';
      readonly hostId: string;
      readonly address: string;
      readonly generation: number;
    }
  /** A probe that began after the last pause has succeeded, or there is no other member. Once a pause. */
  | { readonly type: 'confirmed' }
  /** Another running process uses this host's id. */
  | { readonly type: 'conflict'; readonly incarnation: string };
