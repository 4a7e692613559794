/** Limits of the callers' HTTP interface. */
import type { Resources } from '../core/job';

/** Largest number of tasks in one job. */
export const TASKS_PER_JOB = 710;
/** Largest number of keys in one request. */
export const KEYS_PER_REQUEST = 1000;

/** Where the interface listens, and what it accepts. */
export interface CallerSettings {
  readonly address: string;
  /** 0 takes a free port. */
  readonly port: number;
  readonly connections: number;
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Largest payload of one task, as JSON in UTF-8. */
  readonly payloadBytes: number;
  /** Deepest nesting of a body; deeper values overflow the stack when they are serialized. */
  readonly bodyDepth: number;
  readonly tasks: number;
  readonly maxDeadlineMs: number;
  /** Time to receive the headers, and the whole request. */
  readonly headersTimeoutMs: number;
  readonly requestTimeoutMs: number;
  /** How often these two are checked. */
  readonly timeoutCheckMs: number;
  /** Longer than that of the load balancer, which must be the side that closes idle connections. */
  readonly keepAliveTimeoutMs: number;
  /** A caller that does not read its answer for this time is disconnected. */
  readonly answerTimeoutMs: number;
  readonly keyLifetimeMs: number;
  /** Resources of a task whose job names none. */
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
