/** Reads the bodies of callers' requests up to a size limit. */
import type { IncomingMessage } from 'node:http';
import { Err, Ok } from 'ts-results';
import type { Result } from 'ts-results';
import { invalidRequest } from './callerProblem';
import type { HttpAnswer } from './callerProblem';

const JSON_TYPE = /^application\/json\s*(;|$)/i;

function checkHeaders(request: IncomingMessage): HttpAnswer | null {
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
 * Bodies that exceed the limit, up to this multiple of it, are read and discarded before the answer
 * is sent. Closing a connection with unread data resets it, and the caller may not receive the
 * answer.
 */
const DISCARD_LIMIT_FACTOR = 4;

function tooLarge(limit: number, headers: Readonly<Record<string, string>> = {}): HttpAnswer {
  return invalidRequest(413, [{ path: '', message: `expected at most ${limit} bytes` }], headers);
}

/**
 * Reads a body. The error is the answer to a refused body; null means that the caller disconnected.
 */
export async function readBody(
  request: IncomingMessage,
  limit: number,
): Promise<Result<Buffer, HttpAnswer> | null> {
  const headerProblem = checkHeaders(request);
  if (headerProblem !== null) return Err(headerProblem);
  const discardLimit = limit * DISCARD_LIMIT_FACTOR;
  const refused = Err(tooLarge(limit, { connection: 'close' }));
  if (Number(request.headers['content-length'] ?? 0) > discardLimit) return refused;
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= limit) chunks.push(chunk);
      else chunks.length = 0;
      if (bytes > discardLimit) resolve(refused);
    });
    request.on('end', () =>
      resolve(bytes > limit ? Err(tooLarge(limit)) : Ok(Buffer.concat(chunks))),
    );
    request.on('error', () => resolve(null));
    request.on('close', () => resolve(null));
  });
}
