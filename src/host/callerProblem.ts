/** Problem details (RFC 9457) of the callers' interface and the HTTP answer that carries them. */
import { STATUS_CODES } from 'node:http';

/** The problem types; docs/callers.md explains each. */
export const ProblemType = {
  jobFailed: '/problems/job-failed',
  overloaded: '/problems/overloaded',
  teamOverLimit: '/problems/team-over-limit',
  impossibleJob: '/problems/impossible-job',
  draining: '/problems/draining',
  cancelled: '/problems/cancelled',
  invalidRequest: '/problems/invalid-request',
  invalidKey: '/problems/invalid-key',
  keyExpired: '/problems/key-expired',
  keyReused: '/problems/key-reused',
  outcomeUnknown: '/problems/outcome-unknown',
} as const;
export type ProblemType = (typeof ProblemType)[keyof typeof ProblemType];

/** One fault of a request; `path` is its place in the body, for instance `tasks[2].declaredMs`. */
export interface RequestFinding {
  readonly path: string;
  readonly message: string;
}

/** An answer that is ready to be sent. */
export interface HttpAnswer {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: unknown;
}

/** Members of a problem besides its type, status and title. */
export interface ProblemMembers {
  readonly detail?: string;
  readonly notRun?: true;
  readonly findings?: readonly RequestFinding[];
  /** Also sent as `Retry-After`, in whole seconds, rounded up. */
  readonly retryAfterMs?: number;
  readonly [member: string]: unknown;
}

const TITLES: Readonly<Record<ProblemType, string>> = {
  [ProblemType.jobFailed]: 'The job failed',
  [ProblemType.overloaded]: 'The fleet is overloaded',
  [ProblemType.teamOverLimit]: 'The team asks for more than it can get in time',
  [ProblemType.impossibleJob]: 'No worker could run the job',
  [ProblemType.draining]: 'The host takes no new jobs',
  [ProblemType.cancelled]: 'The job was cancelled before it started',
  [ProblemType.invalidRequest]: 'The request is invalid',
  [ProblemType.invalidKey]: 'The key is missing or invalid',
  [ProblemType.keyExpired]: 'The key has expired',
  [ProblemType.keyReused]: 'The key was used for another job',
  [ProblemType.outcomeUnknown]: 'The outcome of the job is unknown',
};

/** The answer for a problem. */
export function problem(
  type: ProblemType,
  statusCode: number,
  members: ProblemMembers = {},
  headers: Readonly<Record<string, string>> = {},
): HttpAnswer {
  const { retryAfterMs } = members;
  const retryAfter: Record<string, string> =
    retryAfterMs === undefined
      ? {}
      : { 'retry-after': String(Math.max(1, Math.ceil(retryAfterMs / 1000))) };
  return {
    statusCode,
    headers: { 'content-type': 'application/problem+json', ...retryAfter, ...headers },
    body: { type, title: TITLES[type], status: statusCode, ...members },
  };
}

/** A request that can't be served; the findings name all faults that are known. */
export function invalidRequest(
  statusCode: number,
  findings: readonly RequestFinding[],
  headers: Readonly<Record<string, string>> = {},
): HttpAnswer {
  const detail = STATUS_CODES[statusCode] ?? 'Bad Request';
  return problem(ProblemType.invalidRequest, statusCode, { detail, findings }, headers);
}

/** A successful answer. */
export function json(statusCode: number, body: unknown): HttpAnswer {
  return { statusCode, headers: { 'content-type': 'application/json' }, body };
}
