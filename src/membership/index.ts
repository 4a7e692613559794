/** Membership of entry hosts, and the roles that are derived from it. */
export { Directory, hostsPrefix, type DirectoryOptions } from './directory';
export type { MembershipAction } from './actions';
export { Membership } from './membership';
export { DEFAULT_MEMBERSHIP_OPTIONS, type MembershipOptions } from './membershipOptions';
export { relaysOf, schedulerOf } from './rendezvous';
