/** Bodies of the calls between hosts, and checks of what arrives. */
import type { BatchOutcome, CellSummary, TaskBatch } from '../cells/messages';
import type { CellRecord, HostIdentity } from './cellRecord';
import type { ClockReading, SendTime } from './peerClocks';
import type { WorkerList } from './workerLists';

/** Paths of the interface between hosts. */
export const PeerPath = {
  status: '/v1/status',
  batches: '/v1/batches',
  configuration: '/v1/configuration',
} as const;

/** Calls that the asker still waits for at the host that it asks, of those that it has begun so far. */
export interface AwaitedCalls {
  /** Number of the latest call that the asker has begun, at whatever host. */
  readonly upTo: number;
  readonly numbers: readonly number[];
}

/** A host asks another whether it serves, and says what it knows itself. */
export interface StatusRequest {
  readonly from: HostIdentity;
  readonly configurationVersion: number;
  /** Digest of the owners that it knows of; see `RecordKeeper.digest`. */
  readonly recordsDigest: string;
  /** Owners of all cells that it knows of, if the receiver seems to know others. */
  readonly records: readonly CellRecord[];
  /** Version of its list of the workers of its own domain. */
  readonly listVersion: number;
  /** Absent where no batch has been sent, and from hosts of an earlier version. */
  readonly awaited?: AwaitedCalls | undefined;
  /** Hosts of the version before do not tell it, nor does one that does not know the receiver's clocks. */
  readonly sentAt?: SendTime;
}

/** What a host says of itself and of what it knows. */
export interface HostStatus {
  readonly hostId: string;
  readonly incarnation: string;
  /** It shuts down and wants its cells to be taken over. */
  readonly leaving: boolean;
  readonly configurationVersion: number;
  /** Number of cells in each failure domain, if it knows. */
  readonly cellsPerDomain: number | null;
  /** Cells that it owns. */
  readonly cells: readonly CellSummary[];
  readonly recordsDigest: string;
  /** Owners of all cells that it knows of, if the asker knows others. */
  readonly records: readonly CellRecord[];
  /** Workers of the asker's domain, if the asker's list is older. */
  readonly workers: WorkerList | null;
}

/** Answer to a status question. */
export interface PeerStatus extends HostStatus {
  /** Batches of the asker in progress here, by id. */
  readonly batches: readonly string[];
  /** Clocks at the moment of the answer; hosts of the version before do not tell them. */
  readonly clocks?: ClockReading;
}

/** A batch for a cell that the receiver owns. */
export interface BatchCall {
  readonly from: HostIdentity;
  readonly cell: string;
  readonly batch: TaskBatch;
  /** Process of the owner that the batch is meant for; hosts of an earlier version do not tell it. */
  readonly ownerIncarnation?: string;
  /** It has been sent before: only the same process can tell whether it runs. */
  readonly isRetry: boolean;
  /** Rises with each call of the sender's process; absent from hosts of an earlier version. */
  readonly number?: number | undefined;
  /** Hosts of the version before do not tell it, nor does one that does not know the owner's clocks. */
  readonly sentAt?: SendTime;
}

/** End of a batch, with the state of the cell if the receiver owns it. */
export interface BatchReply {
  readonly outcome: BatchOutcome;
  readonly summary: CellSummary | null;
  /** Clocks of the receiver, with a refusal as expired: the next call needs them. */
  readonly clocks?: ClockReading;
}

/** Reads a JSON body that must be an object with these members; null otherwise. */
export function parseBody<T>(text: string, members: readonly (keyof T & string)[]): T | null {
  try {
    const value: unknown = JSON.parse(text);
    if (typeof value !== 'object' || value === null) return null;
    return members.every((member) => member in value) ? (value as T) : null;
  } catch {
    return null;
  }
}
