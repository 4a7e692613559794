/**
 * Client of the workers over HTTP. `notStarted` is said only if the worker refused or revoked the
 * attempt, or if no byte of the start was sent; any other fault is `unclear`.
 */
import type { WorkerRef } from '../core/messages';
import { isFinal, parseAttempt, parseObject } from './attemptAnswer';
import type { AttemptSource, WorkerResponse } from './attemptAnswer';
import { RequestError } from './requestError';
import { StartCall } from './startCall';
import { WorkerPools } from './workerPools';
import type { PoolOptions } from './workerPools';
import { parseStatus } from './workerStatus';
import { NotStartedReason } from './workers';
import type { AttemptResult, TaskStart, Workers, WorkerStatus } from './workers';

/** Limits of the client. */
export interface HttpWorkersOptions extends PoolOptions {
  /** For requests that the worker answers at once. */
  readonly controlTimeoutMs: number;
  /** A start without an answer is given up after this many leases since the last renewal. */
  readonly lapseLeases: number;
}

export const DEFAULT_WORKERS_OPTIONS: HttpWorkersOptions = {
  connectTimeoutMs: 500,
  responseBytesLimit: 16 * 1024 * 1024,
  controlTimeoutMs: 1000,
  lapseLeases: 2,
};

const JSON_HEADERS = { 'content-type': 'application/json' } as const;

interface ControlRequest {
  readonly method: 'GET' | 'POST';
  readonly address: string;
  readonly path: string;
  readonly body?: unknown;
  /** Extra time that the worker may take before it answers. */
  readonly waitMs?: number;
}

function taskPath(attemptId: string, verb = ''): string {
  return `/v1/tasks/${encodeURIComponent(attemptId)}${verb}`;
}

function callKey(worker: WorkerRef, attemptId: string): string {
  return `${worker.address} ${worker.incarnation} ${attemptId}`;
}

const REVOKED: AttemptResult = { state: 'notStarted', reason: NotStartedReason.revoked };
const NO_ANSWER: AttemptResult = { state: 'unclear', error: 'the worker did not answer' };
const NOT_LISTENING: AttemptResult = {
  state: 'unclear',
  error: 'no process listens at the address of the worker',
  gone: true,
};

/** Implements `Workers`; no method rejects. */
export class HttpWorkers implements Workers {
  readonly #options: HttpWorkersOptions;

  readonly #pools: WorkerPools;

  readonly #calls = new Map<string, StartCall>();

  constructor(connections: number, options: Partial<HttpWorkersOptions> = {}) {
    this.#options = { ...DEFAULT_WORKERS_OPTIONS, ...options };
    this.#pools = new WorkerPools(connections, this.#options);
  }

  /** Number of starts without a result. */
  get openStarts(): number {
    return this.#calls.size;
  }

  async start(worker: WorkerRef, start: TaskStart): Promise<AttemptResult> {
    const call = new StartCall(start.leaseMs * this.#options.lapseLeases);
    const key = callKey(worker, start.attemptId);
    this.#calls.set(key, call);
    this.#send(worker, start, call);
    const result = await call.result;
    if (this.#calls.get(key) === call) this.#calls.delete(key);
    return result;
  }

  async revoke(worker: WorkerRef, attemptId: string): Promise<AttemptResult> {
    if (this.#withdraw(worker, attemptId)) return REVOKED;
    return this.#ask('revoke', worker, attemptId, {
      method: 'POST',
      address: worker.address,
      path: taskPath(attemptId, '/revoke'),
      body: { incarnation: worker.incarnation },
    });
  }

  async inquire(worker: WorkerRef, attemptId: string, waitMs: number): Promise<AttemptResult> {
    const request: ControlRequest = {
      method: 'GET',
      address: worker.address,
      path: taskPath(attemptId, `?waitMs=${Math.max(0, Math.ceil(waitMs))}`),
      waitMs,
    };
    return this.#ask('inquire', worker, attemptId, request);
  }

  async renew(worker: WorkerRef, attemptIds: readonly string[], leaseMs: number): Promise<boolean> {
    const response = await this.#request({
      method: 'POST',
      address: worker.address,
      path: '/v1/leases',
      body: { attemptIds, leaseMs },
    });
    if (response instanceof RequestError || response.statusCode !== 200) return false;
    const renewed = parseObject(response.text)?.renewed;
    if (!Array.isArray(renewed)) return false;
    renewed.forEach((attemptId) => this.#calls.get(callKey(worker, String(attemptId)))?.extend());
    return true;
  }

