/** A pool of keep-alive HTTP connections to one address, each with one call at a time. */
import { HttpConnection, type HttpReply, type HttpRequest } from './httpConnection';
import { PooledCall, type CallLimits, type ProcessReader } from './pooledCall';

/** Maximum idle time of a connection. */
const MAX_IDLE_MS = 60_000;

/** Options for the connections to one address. */
export interface PoolOptions {
  /** Maximum number of connections; null for no limit. */
  readonly connections: number | null;
  readonly connectTimeoutMs: number;
  /** Needed for calls that are meant for one process. */
  readonly processIn?: ProcessReader;
}

const NO_PROCESS: ProcessReader = () => null;

/** Connection pool for `ip:port`. */
export class KeepAlivePool {
  readonly #address: string;

  readonly #options: PoolOptions;

  readonly #connections = new Set<HttpConnection>();

  /** A stack: the most recently used connection is reused first, so that the others can expire. */
  readonly #idle: HttpConnection[] = [];

  readonly #waiting = new Set<PooledCall>();

  #closed = false;

  constructor(address: string, options: PoolOptions) {
    this.#address = address;
    this.#options = options;
  }

  /**
   * Makes a call. Rejects if the connection fails, or if the call times out or is aborted; then its
   * connection is closed too. The error is an `UnsentCallError` if the call was never sent.
   */
  call(request: HttpRequest, limits: CallLimits): Promise<HttpReply> {
    return new Promise((resolve, reject) => {
      const { processIn = NO_PROCESS } = this.#options;
      const call: PooledCall = new PooledCall(request, limits, processIn, {
        resolve,
        reject: (error) => {
          this.#waiting.delete(call);
          reject(error);
        },
      });
      if (limits.signal?.aborted) call.fail(new Error('the call was aborted'));
      else this.#begin(call);
    });
  }

  /** Closes idle connections and opens no new ones; calls in progress continue. */
  close(): void {
    this.#closed = true;
    this.#idle
      .splice(0)
      .forEach((connection) => connection.destroy(new Error('the pool is closed')));
  }

  /** Closes all connections; calls in progress fail. */
  destroy(): void {
    this.#closed = true;
    const error = new Error('the connections are closed');
    [...this.#waiting].forEach((call) => call.fail(error));
    [...this.#connections].forEach((connection) => connection.destroy(error));
  }

  #begin(call: PooledCall): void {
    const idle = this.#takeIdle(call);
    if (idle) {
      call.begin(idle);
      return;
    }
    if (this.#isFull) this.#idle.pop()?.destroy(new Error('it leads to another process'));
    if (this.#isFull) this.#waiting.add(call);
    else call.begin(this.#connect());
  }

  get #isFull(): boolean {
    return this.#connections.size >= (this.#options.connections ?? Infinity);
  }

  #takeIdle(call: PooledCall): HttpConnection | null {
    const nowMs = performance.now();
    let connection = this.#popIdle(call);
    while (connection && !connection.isUsable(nowMs, MAX_IDLE_MS)) {
      connection.destroy(new Error('the idle connection has expired'));
      connection = this.#popIdle(call);
    }
    return connection;
  }

  #popIdle(call: PooledCall): HttpConnection | null {
    const at = this.#idle.findLastIndex((connection) => call.suits(connection));
    return at < 0 ? null : (this.#idle.splice(at, 1)[0] ?? null);
  }

  #connect(): HttpConnection {
    const connection = new HttpConnection(this.#address, this.#options.connectTimeoutMs, {
      idle: (idleConnection) => this.#onIdle(idleConnection),
      closed: (closedConnection) => this.#onClosed(closedConnection),
    });
    this.#connections.add(connection);
    return connection;
  }

  #onIdle(connection: HttpConnection): void {
    let next = this.#takeWaiting();
    while (next && !next.suits(connection)) {
      next.refuse(connection);
      next = this.#takeWaiting();
    }
    if (next) next.begin(connection);
    else if (this.#closed) connection.destroy(new Error('the pool is closed'));
    else this.#idle.push(connection);
  }

  #onClosed(connection: HttpConnection): void {
    this.#connections.delete(connection);
    const at = this.#idle.indexOf(connection);
    if (at >= 0) this.#idle.splice(at, 1);
    const next = this.#takeWaiting();
    if (next) this.#begin(next);
  }

  #takeWaiting(): PooledCall | null {
    const [next] = this.#waiting;
    if (next) this.#waiting.delete(next);
    return next ?? null;
  }
}
