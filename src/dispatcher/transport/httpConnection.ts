/**
 * An HTTP/1.1 client connection to `ip:port` over a plain socket, with one call at a time. General
 * HTTP clients execute about three times as much code for a call, mostly for streams and abort
 * signals, and a process makes too few calls in its life for the JIT to compile that code. Parsing
 * is left to a library, except of responses that arrive in one piece.
 */
import { connect, type Socket } from 'node:net';
import { HTTPParser } from 'http-parser-js';
import { splitAddress } from '../../settings/address';
import { wholeMessage } from './wholeMessage';

/** An HTTP request. */
export interface HttpRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** JSON text; without it the request has no content. */
  readonly body?: string;
}

/** An HTTP response. */
export interface HttpReply {
  readonly status: number;
  readonly text: string;
}

/** Callbacks from a connection to its pool. */
export interface ConnectionEvents {
  /** The call has ended and the connection can carry another one. */
  idle(connection: HttpConnection): void;
  closed(connection: HttpConnection): void;
}

interface CallInProgress {
  readonly resolve: (reply: HttpReply) => void;
  readonly reject: (error: Error) => void;
  /** Called when a part of the response has arrived, but not all of it. */
  readonly progress: () => void;
}

/** Shared by all sockets: each read is processed completely before the next one. */
const READ_BUFFER = Buffer.allocUnsafe(64 * 1024);
/** An idle connection is not reused within this time before its server may close it. */
const CLOSE_MARGIN_MS = 1000;
const MS_PER_S = 1000;
/** Status line of a final response. */
const STATUS_LINE = /^HTTP\/1\.1 ([2-5]\d\d)(?: |$)/;

function encodeRequest(address: string, { method, path, headers = {}, body }: HttpRequest): string {
  let head = `${method} ${path} HTTP/1.1\r\nhost: ${address}\r\nconnection: keep-alive\r\n`;
  Object.entries(headers).forEach(([name, value]) => {
    head += `${name}: ${value}\r\n`;
  });
  if (body === undefined) return `${head}\r\n`;
  const length = Buffer.byteLength(body);
  return `${head}content-type: application/json\r\ncontent-length: ${length}\r\n\r\n${body}`;
}

/** Value of the Keep-Alive header; null if absent. */
function keepAliveOf(headers: readonly string[]): string | null {
  const at = headers.findIndex((text, index) => index % 2 === 0 && /^keep-alive$/i.test(text));
  return at < 0 ? null : (headers[at + 1] ?? null);
}

/**
 * Time for which the server keeps an idle connection, from its Keep-Alive header; null if unknown.
 */
function idleLimitMs(keepAlive: string | null): number | null {
  const seconds = keepAlive === null ? null : /timeout=(\d+)/i.exec(keepAlive)?.[1];
  return seconds ? Number(seconds) * MS_PER_S : null;
}

/** A connection in a pool. */
export class HttpConnection {
  /** Start of the process at the other end, in Unix milliseconds; null until it has been told. */
  processStartMs: number | null = null;

  readonly #address: string;

  readonly #events: ConnectionEvents;

  readonly #socket: Socket;

  readonly #parser = new HTTPParser('RESPONSE');

  #call: CallInProgress | null = null;

  #error: Error | null = null;

  #status = 0;

  #keepsAlive = true;

  #idleLimitMs: number | null = null;

  #idleSinceMs = 0;

  /** Chunks of the response body received so far. */
  #chunks: Buffer[] = [];

  /** True while the parser has read a part of a response. */
  #isParsing = false;

  #closed = false;

  constructor(address: string, connectTimeoutMs: number, events: ConnectionEvents) {
    this.#address = address;
    this.#events = events;
    const { host, port } = splitAddress(address);
    this.#socket = connect({
      host,
      port,
      noDelay: true,
      onread: { buffer: READ_BUFFER, callback: (bytes, buffer) => this.#read(bytes, buffer) },
    });
    const timer = setTimeout(() => {
      this.destroy(new Error(`no connection within ${connectTimeoutMs} ms`));
    }, connectTimeoutMs);
    this.#socket.once('connect', () => clearTimeout(timer));
    this.#socket.on('error', (error) => {
      this.#error ??= error;
    });
    this.#socket.on('end', () => this.#onEnd());
    this.#socket.once('close', () => {
      clearTimeout(timer);
      this.#onClosed();
    });
    this.#attachParser();
  }

  /** False once the connection can carry no further call. */
  get isOpen(): boolean {
    return !this.#closed && !this.#socket.destroyed;
  }

  /** Starts a call. No other call may be in progress. */
  send(request: HttpRequest, call: CallInProgress): void {
    this.#call = call;
    this.#socket.write(encodeRequest(this.#address, request));
  }

  /**
   * True if the connection is open and has been idle for less than `maxIdleMs` and the server's
   * limit.
   */
  isUsable(nowMs: number, maxIdleMs: number): boolean {
    if (!this.isOpen) return false;
    const serverIdleMs = (this.#idleLimitMs ?? Infinity) - CLOSE_MARGIN_MS;
    return nowMs - this.#idleSinceMs < Math.min(maxIdleMs, serverIdleMs);
  }

  /** Closes the connection; a call in progress fails with the error. */
  destroy(error: Error): void {
    this.#error ??= error;
    this.#socket.destroy();
    this.#onClosed();
  }

  #attachParser(): void {
    const parser = this.#parser;
    parser.onHeadersComplete = ({ statusCode, headers, shouldKeepAlive }) => {
      this.#status = statusCode;
      this.#keepsAlive = shouldKeepAlive;
      this.#idleLimitMs = idleLimitMs(keepAliveOf(headers));
    };
    parser.onBody = (chunk, offset, length) => {
      this.#chunks.push(Buffer.from(chunk.subarray(offset, offset + length)));
    };
    parser.onMessageComplete = () => this.#completeParsed();
  }

  #read(bytes: number, buffer: Uint8Array): boolean {
    const whole = this.#isParsing ? null : wholeMessage(buffer as Buffer, bytes);
    const status = whole && STATUS_LINE.exec(whole.startLine)?.[1];
    if (status) {
      this.#keepsAlive = true;
      this.#idleLimitMs = idleLimitMs(whole.keepAlive);
      this.#complete(Number(status), whole.body);
      return true;
    }
    this.#isParsing = true;
    this.#call?.progress();
    const result = this.#parser.execute(buffer as Buffer, 0, bytes);
    if (result instanceof Error) this.destroy(result);
    return true;
  }

  #completeParsed(): void {
    this.#isParsing = false;
    // Interim (1xx) responses precede the final one.
    if (this.#status < 200) return;
    const text = Buffer.concat(this.#chunks).toString('utf8');
    this.#chunks = [];
    this.#complete(this.#status, text);
  }

  #complete(status: number, text: string): void {
    const call = this.#call;
    this.#call = null;
    if (!call || !this.#keepsAlive) this.#socket.destroy();
    this.#idleSinceMs = performance.now();
    call?.resolve({ status, text });
    // The one who waited for this reply may have started the next call.
    if (call && this.#keepsAlive && !this.#call) this.#events.idle(this);
  }

  /** The server has closed its side, which also ends a body without a length. */
  #onEnd(): void {
    this.#keepsAlive = false;
    this.#parser.finish();
    this.destroy(new Error('the connection was closed before an answer'));
  }

  #onClosed(): void {
    if (this.#closed) return;
    this.#closed = true;
    const call = this.#call;
    this.#call = null;
    call?.reject(this.#error ?? new Error('the connection was closed before an answer'));
    this.#events.closed(this);
  }
}
