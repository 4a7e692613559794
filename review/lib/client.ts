/** A client of the system: one call on a channel of its own. */
import { request } from 'node:http';
import { randomBytes } from 'node:crypto';
import type { JobBody, Ledger } from './ledger';
import type { CaseRecord } from './record';

/** Answer to a call; null if the channel broke before one came. */
export type Answer = { readonly status: number; readonly text: string } | null;

/** A call in progress. */
export interface ClientCall {
  readonly answer: Promise<Answer>;
  /** Resets the channel. */
  reset(): void;
}

/** A call to the `front` address of a node. */
export interface ClientRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly node: string;
  readonly frontAddress: string;
  readonly host: string;
  readonly path: string;
  readonly deadlineMs?: number;
  readonly body?: JobBody;
}

const ID_BYTES = 8;

/** A new job id. */
export function newJobId(): string {
  return randomBytes(ID_BYTES).toString('hex');
}

/** Makes calls and records them. */
export class Client {
  readonly #record: CaseRecord;

  readonly #ledger: Ledger;

  constructor(record: CaseRecord, ledger: Ledger) {
    this.#record = record;
    this.#ledger = ledger;
  }

  /** Submits a job to a node; a job that was sent before keeps its id. */
  submit(target: Omit<ClientRequest, 'method' | 'path'>, prefix: string, id: string): ClientCall {
    if (target.body) this.#ledger.jobs.set(id, target.body);
    return this.call({ ...target, method: 'POST', path: prefix + id });
  }

  call({ method, node, frontAddress, host, path, deadlineMs, body }: ClientRequest): ClientCall {
    const [ip, port] = frontAddress.split(':');
    const text = body === undefined ? '' : JSON.stringify(body);
    const name = `${method} ${path}`;
    const headers = {
      host,
      ...(text === ''
        ? {}
        : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
      ...(deadlineMs === undefined ? {} : { 'request-deadline': String(deadlineMs) }),
    };
    this.#record.write('client-sends', { call: name, node });
    const outgoing = request({ method, host: ip, port, path, headers, agent: false });
    const answer = new Promise<Answer>((resolve) => {
      outgoing.once('response', (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.once('error', () => resolve(null));
        response.once('end', () => {
          const { statusCode: status = 0 } = response;
          resolve({ status, text: Buffer.concat(chunks).toString('utf8') });
        });
      });
      outgoing.once('error', () => resolve(null));
    });
    answer.then((received) => {
      this.#record.write('client-receives', { call: name, node, answer: received });
    });
    outgoing.end(text);
    return {
      answer,
      reset: () => {
        this.#record.write('channel-reset', { call: name, node });
        outgoing.socket?.resetAndDestroy();
      },
    };
  }
}
