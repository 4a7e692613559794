/**
 * One connection to `ip:port` that carries one call at a time, over a plain socket. General HTTP clients
 * run about three times as much code for a call, most of it streams and signals, and a process makes too
 * few calls in its life for that code to be compiled. The messages themselves are read by a library.
 */
import { connect, type Socket } from 'node:net';
import { HTTPParser } from 'http-parser-js';
import { splitAddress } from '../settings/address';

/** A call; without a body it has no content. */
export interface HttpRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** JSON text. */
  readonly body?: string;
}

/** An answer. */
export interface HttpReply {
  readonly status: number;
  readonly text: string;
}

/** What a connection tells its pool. */
export interface ConnectionEvents {
  /** The call has ended and the connection can carry another one. */
  idle(connection: HttpConnection): void;
  closed(connection: HttpConnection): void;
}

interface CallInProgress {
  readonly resolve: (reply: HttpReply) => void;
  readonly reject: (error: Error) => void;
}

/** All sockets read into it: what arrives is used up before the next read. */
const READ_BUFFER = Buffer.allocUnsafe(64 * 1024);
/** An idle connection is not used again so long before its server may close it. */
const CLOSE_MARGIN_MS = 1000;
const MS_PER_S = 1000;

function encode(address: string, { method, path, headers = {}, body }: HttpRequest): string {
  let head = `${method} ${path} HTTP/1.1\r\nhost: ${address}\r\nconnection: keep-alive\r\n`;
  Object.entries(headers).forEach(([name, value]) => {
    head += `${name}: ${value}\r\n`;
  });
  if (body === undefined) return `${head}\r\n`;
  const length = Buffer.byteLength(body);
  return `${head}content-type: application/json\r\ncontent-length: ${length}\r\n\r\n${body}`;
}

/** Time for which the server keeps an idle connection; null if it does not say. */
function idleLimitMs(headers: readonly string[]): number | null {
  const at = headers.findIndex((text, index) => index % 2 === 0 && /^keep-alive$/i.test(text));
  const seconds = at < 0 ? null : /timeout=(\d+)/i.exec(headers[at + 1] ?? '')?.[1];
  return seconds ? Number(seconds) * MS_PER_S : null;
}

/** A connection of a pool. */
export class HttpConnection {
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

  #text = '';

  /** Pieces of a body that arrives in several reads. */
  #pieces: Buffer[] = [];

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
    this.#socket.on('end', () => this.#ended());
    this.#socket.once('close', () => {
      clearTimeout(timer);
      this.#close();
    });
    this.#observe();
  }

  /** Makes a call; there is none in progress. */
  send(request: HttpRequest, call: CallInProgress): void {
    this.#call = call;
    this.#socket.write(encode(this.#address, request));
  }

  /** True if an idle connection may carry another call, `keptMs` being the longest idle time. */
  isUsable(nowMs: number, keptMs: number): boolean {
    if (this.#closed || this.#socket.destroyed) return false;
    const serverMs = (this.#idleLimitMs ?? Infinity) - CLOSE_MARGIN_MS;
    return nowMs - this.#idleSinceMs < Math.min(keptMs, serverMs);
  }

  /** Breaks the connection; a call in progress fails with the error. */
  destroy(error: Error): void {
    this.#error ??= error;
    this.#socket.destroy();
    this.#close();
  }

  #observe(): void {
    const parser = this.#parser;
    parser.onHeadersComplete = ({ statusCode, headers, shouldKeepAlive }) => {
      this.#status = statusCode;
      this.#keepsAlive = shouldKeepAlive;
      this.#idleLimitMs = idleLimitMs(headers);
    };
    parser.onBody = (chunk, offset, length) => {
      this.#pieces.push(Buffer.from(chunk.subarray(offset, offset + length)));
    };
    parser.onMessageComplete = () => this.#complete();
  }

  #read(bytes: number, buffer: Uint8Array): boolean {
    const result = this.#parser.execute(buffer as Buffer, 0, bytes);
    if (result instanceof Error) this.destroy(result);
    return true;
  }

  #complete(): void {
    // An interim answer precedes the final one.
    if (this.#status < 200) return;
    const [only] = this.#pieces;
    const body = this.#pieces.length === 1 && only ? only : Buffer.concat(this.#pieces);
    this.#text = body.toString('utf8');
    this.#pieces = [];
    const call = this.#call;
    this.#call = null;
    if (!call || !this.#keepsAlive) this.#socket.destroy();
    this.#idleSinceMs = performance.now();
    call?.resolve({ status: this.#status, text: this.#text });
    if (call && this.#keepsAlive) this.#events.idle(this);
  }

  /** The server has closed its side; that ends a body of unknown length. */
  #ended(): void {
    this.#keepsAlive = false;
    this.#parser.finish();
    this.destroy(new Error('the connection was closed before an answer'));
  }

  #close(): void {
    if (this.#closed) return;
    this.#closed = true;
    const call = this.#call;
    this.#call = null;
    call?.reject(this.#error ?? new Error('the connection was closed before an answer'));
    this.#events.closed(this);
  }
}
