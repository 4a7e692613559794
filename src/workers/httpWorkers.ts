/**
 * HTTP client of the workers. An attempt is reported as `notStarted` only if the worker refused or
 * revoked it, or if no byte of the start request was sent; any other failure is `unclear`.
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

/** Time and size limits of the client. */
export interface HttpWorkersOptions extends PoolOptions {
  /** Timeout of requests that the worker answers immediately. */
  readonly controlTimeoutMs: number;
  /** An unanswered start times out after this many lease durations without a renewal. */
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
  /** Time that the worker may wait before it answers, added to the timeout. */
  readonly waitMs?: number;
}

function taskPath(attemptId: string, action = ''): string {
  return `/v1/tasks/${encodeURIComponent(attemptId)}${action}`;
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

  readonly #openCalls = new Map<string, StartCall>();

  constructor(connections: number, options: Partial<HttpWorkersOptions> = {}) {
    this.#options = { ...DEFAULT_WORKERS_OPTIONS, ...options };
    this.#pools = new WorkerPools(connections, this.#options);
  }

  /** Number of starts that have no result yet. */
  get openStarts(): number {
    return this.#openCalls.size;
  }

  async start(worker: WorkerRef, start: TaskStart): Promise<AttemptResult> {
    const call = new StartCall(start.leaseMs * this.#options.lapseLeases);
    const key = callKey(worker, start.attemptId);
    this.#openCalls.set(key, call);
    this.#send(worker, start, call);
    const result = await call.result;
    if (this.#openCalls.get(key) === call) this.#openCalls.delete(key);
    return result;
  }

  async revoke(worker: WorkerRef, attemptId: string): Promise<AttemptResult> {
    if (this.#cancelUnsent(worker, attemptId)) return REVOKED;
    return this.#queryAttempt('revoke', worker, attemptId, {
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
    return this.#queryAttempt('inquire', worker, attemptId, request);
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
    renewed.forEach((attemptId) =>
      this.#openCalls.get(callKey(worker, String(attemptId)))?.extend(),
    );
    return true;
  }

  async stop(worker: WorkerRef, attemptId: string): Promise<boolean> {
    if (this.#cancelUnsent(worker, attemptId)) return true;
    const result = await this.#queryAttempt('stop', worker, attemptId, {
      method: 'POST',
      address: worker.address,
      path: taskPath(attemptId, '/stop'),
      body: {},
    });
    return isFinal(result);
  }

  async checkpoint(worker: WorkerRef, attemptId: string): Promise<boolean> {
    return this.#sendCommand(worker, attemptId, '/checkpoint', {});
  }

  async throttle(worker: WorkerRef, attemptId: string, fraction: number): Promise<boolean> {
    return this.#sendCommand(worker, attemptId, '/throttle', { fraction });
  }

  async status(address: string): Promise<WorkerStatus | null> {
    const response = await this.#request({ method: 'GET', address, path: '/v1/status' });
    if (response instanceof RequestError || response.statusCode !== 200) return null;
    return parseStatus(response.text);
  }

  setConnectionLimit(connections: number): void {
    this.#pools.setConnections(connections);
  }

  /** Settles all open starts and closes all connections. */
  async close(): Promise<void> {
    this.#openCalls.forEach((call) => call.abandon('the workers client was closed'));
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

  /**
   * Cancels a start that is still waiting for a connection. Returns true if it was cancelled before
   * being sent, which proves that the attempt never starts.
   */
  #cancelUnsent(worker: WorkerRef, attemptId: string): boolean {
    const call = this.#openCalls.get(callKey(worker, attemptId));
    if (call === undefined || call.sent) return false;
    call.settle(REVOKED);
    return true;
  }

  /** Queries the state of an attempt. A final state also settles the attempt's open start. */
  async #queryAttempt(
    source: AttemptSource,
    worker: WorkerRef,
    attemptId: string,
    request: ControlRequest,
  ): Promise<AttemptResult> {
    const response = await this.#request(request);
    if (response instanceof RequestError) return response.refused ? NOT_LISTENING : NO_ANSWER;
    const result = parseAttempt(source, response);
    if (isFinal(result)) this.#openCalls.get(callKey(worker, attemptId))?.settle(result);
    return result;
  }

  async #sendCommand(
    worker: WorkerRef,
    attemptId: string,
    action: string,
    body: unknown,
  ): Promise<boolean> {
    const path = taskPath(attemptId, action);
    const response = await this.#request({ method: 'POST', address: worker.address, path, body });
    return !(response instanceof RequestError) && response.statusCode === 200;
  }

  async #request(request: ControlRequest): Promise<WorkerResponse | RequestError> {
    const { method, address, path, body, waitMs = 0 } = request;
    try {
      // A request that waits for a task to end would block the only control connection.
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
