/** Client of the caller API of one host, for single jobs submitted by hand. */
import { Err, Ok } from 'ts-results';
import type { Result } from 'ts-results';
import { z } from 'zod';
import { errorOfAnswer } from './callError';
import type { CallError } from './callError';
import { ExitCode } from './exitCode';
import { HttpClient } from './httpClient';
import type { HttpAnswer, HttpCall, HttpFailure } from './httpClient';

const keysSchema = z.object({ keys: z.array(z.string()).min(1) });

function keyPath(key: string): string {
  return `/v1/jobs/${encodeURIComponent(key)}`;
}

function errorOf(failure: HttpFailure): CallError {
  return failure.reached
    ? { exitCode: ExitCode.unknown, message: `outcome unknown: ${failure.message}`, findings: [] }
    : { exitCode: ExitCode.unreachable, message: `unreachable: ${failure.message}`, findings: [] };
}

/** Client of one host at `ip:port`. `timeoutMs` bounds the wait for the answer to a job. */
export class JobClient {
  readonly #http: HttpClient;

  constructor(address: string, timeoutMs: number) {
    this.#http = new HttpClient(address, timeoutMs);
  }

  /** Asks for a submission key. */
  async issueKey(): Promise<Result<string, CallError>> {
    const answer = await this.#http.call({ method: 'POST', path: '/v1/keys', body: { count: 1 } });
    if (answer.err) return Err({ ...errorOf(answer.val), exitCode: ExitCode.unreachable });
    const { status, body } = answer.val;
    const parsed = keysSchema.safeParse(body);
    const key = parsed.success ? parsed.data.keys[0] : undefined;
    return key === undefined ? Err(errorOfAnswer(status, body)) : Ok(key);
  }

  /** Submits a job under a key; the answer has any status. */
  submit(key: string, job: unknown): Promise<Result<HttpAnswer, CallError>> {
    const headers = { 'idempotency-key': key };
    return this.#call({ method: 'POST', path: '/v1/jobs', body: job, headers });
  }

  /** Cancels the submission of a key; the answer has any status. */
  cancel(key: string): Promise<Result<HttpAnswer, CallError>> {
    return this.#call({ method: 'DELETE', path: keyPath(key) });
  }

  close(): Promise<void> {
    return this.#http.close();
  }

  async #call(call: HttpCall): Promise<Result<HttpAnswer, CallError>> {
    return (await this.#http.call(call)).mapErr(errorOf);
  }
}
