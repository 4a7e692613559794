/**
 * One start request in progress, as undici's handler of it. undici calls `onRequestStart` just
 * before it writes to a socket; an error without that call proves that nothing was sent.
 */
import type { Dispatcher } from 'undici';
import { parseAttempt } from './attemptAnswer';
import { NotStartedReason } from './workers';
import type { AttemptResult } from './workers';

/** Delay that lets a response already received be read before a lapsed call is given up. */
const LAPSE_RECHECK_MS = 50;

/** Resolves `result` once; it never rejects. */
export class StartCall implements Dispatcher.DispatchHandler {
  readonly result: Promise<AttemptResult>;

  readonly #lapseMs: number;

  readonly #resolve: (result: AttemptResult) => void;

  #controller: Dispatcher.DispatchController | null = null;

  #lapseTimer: NodeJS.Timeout | null = null;

  #sent = false;

  #settled = false;

  #statusCode = 0;

  readonly #chunks: Buffer[] = [];

  /** Gives up `lapseMs` after the start was sent or `extend` was last called. */
  constructor(lapseMs: number) {
    this.#lapseMs = lapseMs;
    let resolveResult: (result: AttemptResult) => void = () => undefined;
    this.result = new Promise((resolve) => {
      resolveResult = resolve;
    });
    this.#resolve = resolveResult;
  }

  /** False as long as provably no byte of the request has been sent. */
  get sent(): boolean {
    return this.#sent;
  }

  /** The lease of the attempt was renewed. */
  extend(): void {
    this.#lapseTimer?.refresh();
  }

  /** Resolves with `result` and drops the request or its connection if it is still open. */
  settle(result: AttemptResult): void {
    if (this.#settled) return;
    this.#settled = true;
    if (this.#lapseTimer !== null) clearTimeout(this.#lapseTimer);
    this.#resolve(result);
    this.#controller?.abort(new Error('the attempt is settled'));
  }

  /** Ends the call with what is known without an answer of the worker. */
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
    this.#lapseTimer ??= setTimeout(() => this.#lapse(), this.#lapseMs);
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

  /** After a pause of the process the timer fires before responses that wait in the socket. */
  #lapse(): void {
    this.#lapseTimer = setTimeout(
      () => this.abandon('no answer within the lease'),
      LAPSE_RECHECK_MS,
    );
  }
}
