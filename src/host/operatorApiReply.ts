/** Replies of the operator API: JSON, and problem details (RFC 9457) for errors. */
import { STATUS_CODES } from 'node:http';
import type { Finding } from '../settings/finding';
import type { Publication } from './operatorService';

/** Problem types of the operator API. */
export const OperatorProblem = {
  invalidRequest: '/problems/invalid-request',
  invalidConfiguration: '/problems/invalid-configuration',
  lostRace: '/problems/lost-race',
  storeUnavailable: '/problems/store-unavailable',
  outcomeUnknown: '/problems/outcome-unknown',
  timeout: '/problems/timeout',
  internal: '/problems/internal-error',
} as const;
export type OperatorProblem = (typeof OperatorProblem)[keyof typeof OperatorProblem];

/** Members of a problem in addition to type, title and status. */
export interface ProblemDetails {
  readonly detail?: string;
  readonly findings?: readonly Finding[];
  readonly winner?: Publication;
  readonly publicationId?: string;
}

/** One HTTP reply. `headers` are sent in addition to those that describe the content. */
export interface Reply {
  readonly status: number;
  readonly contentType: 'application/json' | 'application/problem+json';
  readonly body: unknown;
  readonly headers: Readonly<Record<string, string>>;
}

/** Returns a reply with a JSON body that is not a problem. */
export function json(body: unknown, status = 200): Reply {
  return { status, contentType: 'application/json', body, headers: {} };
}

/** Returns a reply that carries a problem. */
export function problem(
  status: number,
  type: OperatorProblem,
  details: ProblemDetails = {},
  headers: Readonly<Record<string, string>> = {},
): Reply {
  const body = { type, title: STATUS_CODES[status] ?? 'Error', status, ...details };
  return { status, contentType: 'application/problem+json', body, headers };
}

/** Returns the reply to an invalid request. */
export function invalidRequest(status: number, detail: string): Reply {
  return problem(status, OperatorProblem.invalidRequest, { detail });
}
