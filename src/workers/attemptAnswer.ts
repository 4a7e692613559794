/**
 * Parses the workers' responses about attempts (contract: docs/design.md, section 8). A response
 * that violates the contract yields `unclear`; only a well-formed refusal or revocation yields
 * `notStarted`.
 */
import { NotStartedReason } from './workers';
import type { AttemptResult } from './workers';

/** An HTTP response of a worker, with its body decoded as text. */
export interface WorkerResponse {
  readonly statusCode: number;
  readonly text: string;
}

/**
 * The kind of request that was answered. A refusal proves that the attempt never started only if it
 * answers a start.
 */
export type AttemptSource = 'start' | 'revoke' | 'inquire' | 'stop';

const REFUSAL_REASONS: ReadonlySet<string> = new Set([
  NotStartedReason.full,
  NotStartedReason.leaving,
  NotStartedReason.incarnation,
  NotStartedReason.revoked,
]);

function isRefusal(reason: unknown): reason is NotStartedReason {
  return typeof reason === 'string' && REFUSAL_REASONS.has(reason);
}

/** Parses a JSON object; null if `text` is not valid JSON or not an object. */
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

/** A new process answers at the worker's address; the one that got the start has exited. */
const PROCESS_REPLACED: AttemptResult = {
  state: 'unclear',
  error: 'the worker has a new incarnation',
  gone: true,
};

function unclearResult(response: WorkerResponse): AttemptResult {
  return { state: 'unclear', error: `unexpected response with HTTP status ${response.statusCode}` };
}

/** Derives the state of an attempt from one response of its worker. */
export function parseAttempt(source: AttemptSource, response: WorkerResponse): AttemptResult {
  const body = parseObject(response.text);
  if (body === null) return unclearResult(response);
  const runTimeMs = typeof body.runTimeMs === 'number' ? body.runTimeMs : 0;
  if (response.statusCode === 409 && body.state === 'refused') {
    if (source !== 'start' && body.reason === NotStartedReason.incarnation) return PROCESS_REPLACED;
    return source === 'start' && isRefusal(body.reason)
      ? { state: 'notStarted', reason: body.reason }
      : unclearResult(response);
  }
  if (response.statusCode !== 200) return unclearResult(response);
  switch (body.state) {
    case 'succeeded':
      return { state: 'succeeded', result: body.result, runTimeMs };
    case 'failed':
      return { state: 'failed', error: String(body.error ?? 'no error text'), runTimeMs };
    case 'stopped':
      return { state: 'stopped', runTimeMs };
    case 'neverStarted':
      return source === 'start'
        ? unclearResult(response)
        : { state: 'notStarted', reason: NotStartedReason.revoked };
    case 'running':
      return source === 'start' ? unclearResult(response) : { state: 'running' };
    default:
      return unclearResult(response);
  }
}

/** True if the state of the attempt can no longer change. */
export function isFinal(result: AttemptResult): boolean {
  return result.state !== 'running' && result.state !== 'unclear';
}
