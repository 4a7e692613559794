/**
 * The operations that one entry host offers to operators. The entry host implements them and the
 * operator API serves them over HTTP. Methods that call other hosts or the store have their own
 * timeouts.
 */
import type { Result } from 'ts-results';
import type { Member } from '../core/messages';
import type { Finding } from '../settings/finding';

/** Status of the host that received the request. */
export interface HostStatus {
  readonly hostId: string;
  readonly incarnation: string;
  readonly service: string;
  readonly region: string;
  readonly domain: string;
  readonly state: 'serving' | 'draining';
  /** Id of the scheduler of the host's domain; null if none is known. */
  readonly schedulerId: string | null;
  readonly relay: boolean;
  /** Configuration generation in force; 0 before the first. */
  readonly generation: number;
  /** Submissions without an answer. */
  readonly pendingSubmissions: number;
  readonly uptimeMs: number;
}

/** One worker as the scheduler of its domain sees it. */
export interface WorkerView {
  readonly workerId: string;
  readonly domain: string;
  readonly rack: string;
  readonly address: string;
  /** `leaving` (from the host list), `silent`, or else the worker's health state. */
  readonly condition: string;
  readonly slots: number;
  readonly usedSlots: number;
}

/** Queued and running work of one kind of one team in one domain. */
export interface QueueView {
  readonly domain: string;
  readonly team: string;
  readonly kind: string;
  readonly urgency: number;
  readonly queuedTasks: number;
  readonly usedSlots: number;
  readonly oldestWaitMs: number;
}

/** Metadata of a published generation. */
export interface Publication {
  readonly generation: number;
  readonly publicationId: string;
  readonly publishedBy: string;
  readonly publishedAtMs: number;
}

/** The configuration in force at the host; `history` holds recent publication ids, oldest first. */
export interface ConfigurationView extends Publication {
  readonly text: string;
  readonly history: readonly string[];
}

/** Generation in force at one member; null if the member can't be reached. */
export interface GenerationInForce {
  readonly hostId: string;
  readonly domain: string;
  readonly generation: number | null;
}

/** One difference between the configuration in force and a proposed one; null means no value. */
export interface ConfigurationChange {
  readonly section: string;
  readonly key: string;
  readonly inForce: string | null;
  readonly proposed: string | null;
}

/** A publication. With `expectedGeneration` it is refused unless that generation is current. */
export interface PublishRequest {
  readonly file: string;
  readonly text: string;
  readonly publishedBy: string;
  readonly expectedGeneration?: number;
}

/** Result of a publication. */
export type PublishOutcome =
  | { readonly outcome: 'published'; readonly generation: number; readonly publicationId: string }
  /** The text is invalid; nothing was published. */
  | { readonly outcome: 'rejected'; readonly findings: readonly Finding[] }
  /** A concurrent publication was first; nothing was published. */
  | { readonly outcome: 'lostRace'; readonly winner: Publication }
  /** The store can't be reached; nothing was published. */
  | { readonly outcome: 'unavailable'; readonly detail: string }
  /** It may have been published; if so, its id appears in the history. */
  | { readonly outcome: 'unknown'; readonly publicationId: string; readonly detail: string };

/** Operators' interface of one host. Rejected promises are answered as internal errors. */
export interface OperatorService {
  status(): Promise<HostStatus>;
  members(): Promise<readonly Member[]>;
  workers(): Promise<readonly WorkerView[]>;
  queues(): Promise<readonly QueueView[]>;
  /** Null before the first configuration is in force. */
  configuration(): Promise<ConfigurationView | null>;
  checkConfiguration(file: string, text: string): Promise<readonly Finding[]>;
  diffConfiguration(
    text: string,
  ): Promise<Result<readonly ConfigurationChange[], readonly Finding[]>>;
  publishConfiguration(request: PublishRequest): Promise<PublishOutcome>;
  inForce(): Promise<readonly GenerationInForce[]>;
  /** Starts draining and resolves without waiting for its end. Further calls have no effect. */
  drain(): Promise<void>;
}
