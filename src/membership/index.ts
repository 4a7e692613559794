/** Which entry hosts there are, and the roles that follow from it. */
export { Directory, hostsPrefix, type DirectoryOptions } from './directory';
export type { MembershipAction } from './actions';
export { Membership } from './membership';
export { DEFAULT_MEMBERSHIP_OPTIONS, type MembershipOptions } from './membershipOptions';
export { relaysOf, schedulerOf } from './rendezvous';
