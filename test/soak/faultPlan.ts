/** Faults of one seed: what happens when, to whom, and for how long. */
import type { RandomSource } from '../../src/core/clock';

/** Kinds of faults. */
export const FaultKind = {
  hostKilled: 'host-killed',
  hostPaused: 'host-paused',
  hostRestarted: 'host-restarted',
  hostReloaded: 'host-reloaded',
  configurationChanged: 'configuration-changed',
  storeBusy: 'store-busy',
  storeSilent: 'store-silent',
  storeLosesAnswers: 'store-loses-answers',
  storeForgets: 'store-forgets',
  storeCut: 'store-cut',
  peersCut: 'peers-cut',
  peersReset: 'peers-reset',
  peersSilenced: 'peers-silenced',
  peersDelayed: 'peers-delayed',
  workerCut: 'worker-cut',
  workerCutOneWay: 'worker-cut-one-way',
  workerReset: 'worker-reset',
  workerSilenced: 'worker-silenced',
  workerDelayed: 'worker-delayed',
  workerCrashed: 'worker-crashed',
} as const;
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** Kinds of faults that hit several hosts or workers together. */
export const WideFaultKind = {
  hostsKilled: 'hosts-killed',
  /** Without a reset of their connections to other hosts and workers. */
  hostsLost: 'hosts-lost',
  hostsPaused: 'hosts-paused',
  /** Restarted in an orderly way, the next before the last is back. */
  hostsRolled: 'hosts-rolled',
  /** Some killed, some paused, some with silent connections. */
  hostsStruck: 'hosts-struck',
  /** The same after all connections between hosts have gone silent. */
  hostsStruckInSilence: 'hosts-struck-in-silence',
  domainCut: 'domain-cut',
  domainSilenced: 'domain-silenced',
  storeSlow: 'store-slow',
  ordersLate: 'orders-late',
} as const;
export type WideFaultKind = (typeof WideFaultKind)[keyof typeof WideFaultKind];

/** Kinds of planned work. They are not part of the others, whose seeds keep their faults. */
export const PlannedKind = {
  /** The operators drain a failure domain for a multiple of the fault's time. */
  domainDrained: 'domain-drained',
} as const;
export type PlannedKind = (typeof PlannedKind)[keyof typeof PlannedKind];

/** One fault. */
export interface Fault {
  readonly kind: FaultKind | WideFaultKind | PlannedKind;
  readonly atMs: number;
  readonly forMs: number;
  /** Chooses the host or worker, from 0 to 1. */
  readonly point: number;
}

const FIRST_AT_MS = 1000;
const SHORTEST_MS = 300;
const LONGEST_MS = 3000;
/** Chance that a fault comes again right after it, so that restarts and changes come in series. */
const REPEAT = 0.3;
const REPEAT_GAP_MS = 700;

/** Faults of some kinds within a span, in order of time; they overlap. */
export function planFaults(
  kinds: readonly Fault['kind'][],
  count: number,
  spanMs: number,
  random: RandomSource,
): readonly Fault[] {
  const faults = Array.from({ length: count }, (): Fault[] => {
    const fault: Fault = {
      kind: kinds[Math.floor(random.next() * kinds.length)] ?? FaultKind.hostKilled,
      atMs: FIRST_AT_MS + random.next() * spanMs,
      forMs: SHORTEST_MS + random.next() * (LONGEST_MS - SHORTEST_MS),
      point: random.next(),
    };
    const again = { ...fault, atMs: fault.atMs + fault.forMs + REPEAT_GAP_MS };
    return random.next() < REPEAT ? [fault, again] : [fault];
  });
  return faults.flat().sort((left, right) => left.atMs - right.atMs);
}
