/** Reads the body of a caller's request within the limit of its size. */
import type { IncomingMessage } from 'node:http';
import { Err, Ok } from 'ts-results';
import type { Result } from 'ts-results';
import { invalidRequest } from './callerProblem';
import type { HttpAnswer } from './callerProblem';

const JSON_TYPE = /^application\/json\s*(;|$)/i;

function headerFault(request: IncomingMessage): HttpAnswer | null {
  const { 'content-type': type = '', 'content-encoding': encoding = 'identity' } = request.headers;
  const findings = [
    ...(JSON_TYPE.test(type)
      ? []
      : [{ path: 'Content-Type', message: 'expected application/json' }]),
    ...(encoding === 'identity'
      ? []
      : [{ path: 'Content-Encoding', message: 'expected no encoding' }]),
  ];
  return findings.length === 0 ? null : invalidRequest(415, findings);
}

/**
 * A body up to this multiple of the limit is read and dropped before the answer. Closing the
 * connection over unread data resets it, and the caller may lose the answer.
 */
const DROPPED_FACTOR = 4;

function tooLarge(limit: number, headers: Readonly<Record<string, string>> = {}): HttpAnswer {
  return invalidRequest(413, [{ path: '', message: `expected at most ${limit} bytes` }], headers);
}

/** The body, the answer to a body that is refused, or null if the caller has gone. */
export async function readBody(
  request: IncomingMessage,
  limit: number,
): Promise<Result<Buffer, HttpAnswer> | null> {
  const fault = headerFault(request);
  if (fault !== null) return Err(fault);
  const droppedLimit = limit * DROPPED_FACTOR;
  const refused = Err(tooLarge(limit, { connection: 'close' }));
  if (Number(request.headers['content-length'] ?? 0) > droppedLimit) return refused;
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= limit) chunks.push(chunk);
      else chunks.length = 0;
      if (bytes > droppedLimit) resolve(refused);
    });
    request.on('end', () =>
      resolve(bytes > limit ? Err(tooLarge(limit)) : Ok(Buffer.concat(chunks))),
    );
    request.on('error', () => resolve(null));
    request.on('close', () => resolve(null));
  });
}
