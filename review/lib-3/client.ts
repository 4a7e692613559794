/** A client as PROTOCOL.md describes it: one channel for each call, and the same id when it retries. */
import { request as httpRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { CaseRecord } from './record';

/** An answer; status 0 if the channel broke or the time limit passed. */
export interface Answer {
  readonly status: number;
  readonly text: string;
}

/** Where clients send jobs. */
export interface Route {
  readonly hostName: string;
  readonly prefix: string;
}

/** A job of one step. */
export interface JobBody {
  readonly id: string;
  readonly spec: string;
  readonly steps: readonly object[];
  readonly deadlineMs: number;
}

const NO_ANSWER: Answer = { status: 0, text: '' };
const RETRY_MS = 1300;
const RETRIED: ReadonlySet<number> = new Set([0, 502, 504]);

/** Returns the job id for a number. */
export function jobIdOf(number: number): string {
  return number.toString(16).padStart(16, '0');
}

/** Sends jobs to hosts and writes the answers to the record. */
export class Client {
  readonly #route: Route;

  readonly #record: CaseRecord;

  constructor(route: Route, record: CaseRecord) {
    this.#route = route;
    this.#record = record;
  }

  /** Makes one call over a new channel. */
  async call(method: string, address: string, id: string, job?: JobBody): Promise<Answer> {
    const { hostName, prefix } = this.#route;
    const [host, port] = address.split(':');
    const body = job && JSON.stringify({ spec: job.spec, bestEffort: true, steps: job.steps });
    const deadlineMs = job?.deadlineMs ?? 1500;
    this.#record.add('client', `${method} sent`, { id, address });
    const answer = await new Promise<Answer>((resolve) => {
      const request = httpRequest(
        {
          host,
          port,
          method,
          path: prefix + id,
          agent: false,
          headers: {
            host: hostName,
            'request-deadline': String(deadlineMs),
            ...(body === undefined
              ? {}
              : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }),
          },
        },
        (response) => {
          const chunks: Buffer[] = [];
          response.on('data', (chunk: Buffer) => chunks.push(chunk));
          response.once('error', () => resolve(NO_ANSWER));
          response.once('end', () => {
            const status = response.statusCode ?? 0;
            resolve({ status, text: Buffer.concat(chunks).toString('utf8') });
          });
        },
      );
      const timer = setTimeout(() => request.destroy(), deadlineMs);
      request.once('error', () => resolve(NO_ANSWER));
      request.once('close', () => {
        clearTimeout(timer);
        resolve(NO_ANSWER);
      });
      request.end(body);
    });
    this.#record.add('client', `${method} answered`, { id, address, ...answer });
    return answer;
  }

  /** Submits a job, and once more to the next host if there is no answer. */
  async submit(addresses: readonly string[], job: JobBody): Promise<Answer> {
    const [first = '', second = first] = addresses;
    const answer = await this.call('POST', first, job.id, job);
    if (!RETRIED.has(answer.status)) return answer;
    await sleep(RETRY_MS);
    return this.call('POST', second, job.id, job);
  }
}
