/** Creates the core of one host of a fleet of the design size, for the slope measurement. */
import { HostCore } from '../core/hostCore';
import type { CoreAction } from '../core/events';
import { DEFAULT_OPTIONS } from '../core/options';
import { SeededRandom } from './random';
import { INCARNATION, OWN_DOMAIN } from './slopesFleet';

const SEED = 7;

/** Run time that all tasks report. */
export const RUN_MS = 96;
export const DEADLINE_MS = 60_000;
export const RESOURCES = { cores: 1, memoryMb: 1024, accelerators: 0 };

/** Sees each action of a core. */
export type ActionObserver = (action: CoreAction) => void;

/** Ignores all actions. */
export const IGNORE_ACTIONS: ActionObserver = () => undefined;

/** A core that takes `scheduler` for the scheduler of its domain. */
export function createFleetCore(hostId: string, scheduler: string): HostCore {
  return new HostCore({
    hostId,
    incarnation: INCARNATION,
    secret: 'secret of one incarnation',
    domain: OWN_DOMAIN,
    options: DEFAULT_OPTIONS,
    random: new SeededRandom(SEED, hostId),
    chooseScheduler: (domain, members) =>
      members.find((member) => member.domain === domain && member.hostId === scheduler) ?? null,
  });
}
