/**
 * Reads the workers' answers about attempts (docs/design.md, section 8). Whatever does not follow
 * the contract is `unclear`; only a well-formed refusal or revocation yields `notStarted`.
 */
import { NotStartedReason } from './workers';
import type { AttemptResult } from './workers';

/** A response of a worker: status code and body as text. */
export interface WorkerResponse {
  readonly statusCode: number;
  readonly text: string;
}

/** The request that an answer belongs to; a refusal means "never started" only for a start. */
export type AttemptSource = 'start' | 'revoke' | 'inquire' | 'stop';

const REFUSALS: ReadonlySet<string> = new Set([
  NotStartedReason.full,
  NotStartedReason.leaving,
  NotStartedReason.incarnation,
  NotStartedReason.revoked,
]);

function isRefusal(reason: unknown): reason is NotStartedReason {
  return typeof reason === 'string' && REFUSALS.has(reason);
}

/** The members of a JSON object, or null if `text` is not one. */
export function parseObject(text: string): Readonly<Record<string, unknown>> | null {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null && !Array.isArray(value)
      ? (value as Readonly<Record<string, unknown>>)
      : null;
  } catch {
    return null;
  }
}

/** Another process answers at the worker's address; the one that got the start has ended. */
const PROCESS_GONE: AttemptResult = {
  state: 'unclear',
  error: 'the worker has a new incarnation',
  gone: true,
};

function unclear(response: WorkerResponse): AttemptResult {
  return { state: 'unclear', error: `unexpected answer with status ${response.statusCode}` };
}

/** The state of an attempt according to one answer of its worker. */
export function parseAttempt(source: AttemptSource, response: WorkerResponse): AttemptResult {
  const body = parseObject(response.text);
  if (body === null) return unclear(response);
  const runTimeMs = typeof body.runTimeMs === 'number' ? body.runTimeMs : 0;
  if (response.statusCode === 409 && body.state === 'refused') {
    if (source !== 'start' && body.reason === NotStartedReason.incarnation) return PROCESS_GONE;
    return source === 'start' && isRefusal(body.reason)
      ? { state: 'notStarted', reason: body.reason }
      : unclear(response);
  }
  if (response.statusCode !== 200) return unclear(response);
  switch (body.state) {
    case 'succeeded':
      return { state: 'succeeded', result: body.result, runTimeMs };
    case 'failed':
      return { state: 'failed', error: String(body.error ?? 'no error text'), runTimeMs };
    case 'stopped':
      return { state: 'stopped', runTimeMs };
    case 'neverStarted':
      return source === 'start'
        ? unclear(response)
        : { state: 'notStarted', reason: NotStartedReason.revoked };
    case 'running':
      return source === 'start' ? unclear(response) : { state: 'running' };
    default:
      return unclear(response);
  }
}

/** True if no later answer about the attempt can differ. */
export function isFinal(result: AttemptResult): boolean {
  return result.state !== 'running' && result.state !== 'unclear';
}
