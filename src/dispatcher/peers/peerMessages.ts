/** Message bodies of the peer interface, and validation of received ones. */
import type { BatchOutcome, CellRoom, CellSummary, TaskBatch } from '../../cells/messages';
import type { CellRecord, HostIdentity } from '../ownership/cellRecord';
import type { CrashPosition, CrashUpdate } from './crashExchange';
import type { DomainDrain } from '../drainedDomains';
import type { ClockReading, SendTime } from './peerClocks';
import type { ToldList, WantedList, WorkerList } from '../ownership/workerLists';

/** Paths of the peer interface. */
export const PeerPath = {
  status: '/v1/status',
  batches: '/v1/batches',
  runs: '/v1/runs',
  room: '/v1/room',
  placement: '/v1/placement',
  configuration: '/v1/configuration',
} as const;

/** The batch calls to the receiver that the sender still awaits, out of all that it has started. */
export interface AwaitedCalls {
  /** Number of the latest call that the sender has started, to any host. */
  readonly upTo: number;
  readonly numbers: readonly number[];
}

/** Polls the status of a host, and carries the cluster state that the sender knows. */
export interface StatusRequest {
  readonly from: HostIdentity;
  readonly configurationVersion: number;
  /** Digest of the ownership records that the sender knows; see `CellRegistry.digest`. */
  readonly recordsDigest: string;
  /** All ownership records that the sender knows, if the receiver's digest differed; else empty. */
  readonly records: readonly CellRecord[];
  /** Version of the sender's list of workers in its own domain. */
  readonly listVersion: number;
  /**
   * How far the sender knows the receiver's history of lost workers; absent if it knows nothing of
   * it, and from hosts of earlier versions.
   */
  readonly crashPosition?: CrashPosition | undefined;
  /** Drained failure domains as the sender knows them; absent if there is none. */
  readonly drains?: readonly DomainDrain[] | undefined;
  /** Lists of workers that the sender needs and can't read; absent if there is none. */
  readonly wantedLists?: readonly WantedList[] | undefined;
  /** Absent if no batch has been sent to the receiver, and from hosts of earlier versions. */
  readonly awaited?: AwaitedCalls | undefined;
  /**
   * Absent if the sender does not know the receiver's clocks, and from hosts of the previous
   * version.
   */
  readonly sentAt?: SendTime;
}

/** Status of a host, and the cluster state that it knows. */
export interface HostStatus {
  readonly hostId: string;
  readonly incarnation: string;
  /** The host is shutting down, and its cells should be taken over. */
  readonly leaving: boolean;
  readonly configurationVersion: number;
  /** Number of cells in each failure domain; null if the host does not know it. */
  readonly cellsPerDomain: number | null;
  /** Loads of the cells that the host owns. */
  readonly cells: readonly CellSummary[];
  readonly recordsDigest: string;
  /** All ownership records that the host knows, if the requester's digest differs; else empty. */
  readonly records: readonly CellRecord[];
  /** Workers of the requester's domain, if the requester's list is older. */
  readonly workers: WorkerList | null;
  /** The wanted lists of workers that the host has read later than the requester. */
  readonly toldLists?: readonly ToldList[] | undefined;
  /** Lost workers that the requester does not know of; absent from hosts of earlier versions. */
  readonly crashes?: CrashUpdate;
  /**
   * Drained failure domains that the request lacked; absent if the host does not know the state of
   * all domains, and from hosts of earlier versions.
   */
  readonly drains?: readonly DomainDrain[] | undefined;
}

/** Response to a status request. */
export interface PeerStatus extends HostStatus {
  /** Ids of the requester's batches that are in progress at this host. */
  readonly batches: readonly string[];
  /** Clock readings at the time of the response; absent from hosts of the previous version. */
  readonly clocks?: ClockReading;
}

/** Submits a batch to the owner of a cell. */
export interface BatchCall {
  readonly from: HostIdentity;
  readonly cell: string;
  readonly batch: TaskBatch;
  /** Process that the batch is addressed to; absent from hosts of earlier versions. */
  readonly ownerIncarnation?: string;
  /**
   * The batch has been sent before. Only the process that it was sent to knows whether it has run.
   */
  readonly isRetry: boolean;
  /** Sequence number of the call in the sender's process; absent from hosts of earlier versions. */
  readonly number?: number | undefined;
  /**
   * Absent if the sender does not know the owner's clocks, and from hosts of the previous version.
   */
  readonly sentAt?: SendTime;
}

/** Outcome of a batch, with the load of the cell if the receiver owns it. */
export interface BatchReply {
  readonly outcome: BatchOutcome;
  readonly summary: CellSummary | null;
  /**
   * Clock readings of the receiver, sent with an `expired` refusal because the resend needs them.
   */
  readonly clocks?: ClockReading;
}

/** Asks the owner of a cell whether runs of a job may be in progress there. */
export interface RunsRequest {
  readonly cell: string;
  readonly jobId: string;
}

/** Answer to a `RunsRequest`; false also if the receiver does not own the cell. */
export interface RunsReply {
  readonly mayRun: boolean;
  /** All jobs with runs in the cell; absent from hosts of earlier versions. */
  readonly foundJobs?: readonly string[];
  /** True if all workers have listed their runs, so that no further ones will be found. */
  readonly areAllListed?: boolean;
  /** True if other jobs may have runs as well, because workers have not listed theirs yet. */
  readonly mayRunOthers?: boolean;
}

/** Asks the owner of a cell how many tasks of a batch it could end in time. */
export interface RoomRequest {
  readonly cell: string;
  readonly batch: TaskBatch;
  /** The answer is to name a worker; absent from hosts of earlier versions. */
  readonly namesWorker?: boolean;
}

/** Answer to a `RoomRequest`; null if the receiver does not own the cell. */
export interface RoomReply {
  readonly room: CellRoom | null;
}

/** Parses a JSON body that must be an object with these members; null otherwise. */
export function parseBody<T>(text: string, members: readonly (keyof T & string)[]): T | null {
  try {
    const value: unknown = JSON.parse(text);
    if (typeof value !== 'object' || value === null) return null;
    return members.every((member) => member in value) ? (value as T) : null;
  } catch {
    return null;
  }
}
