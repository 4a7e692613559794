/** Reads JSON request bodies up to a size limit and validates them against schemas. */
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
 * Resolves to null if the body exceeds the limit. The rest of the body is still read and discarded,
 * so that clients that send the whole body before they read receive the answer. Rejects if the
 * connection closes before the body is complete.
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
    request.once('close', () =>
      reject(new Error('connection closed before the request body was complete')),
    );
  });
}

function parseJson(text: string): Result<unknown, Reply> {
  try {
    return Ok(JSON.parse(text) as unknown);
  } catch (thrown) {
    return Err(invalidRequest(400, `the body is not JSON: ${(thrown as Error).message}`));
  }
}

function toFinding(issue: z.core.$ZodIssue): Finding {
  const expected = issue.message;
  return { file: '', line: 0, section: '', key: issue.path.join('.'), expected, found: '' };
}

/** Reads the body as JSON. The error is the answer to a body that is too large or malformed. */
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

/** Validates a value. The error is an answer with one finding for each violation of the schema. */
export function validateBody<T>(schema: z.ZodType<T>, value: unknown): Result<T, Reply> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return Ok(parsed.data);
  const findings = parsed.error.issues.map(toFinding);
  return Err(problem(400, OperatorProblem.invalidRequest, { findings }));
}
