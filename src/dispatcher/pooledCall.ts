/** One call of a pool: waits for a connection, is carried by it, and ends once. */
import type { HttpConnection, HttpReply, HttpRequest } from './httpConnection';

/** What ends a call without an answer. */
export interface CallLimits {
  /** The call fails when it has no answer after this time. */
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
}

/** How a call ends. */
export interface CallEnd {
  resolve(reply: HttpReply): void;
  reject(error: Error): void;
}

/** A call that has not ended. */
export class PooledCall {
  readonly #request: HttpRequest;

  readonly #signal: AbortSignal | undefined;

  readonly #end: CallEnd;

  readonly #timer: NodeJS.Timeout | null = null;

  #connection: HttpConnection | null = null;

  #ended = false;

  /** `end` hears once how the call ended, also if it never got a connection. */
  constructor(request: HttpRequest, { timeoutMs, signal }: CallLimits, end: CallEnd) {
    this.#request = request;
    this.#signal = signal;
    this.#end = end;
    signal?.addEventListener('abort', this.#abort, { once: true });
    if (timeoutMs === undefined) return;
    const late = () => this.fail(new Error(`no answer within ${timeoutMs} ms`));
    this.#timer = setTimeout(late, timeoutMs);
  }

  begin(connection: HttpConnection): void {
    this.#connection = connection;
    connection.send(this.#request, {
      resolve: (reply) => {
        if (this.#settle()) this.#end.resolve(reply);
      },
      reject: (error) => this.#fail(error),
    });
  }

  /** Ends the call without an answer; the connection that carries it is broken. */
  fail(error: Error): void {
    if (this.#connection) this.#connection.destroy(error);
    this.#fail(error);
  }

  readonly #abort = (): void => this.fail(new Error('the call was given up'));

  #fail(error: Error): void {
    if (this.#settle()) this.#end.reject(error);
  }

  /** True the first time. */
  #settle(): boolean {
    if (this.#ended) return false;
    this.#ended = true;
    if (this.#timer) clearTimeout(this.#timer);
    this.#signal?.removeEventListener('abort', this.#abort);
    return true;
  }
}
