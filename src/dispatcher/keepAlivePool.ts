/** Connections that are kept between calls, each with one call at a time. */
import { HttpConnection, type HttpReply, type HttpRequest } from './httpConnection';
import { PooledCall, type CallLimits } from './pooledCall';

/** An idle connection is kept for so long. */
const KEEP_ALIVE_MS = 60_000;

/** How connections to one address are made. */
export interface PoolOptions {
  /** Most connections at a time; null if there is no limit. */
  readonly connections: number | null;
  readonly connectTimeoutMs: number;
}

/** Connections to `ip:port`. */
export class KeepAlivePool {
  readonly #address: string;

  readonly #options: PoolOptions;

  readonly #connections = new Set<HttpConnection>();

  /** The one that was used last is used first, so that others can expire. */
  readonly #idle: HttpConnection[] = [];

  readonly #waiting = new Set<PooledCall>();

  #closed = false;

  constructor(address: string, options: PoolOptions) {
    this.#address = address;
    this.#options = options;
  }

  /** Makes a call. Rejects if it can't be sent, breaks, or meets a limit, which breaks its connection. */
  call(request: HttpRequest, limits: CallLimits): Promise<HttpReply> {
    return new Promise((resolve, reject) => {
      const call: PooledCall = new PooledCall(request, limits, {
        resolve,
        reject: (error) => {
          this.#waiting.delete(call);
          reject(error);
        },
      });
      if (limits.signal?.aborted) call.fail(new Error('the call was given up'));
      else this.#begin(call);
    });
  }

  /** Makes no more connections; calls in progress go on. */
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
    const idle = this.#takeIdle();
    if (idle) {
      call.begin(idle);
    } else if (this.#connections.size < (this.#options.connections ?? Infinity)) {
      call.begin(this.#connect());
    } else {
      this.#waiting.add(call);
    }
  }

  #takeIdle(): HttpConnection | null {
    const nowMs = performance.now();
    let connection = this.#idle.pop();
    while (connection && !connection.isUsable(nowMs, KEEP_ALIVE_MS)) {
      connection.destroy(new Error('it was idle for too long'));
      connection = this.#idle.pop();
    }
    return connection ?? null;
  }

  #connect(): HttpConnection {
    const connection = new HttpConnection(this.#address, this.#options.connectTimeoutMs, {
      idle: (freed) => this.#freed(freed),
      closed: (gone) => this.#gone(gone),
    });
    this.#connections.add(connection);
    return connection;
  }

  #freed(connection: HttpConnection): void {
    const next = this.#takeWaiting();
    if (next) next.begin(connection);
    else if (this.#closed) connection.destroy(new Error('the pool is closed'));
    else this.#idle.push(connection);
  }

  #gone(connection: HttpConnection): void {
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
