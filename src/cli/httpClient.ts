/**
 * JSON over HTTP to one host. Tells calls that never reached the host from those whose fate is not
 * known, because only the former may be reported as "nothing was changed".
 */
import { Err, Ok } from 'ts-results';
import type { Result } from 'ts-results';
import { Agent, request } from 'undici';

const CONNECT_TIMEOUT_MS = 3000;
const HTTP_OK = 200;

/** Largest answer read: a configuration of 1 MB as JSON, or a job's results. */
const ANSWER_LIMIT_BYTES = 64 * 1024 * 1024;

/** An answer of the host, whatever its status. */
export interface HttpAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** A call without an answer; `reached` is false if no byte of it was sent. */
export interface HttpFailure {
  readonly reached: boolean;
  readonly message: string;
}

/** One call; `body` is sent as JSON. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

const NOT_REACHED: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'EACCES',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function failureOf(address: string, thrown: unknown): HttpFailure {
  const error = thrown as NodeJS.ErrnoException;
  const reached = !NOT_REACHED.has(error.code ?? '');
  const text = error.message === '' ? (error.code ?? 'no reason given') : error.message;
  return { reached, message: `${address}: ${text}` };
}

/** Client of one host. `timeoutMs` bounds the wait for an answer. */
export class HttpClient {
  readonly #address: string;

  readonly #agent: Agent;

  constructor(address: string, timeoutMs: number) {
    this.#address = address;
    this.#agent = new Agent({
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      maxResponseSize: ANSWER_LIMIT_BYTES,
      connections: 1,
    });
  }

  /** Sends one call; it is not repeated. */
  async call({ method, path, body, headers }: HttpCall): Promise<Result<HttpAnswer, HttpFailure>> {
    try {
      const response = await request(`http://${this.#address}${path}`, {
        dispatcher: this.#agent,
        method,
        headers: {
          ...headers,
          ...(body === undefined ? {} : { 'content-type': 'application/json' }),
        },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      });
      const answer: unknown = JSON.parse(await response.body.text());
      return Ok({ status: response.statusCode, body: answer });
    } catch (thrown) {
      return Err(failureOf(this.#address, thrown));
    }
  }

  /** Reads a text; an answer other than 200 is a failure. */
  async readText(path: string): Promise<Result<string, HttpFailure>> {
    try {
      const url = `http://${this.#address}${path}`;
      const response = await request(url, { dispatcher: this.#agent });
      const text = await response.body.text();
      if (response.statusCode === HTTP_OK) return Ok(text);
      const message = `${this.#address}: status ${response.statusCode}`;
      return Err({ reached: true, message });
    } catch (thrown) {
      return Err(failureOf(this.#address, thrown));
    }
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }
}
