/** A call in a connection pool: waits for a connection, is sent over it, and settles once. */
import type { HttpConnection, HttpReply, HttpRequest } from './httpConnection';

/** Limits that end a call without a response. */
export interface CallLimits {
  /** The call fails if it has no response after this time; with `stallTimeoutMs`, if none begins. */
  readonly timeoutMs?: number;
  /**
   * A response that has begun may take any time, but the call fails if no more of it arrives for so
   * long. For responses of any size, whose time depends on the link.
   */
  readonly stallTimeoutMs?: number;
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

  readonly #stallTimeoutMs: number | null;

  #timer: NodeJS.Timeout | null = null;

  /** When a part of the response arrived last; null before the first one. */
  #receivedAtMs: number | null = null;

  #connection: HttpConnection | null = null;

  #ended = false;

  /** One of the `handlers` is called exactly once, even if the call never gets a connection. */
  constructor(request: HttpRequest, limits: CallLimits, handlers: CallHandlers) {
    const { timeoutMs, stallTimeoutMs = null, signal } = limits;
    this.#request = request;
    this.#signal = signal;
    this.#handlers = handlers;
    this.#stallTimeoutMs = stallTimeoutMs;
    signal?.addEventListener('abort', this.#abort, { once: true });
    if (timeoutMs !== undefined) this.#startTimer(timeoutMs, () => this.#timeOut(timeoutMs));
  }

  begin(connection: HttpConnection): void {
    this.#connection = connection;
    connection.send(this.#request, {
      resolve: (reply) => {
        if (this.#settle()) this.#handlers.resolve(reply);
      },
      reject: (error) => this.#fail(error),
      progress: () => this.#recordProgress(),
    });
  }

  /** Fails the call and closes the connection that carries it. */
  fail(error: Error): void {
    if (this.#connection) this.#connection.destroy(error);
    this.#fail(error);
  }

  #startTimer(delayMs: number, onTimeout: () => void): void {
    if (this.#timer) clearTimeout(this.#timer);
    // After a pause of the process, timers fire before the answers that have arrived are read.
    this.#timer = setTimeout(() => setImmediate(onTimeout), delayMs);
  }

  /** Once the response has begun, only a stall ends the call. */
  #recordProgress(): void {
    if (this.#stallTimeoutMs === null || this.#ended) return;
    const hasBegun = this.#receivedAtMs !== null;
    this.#receivedAtMs = performance.now();
    if (!hasBegun) this.#awaitStall(this.#stallTimeoutMs);
  }

  /** Fails the call after this time, unless more of the response has arrived by then. */
  #awaitStall(limitMs: number): void {
    const receivedAtMs = this.#receivedAtMs ?? 0;
    this.#startTimer(receivedAtMs + limitMs - performance.now(), () => {
      if (this.#ended) return;
      if (this.#receivedAtMs !== receivedAtMs) this.#awaitStall(limitMs);
      else this.fail(new Error(`nothing more of the answer within ${limitMs} ms`));
    });
  }

  #timeOut(timeoutMs: number): void {
    const hasBegun = this.#receivedAtMs !== null;
    if (!this.#ended && !hasBegun) this.fail(new Error(`no answer within ${timeoutMs} ms`));
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
