/** Reads JSON request bodies within a limit and checks their shape. */
import type { IncomingMessage } from 'node:http';
import { Err, Ok } from 'ts-results';
import type { Result } from 'ts-results';
import type { z } from 'zod';
import type { Finding } from '../settings/finding';
import { OperatorProblem, invalidRequest, problem } from './operatorApiReply';
import type { Reply } from './operatorApiReply';

const JSON_TYPE = /^application\/json\s*(;.*)?$/i;

function tooLarge(limitBytes: number): Reply {
  return invalidRequest(413, `the body is larger than ${limitBytes} bytes`);
}

/**
 * Resolves to null when the body exceeds the limit; the rest is then read and dropped, so that a
 * client that sends it all before it reads the answer gets it. Rejects when the connection breaks.
 */
function readBytes(request: IncomingMessage, limitBytes: number): Promise<Buffer | null> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > limitBytes) {
        chunks.length = 0;
        resolve(null);
      } else {
        chunks.push(chunk);
      }
    });
    request.once('end', () => resolve(Buffer.concat(chunks)));
    request.once('error', reject);
    request.once('close', () => reject(new Error('the connection broke')));
  });
}

function parseJson(text: string): Result<unknown, Reply> {
  try {
    return Ok(JSON.parse(text) as unknown);
  } catch (thrown) {
    return Err(invalidRequest(400, `the body is not JSON: ${(thrown as Error).message}`));
  }
}

function shapeFinding(issue: z.core.$ZodIssue): Finding {
  const expected = issue.message;
  return { file: '', line: 0, section: '', key: issue.path.join('.'), expected, found: '' };
}

/** The JSON value of the body, or the answer to a body that is too large or malformed. */
export async function readJson(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Result<unknown, Reply>> {
  if (!JSON_TYPE.test(request.headers['content-type'] ?? '')) {
    return Err(invalidRequest(415, 'the content type must be application/json'));
  }
  const bytes = await readBytes(request, limitBytes);
  return bytes === null ? Err(tooLarge(limitBytes)) : parseJson(bytes.toString('utf8'));
}

/** The value in the shape of the schema, or an answer with a finding for each fault. */
export function checkShape<T>(schema: z.ZodType<T>, value: unknown): Result<T, Reply> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return Ok(parsed.data);
  const findings = parsed.error.issues.map(shapeFinding);
  return Err(problem(400, OperatorProblem.invalidRequest, { findings }));
}
