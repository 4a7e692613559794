/** Limits of the callers' HTTP interface. */
import type { Resources } from '../core/job';

/** Maximum number of tasks in one job. */
export const TASKS_PER_JOB = 710;
/** Maximum number of keys in one request for keys. */
export const KEYS_PER_REQUEST = 1000;

/** Listen address and limits of the interface. */
export interface CallerSettings {
  readonly address: string;
  /** 0 selects a free port. */
  readonly port: number;
  readonly connections: number;
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Maximum size of the payload of one task, as JSON in UTF-8. */
  readonly payloadBytes: number;
  /** Maximum nesting of a body; serializing deeply nested values overflows the stack. */
  readonly bodyDepth: number;
  readonly tasks: number;
  readonly maxDeadlineMs: number;
  /** Time limit for receiving the headers. */
  readonly headersTimeoutMs: number;
  /** Time limit for receiving the whole request. */
  readonly requestTimeoutMs: number;
  /** Interval at which the two time limits for receiving are checked. */
  readonly timeoutCheckMs: number;
  /**
   * Must exceed the load balancer's idle timeout, so that it is the side that closes connections.
   */
  readonly keepAliveTimeoutMs: number;
  /** Callers that do not read their answers for this time are disconnected. */
  readonly answerTimeoutMs: number;
  readonly keyLifetimeMs: number;
  /** Used for each resource that a job does not specify. */
  readonly defaultResources: Resources;
}

export const DEFAULT_CALLER_SETTINGS: CallerSettings = {
  address: '127.0.0.1',
  port: 0,
  connections: 10_000,
  headerBytes: 16 * 1024,
  bodyBytes: 8 * 1024 * 1024,
  payloadBytes: 256 * 1024,
  bodyDepth: 64,
  tasks: TASKS_PER_JOB,
  maxDeadlineMs: 600_000,
  headersTimeoutMs: 5000,
  requestTimeoutMs: 10_000,
  timeoutCheckMs: 1000,
  keepAliveTimeoutMs: 75_000,
  answerTimeoutMs: 30_000,
  keyLifetimeMs: 300_000,
  defaultResources: { cores: 1, memoryMb: 0, accelerators: 0 },
};
