/** Problem details (RFC 9457) of the callers' interface and the HTTP answers that carry them. */
import { STATUS_CODES } from 'node:http';

/** The problem types, documented for callers in docs/callers.md. */
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

/** One error in a request. `path` locates it in the body, for instance `tasks[2].declaredMs`. */
export interface RequestFinding {
  readonly path: string;
  readonly message: string;
}

/** An HTTP answer that is ready to be sent. */
export interface HttpAnswer {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: unknown;
}

/** Members of a problem in addition to its type, status and title. */
export interface ProblemMembers {
  readonly detail?: string;
  readonly notRun?: true;
  readonly findings?: readonly RequestFinding[];
  /** Also sent in the `Retry-After` header, rounded up to whole seconds. */
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

/** Returns the answer that carries a problem. */
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

/** Returns the answer to an invalid request; `findings` lists all errors that were detected. */
export function invalidRequest(
  statusCode: number,
  findings: readonly RequestFinding[],
  headers: Readonly<Record<string, string>> = {},
): HttpAnswer {
  const detail = STATUS_CODES[statusCode] ?? 'Bad Request';
  return problem(ProblemType.invalidRequest, statusCode, { detail, findings }, headers);
}

/** Returns an answer with a JSON body that is not a problem. */
export function json(statusCode: number, body: unknown): HttpAnswer {
  return { statusCode, headers: { 'content-type': 'application/json' }, body };
}
