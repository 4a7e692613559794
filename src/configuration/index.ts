/** Parsing, publishing and replicating the operators' configuration. */
export type { Configuration, KindPolicy, TeamPolicy } from './policy';
export { parseConfiguration, type Teams } from './parse';
export { diffConfigurations, type ConfigurationChange } from './diff';
export {
  decodeRecord,
  encodeRecord,
  generationOf,
  isNewer,
  toConfiguration,
  toPush,
  type ConfigurationRecord,
} from './record';
export { findPublication, publish, type Candidate, type PublishContext } from './publish';
export type { Invalid, LostRace, PublishOutcome, Published, Unavailable, Unknown } from './outcome';
export { ConfigurationReplica, type ReplicaAction, type WriteBack } from './replica';
export { ConfigurationRelay, SYSTEM_TIMERS, type RelayOptions, type Timers } from './relay';
