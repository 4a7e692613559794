/** Sizes of a soak: what stands at its site, what callers ask for, and which faults come. */
import { FaultKind, PlannedKind, WideFaultKind, type Fault } from './faultPlan';

/** One size. */
export interface SoakShape {
  readonly domains: readonly string[];
  readonly hostsPerDomain: number;
  readonly workersPerDomain: number;
  /** Null if the hosts are to choose. */
  readonly cellsPerDomain: number | null;
  /** Time that a worker takes to stop a run. */
  readonly stopMs: number;
  /** Run times on the workers of a domain, in turn, over those that jobs name. */
  readonly slowness: readonly number[];
  /** True if the proxies are to tell hosts apart by the address that they connect from. */
  readonly hasSourceAddresses: boolean;
  /** True if a host that is down refuses connections. */
  readonly refusesWhileDown: boolean;
  readonly jobsPerSecond: number;
  readonly mostTasks: number;
  /** Above 1 wide jobs are rarer than narrow ones. */
  readonly taskSkew: number;
  readonly leastRunMs: number;
  readonly mostRunMs: number;
  /** Time that a caller waits for an answer. */
  readonly deadlineMs: number;
  /** Hosts between the one that had a job and the one that gets it again. */
  readonly resubmitStride: number;
  /** Queues in the configuration besides the one that jobs use. */
  readonly otherQueues: number;
  /** Speed at which the store sends each reply to a read; null for no limit. */
  readonly storeBytesPerSecond: number | null;
  readonly kinds: readonly Fault['kind'][];
  /** Faults may go on for so long after their begin. */
  readonly longestFaultSeconds: number;
}

/** Two domains of one cell each, and one fault at a time and place. */
export const SMALL_SHAPE: SoakShape = {
  domains: ['sofia-a', 'varna-c'],
  hostsPerDomain: 2,
  workersPerDomain: 3,
  cellsPerDomain: null,
  stopMs: 10,
  slowness: [1],
  hasSourceAddresses: false,
  refusesWhileDown: false,
  jobsPerSecond: 12,
  mostTasks: 4,
  taskSkew: 1,
  leastRunMs: 30,
  mostRunMs: 300,
  deadlineMs: 2500,
  resubmitStride: 1,
  otherQueues: 0,
  storeBytesPerSecond: null,
  kinds: Object.values(FaultKind),
  longestFaultSeconds: 10,
};

/** More frequent than the others: a submitter and the owner of a cell that runs its tasks are hit. */
const HOSTS_TOGETHER = [
  WideFaultKind.hostsKilled,
  WideFaultKind.hostsLost,
  WideFaultKind.hostsStruck,
  WideFaultKind.hostsRolled,
  WideFaultKind.hostsStruckInSilence,
];

/** Several cells a domain, jobs that are divided over them, and faults that hit many hosts together. */
export const WIDE_SHAPE: SoakShape = {
  domains: ['sofia-a', 'plovdiv-b', 'varna-c'],
  hostsPerDomain: 4,
  workersPerDomain: 12,
  cellsPerDomain: 3,
  stopMs: 50,
  slowness: [1, 0.8, 1.25, 1, 3],
  hasSourceAddresses: true,
  refusesWhileDown: true,
  jobsPerSecond: 6,
  mostTasks: 32,
  taskSkew: 4,
  leastRunMs: 100,
  mostRunMs: 1200,
  deadlineMs: 6000,
  resubmitStride: 3,
  otherQueues: 0,
  storeBytesPerSecond: null,
  kinds: [
    ...Object.values(WideFaultKind),
    ...HOSTS_TOGETHER,
    ...HOSTS_TOGETHER,
    FaultKind.hostKilled,
  ],
  longestFaultSeconds: 12,
};

/** Domains are drained while hosts lose the store, each other, or their processes. */
export const DRAIN_SHAPE: SoakShape = {
  ...SMALL_SHAPE,
  domains: ['sofia-a', 'plovdiv-b', 'varna-c'],
  hasSourceAddresses: true,
  jobsPerSecond: 10,
  kinds: [
    PlannedKind.domainDrained,
    PlannedKind.domainDrained,
    PlannedKind.domainDrained,
    FaultKind.storeBusy,
    FaultKind.storeSilent,
    FaultKind.storeForgets,
    FaultKind.storeCut,
    FaultKind.peersCut,
    FaultKind.hostKilled,
    FaultKind.hostPaused,
    FaultKind.hostRestarted,
    WideFaultKind.domainCut,
  ],
  longestFaultSeconds: 16,
};

/** Each read of the configuration takes longer than the store may take to begin a reply. */
export const LARGE_CONFIGURATION_SHAPE: SoakShape = {
  ...SMALL_SHAPE,
  hasSourceAddresses: true,
  otherQueues: 2000,
  storeBytesPerSecond: 400_000,
  kinds: [
    FaultKind.configurationChanged,
    FaultKind.configurationChanged,
    FaultKind.storeSilent,
    FaultKind.storeForgets,
    FaultKind.storeCut,
    FaultKind.hostKilled,
    FaultKind.hostRestarted,
    WideFaultKind.hostsKilled,
  ],
};

/** Shapes by the names that the command line uses. */
export const SHAPES: Readonly<Record<string, SoakShape>> = {
  small: SMALL_SHAPE,
  wide: WIDE_SHAPE,
  drains: DRAIN_SHAPE,
  'large-configuration': LARGE_CONFIGURATION_SHAPE,
};
