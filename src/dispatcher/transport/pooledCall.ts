/**
 * A call in a connection pool: waits for a connection, is sent over it, and settles once. A call that
 * is meant for one process of the server is sent only over a connection to that process. A connection
 * ends with the process that accepted it, so it is enough to ask once over each connection.
 */
import type { HttpConnection, HttpReply, HttpRequest } from './httpConnection';
import { UnsentCallError } from './unsentCallError';

/** The process of the server that a call is meant for. */
export interface IntendedProcess {
  /** Its start, in Unix milliseconds. */
  readonly startMs: number;
  /** Sent first over a connection to an unknown process; has a reply that names the process. */
  readonly query: HttpRequest;
}

/** Reads the start of the server's process from a reply; null if the reply does not tell it. */
export type ProcessReader = (reply: HttpReply) => number | null;

/** Limits that end a call without a response. */
export interface CallLimits {
  /**
   * The call fails if it has no response after this time; with `stallTimeoutMs`, if none begins. The
   * time counts anew once a query for the process has been answered.
   */
  readonly timeoutMs?: number;
  /**
   * A response that has begun may take any time, but the call fails if no more of it arrives for so
   * long. For responses of any size, whose time depends on the link.
   */
  readonly stallTimeoutMs?: number;
  readonly signal?: AbortSignal;
  /** Without it the call may go to whichever process answers. */
  readonly process?: IntendedProcess;
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

  readonly #timeoutMs: number | null;

  readonly #stallTimeoutMs: number | null;

  readonly #process: IntendedProcess | null;

  readonly #processIn: ProcessReader;

  /** True once the call itself has been sent, not just the query for the process. */
  #isSent = false;

  #timer: NodeJS.Timeout | null = null;

  /** When a part of the response arrived last; null before the first one. */
  #receivedAtMs: number | null = null;

  #connection: HttpConnection | null = null;

  #ended = false;

  /** One of the `handlers` is called exactly once, even if the call never gets a connection. */
  constructor(
    request: HttpRequest,
    limits: CallLimits,
    processIn: ProcessReader,
    handlers: CallHandlers,
  ) {
    const { timeoutMs, stallTimeoutMs = null, signal, process = null } = limits;
    this.#request = request;
    this.#process = process;
    this.#processIn = processIn;
    this.#signal = signal;
    this.#handlers = handlers;
    this.#stallTimeoutMs = stallTimeoutMs;
    signal?.addEventListener('abort', this.#abort, { once: true });
    this.#timeoutMs = timeoutMs ?? null;
    this.#startTimeout();
  }

  /** False if the connection leads to another process than the one that the call is meant for. */
  suits({ processStartMs }: HttpConnection): boolean {
    const { startMs = null } = this.#process ?? {};
    return startMs === null || processStartMs === null || processStartMs === startMs;
  }

  begin(connection: HttpConnection): void {
    this.#connection = connection;
    if (this.#process && connection.processStartMs === null) {
      this.#queryProcess(connection, this.#process);
    } else {
      this.#send(connection);
    }
  }

  /** Fails the call because the connection that it would have got leads to another process. */
  refuse(connection: HttpConnection): void {
    this.#fail(this.#mismatch(connection));
  }

  /** Fails the call and closes the connection that carries it. */
  fail(error: Error): void {
    if (this.#connection) this.#connection.destroy(error);
    this.#fail(error);
  }

  #send(connection: HttpConnection): void {
    this.#isSent = true;
    connection.send(this.#request, {
      resolve: (reply) => {
        this.#learnProcess(connection, reply);
        if (this.#settle()) this.#handlers.resolve(reply);
      },
      reject: (error) => this.#fail(error),
      progress: () => this.#recordProgress(),
    });
  }

  #queryProcess(connection: HttpConnection, { query }: IntendedProcess): void {
    connection.send(query, {
      resolve: (reply) => {
        this.#learnProcess(connection, reply);
        const isIntended = connection.processStartMs !== null && this.suits(connection);
        if (this.#ended) return;
        if (isIntended && connection.isOpen) {
          this.#startTimeout();
          this.#send(connection);
        } else this.#fail(this.#mismatch(connection, reply));
      },
      reject: (error) => this.#fail(error),
      progress: () => {},
    });
  }

  #learnProcess(connection: HttpConnection, reply: HttpReply): void {
    const known = connection;
    known.processStartMs ??= this.#processIn(reply);
  }

  #mismatch(connection: HttpConnection, reply: HttpReply | null = null): UnsentCallError {
    const answeringStartMs = this.suits(connection) ? null : connection.processStartMs;
    const answering = answeringStartMs === null ? 'not named' : `process ${answeringStartMs}`;
    const message = `not sent: meant for process ${this.#process?.startMs}, the one that answers is ${answering}`;
    return new UnsentCallError(message, { answeringStartMs, reply });
  }

  /** The query and the call have the same time each, as a busy process reads each answer late. */
  #startTimeout(): void {
    const timeoutMs = this.#timeoutMs;
    if (timeoutMs !== null) this.#startTimer(timeoutMs, () => this.#timeOut(timeoutMs));
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
    const isTold = this.#isSent || error instanceof UnsentCallError;
    const cause = isTold ? error : new UnsentCallError(error.message, { cause: error });
    if (this.#settle()) this.#handlers.reject(cause);
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
