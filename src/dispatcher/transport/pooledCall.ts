/** A call in a connection pool: waits for a connection, is sent over it, and settles once. */
import type { HttpConnection, HttpReply, HttpRequest } from './httpConnection';

/** Limits that end a call without a response. */
export interface CallLimits {
  /** The call fails if it has no response after this time. */
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
}

/** Callbacks for the end of a call. */
export interface CallHandlers {
  resolve(reply: HttpReply): void;
  reject(error: Error): void;
}

/** A call that is waiting or in progress. */
export class PooledCall {
  readonly #request: HttpRequest;

  readonly #signal: AbortSignal | undefined;

  readonly #handlers: CallHandlers;

  readonly #timer: NodeJS.Timeout | null = null;

  #connection: HttpConnection | null = null;

  #ended = false;

  /** One of the `handlers` is called exactly once, even if the call never gets a connection. */
  constructor(request: HttpRequest, { timeoutMs, signal }: CallLimits, handlers: CallHandlers) {
    this.#request = request;
    this.#signal = signal;
    this.#handlers = handlers;
    signal?.addEventListener('abort', this.#abort, { once: true });
    if (timeoutMs === undefined) return;
    // After a pause of the process, timers fire before the answers that have arrived are read.
    const onTimeout = () => setImmediate(() => this.#timeOut(timeoutMs));
    this.#timer = setTimeout(onTimeout, timeoutMs);
  }

  begin(connection: HttpConnection): void {
    this.#connection = connection;
    connection.send(this.#request, {
      resolve: (reply) => {
        if (this.#settle()) this.#handlers.resolve(reply);
      },
      reject: (error) => this.#fail(error),
    });
  }

  /** Fails the call and closes the connection that carries it. */
  fail(error: Error): void {
    if (this.#connection) this.#connection.destroy(error);
    this.#fail(error);
  }

  #timeOut(timeoutMs: number): void {
    if (!this.#ended) this.fail(new Error(`no answer within ${timeoutMs} ms`));
  }

  readonly #abort = (): void => this.fail(new Error('the call was aborted'));

  #fail(error: Error): void {
    if (this.#settle()) this.#handlers.reject(error);
  }

  /** Marks the call as ended. Returns false if it had ended already. */
  #settle(): boolean {
    if (this.#ended) return false;
    this.#ended = true;
    if (this.#timer) clearTimeout(this.#timer);
    this.#signal?.removeEventListener('abort', this.#abort);
    return true;
  }
}