  async stop(worker: WorkerRef, attemptId: string): Promise<boolean> {
    if (this.#withdraw(worker, attemptId)) return true;
    const result = await this.#ask('stop', worker, attemptId, {
      method: 'POST',
      address: worker.address,
      path: taskPath(attemptId, '/stop'),
      body: {},
    });
    return isFinal(result);
  }

  async checkpoint(worker: WorkerRef, attemptId: string): Promise<boolean> {
    return this.#command(worker, attemptId, '/checkpoint', {});
  }

  async throttle(worker: WorkerRef, attemptId: string, fraction: number): Promise<boolean> {
    return this.#command(worker, attemptId, '/throttle', { fraction });
  }

  async status(address: string): Promise<WorkerStatus | null> {
    const response = await this.#request({ method: 'GET', address, path: '/v1/status' });
    if (response instanceof RequestError || response.statusCode !== 200) return null;
    return parseStatus(response.text);
  }

  setConnectionLimit(connections: number): void {
    this.#pools.setConnections(connections);
  }

  /** Gives up the starts that are open and drops all connections. */
  async close(): Promise<void> {
    this.#calls.forEach((call) => call.abandon('the workers client was closed'));
    await this.#pools.close();
  }

  #send(worker: WorkerRef, start: TaskStart, call: StartCall): void {
    try {
      const { attemptId, team, ...fields } = start;
      this.#pools.starts(worker.address).dispatch(
        {
          method: 'PUT',
          path: taskPath(attemptId),
          headers: JSON_HEADERS,
          body: JSON.stringify({ ...fields, incarnation: worker.incarnation }),
        },
        call,
      );
    } catch (error) {
      call.abandon(String(error));
    }
  }

  /** Ends a start that still waits for a connection; true if that proves it never starts. */
  #withdraw(worker: WorkerRef, attemptId: string): boolean {
    const call = this.#calls.get(callKey(worker, attemptId));
    if (call === undefined || call.sent) return false;
    call.settle(REVOKED);
    return true;
  }

  /** Asks about an attempt; a final state also settles the start that is open on it. */
  async #ask(
    source: AttemptSource,
    worker: WorkerRef,
    attemptId: string,
    request: ControlRequest,
  ): Promise<AttemptResult> {
    const response = await this.#request(request);
    if (response instanceof RequestError) return response.refused ? NOT_LISTENING : NO_ANSWER;
    const result = parseAttempt(source, response);
    if (isFinal(result)) this.#calls.get(callKey(worker, attemptId))?.settle(result);
    return result;
  }

  async #command(
    worker: WorkerRef,
    attemptId: string,
    verb: string,
    body: unknown,
  ): Promise<boolean> {
    const path = taskPath(attemptId, verb);
    const response = await this.#request({ method: 'POST', address: worker.address, path, body });
    return !(response instanceof RequestError) && response.statusCode === 200;
  }

  async #request(request: ControlRequest): Promise<WorkerResponse | RequestError> {
    const { method, address, path, body, waitMs = 0 } = request;
    try {
      // A request that waits for the end of a task must not hold up the control connection.
      const pool = waitMs > 0 ? this.#pools.starts(address) : this.#pools.control(address);
      const response = await pool.request({
        method,
        path,
        headers: JSON_HEADERS,
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(Math.ceil(this.#options.controlTimeoutMs + waitMs)),
      });
      return { statusCode: response.statusCode, text: await response.body.text() };
    } catch (error) {
      return new RequestError(error);
    }
  }
}
