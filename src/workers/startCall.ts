/**
 * The undici dispatch handler of one start request. undici calls `onRequestStart` right before it
 * writes to a socket, so an error without that call proves that nothing was sent.
 */
import type { Dispatcher } from 'undici';
import { parseAttempt } from './attemptAnswer';
import { NotStartedReason } from './workers';
import type { AttemptResult } from './workers';

/** Delay after the timeout in which a response that is already in the socket can still be read. */
const TIMEOUT_GRACE_MS = 50;

/** A start request in progress. `result` resolves exactly once and never rejects. */
export class StartCall implements Dispatcher.DispatchHandler {
  readonly result: Promise<AttemptResult>;

  readonly #timeoutMs: number;

  readonly #resolve: (result: AttemptResult) => void;

  #controller: Dispatcher.DispatchController | null = null;

  #timeoutTimer: NodeJS.Timeout | null = null;

  #sent = false;

  #settled = false;

  #statusCode = 0;

  readonly #chunks: Buffer[] = [];

  /** The call times out `timeoutMs` after the start was sent or `extend` was last called. */
  constructor(timeoutMs: number) {
    this.#timeoutMs = timeoutMs;
    let resolveResult: (result: AttemptResult) => void = () => undefined;
    this.result = new Promise((resolve) => {
      resolveResult = resolve;
    });
    this.#resolve = resolveResult;
  }

  /** False while it is certain that no byte of the request has been sent. */
  get sent(): boolean {
    return this.#sent;
  }

  /** Restarts the timeout; called when the lease of the attempt was renewed. */
  extend(): void {
    this.#timeoutTimer?.refresh();
  }

  /** Resolves with `result` and aborts the request if it is still open. */
  settle(result: AttemptResult): void {
    if (this.#settled) return;
    this.#settled = true;
    if (this.#timeoutTimer !== null) clearTimeout(this.#timeoutTimer);
    this.#resolve(result);
    this.#controller?.abort(new Error('the attempt is settled'));
  }

  /** Settles the call without a response: `unclear` if the start was sent, else `notStarted`. */
  abandon(error: string): void {
    this.settle(
      this.#sent
        ? { state: 'unclear', error }
        : { state: 'notStarted', reason: NotStartedReason.unreachable },
    );
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#settled) {
      controller.abort(new Error('the attempt is settled'));
      return;
    }
    this.#sent = true;
    this.#controller = controller;
    this.#timeoutTimer ??= setTimeout(() => this.#onTimeout(), this.#timeoutMs);
  }

  onResponseStart(_controller: Dispatcher.DispatchController, statusCode: number): void {
    this.#statusCode = statusCode;
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#chunks.push(chunk);
  }

  onResponseEnd(): void {
    this.#controller = null;
    const text = Buffer.concat(this.#chunks).toString('utf8');
    this.settle(parseAttempt('start', { statusCode: this.#statusCode, text }));
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.#controller = null;
    this.abandon(error.message);
  }

  /**
   * Waits for the grace period before giving up: after a pause of the process, timers fire before
   * the responses waiting in the socket are read.
   */
  #onTimeout(): void {
    this.#timeoutTimer = setTimeout(
      () => this.abandon('no response from the worker before the start timed out'),
      TIMEOUT_GRACE_MS,
    );
  }
}
