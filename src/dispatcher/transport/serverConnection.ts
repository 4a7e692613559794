/** Server side of an HTTP/1.1 connection. Its requests are answered in their order. */
import type { Socket } from 'node:net';
import { HTTPParser } from 'http-parser-js';
import { ConnectionCall, KEEP_ALIVE_S, type CallConnection, type ServerCall } from './serverCall';
import { wholeMessage } from './wholeMessage';

const MS_PER_S = 1000;
const BAD_REQUEST = 'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n';
const REQUEST_LINE = /^[A-Z]+ (\S+) HTTP\/1\.1$/;

/** A connection of a `JsonServer`; it ends with its socket. */
export class ServerConnection implements CallConnection {
  readonly #socket: Socket;

  readonly #handle: (call: ServerCall) => void;

  readonly #parser = new HTTPParser('REQUEST');

  /** Requests without a reply; only the first one has been passed to the handler. */
  readonly #calls: ConnectionCall[] = [];

  /** True while the parser has read a part of a request. */
  #isParsing = false;

  #path = '';

  #keepsAlive = true;

  #chunks: Buffer[] = [];

  constructor(socket: Socket, handle: (call: ServerCall) => void) {
    this.#socket = socket;
    this.#handle = handle;
    socket.setNoDelay(true);
    socket.setTimeout(KEEP_ALIVE_S * MS_PER_S, () => {
      if (this.#calls.length === 0) socket.destroy();
    });
    socket.on('data', (data) => this.#read(data));
    // 'close' follows, and a call without a reply ends there.
    socket.on('error', () => {});
    socket.once('close', () => this.#calls.splice(0).forEach((call) => call.connectionClosed()));
    this.#attachParser();
  }

  get closed(): boolean {
    return this.#socket.destroyed;
  }

  send(reply: string, keepsAlive: boolean, onEnd: () => void): void {
    this.#calls.shift();
    if (!keepsAlive) {
      this.#socket.end(reply, onEnd);
      return;
    }
    // Called with an error if the connection closes first.
    this.#socket.write(reply, () => onEnd());
    const [next] = this.#calls;
    if (next) this.#handle(next);
  }

  destroy(): void {
    this.#socket.destroy();
  }

  #attachParser(): void {
    const parser = this.#parser;
    parser.onHeadersComplete = ({ url, shouldKeepAlive }) => {
      this.#path = url;
      this.#keepsAlive = shouldKeepAlive;
    };
    parser.onBody = (chunk, offset, length) => {
      this.#chunks.push(Buffer.from(chunk.subarray(offset, offset + length)));
    };
    parser.onMessageComplete = () => {
      this.#isParsing = false;
      const text = Buffer.concat(this.#chunks).toString('utf8');
      this.#chunks = [];
      this.#receive(this.#path, text, this.#keepsAlive);
    };
  }

  #read(data: Buffer): void {
    const whole = this.#isParsing ? null : wholeMessage(data, data.length);
    const path = whole && REQUEST_LINE.exec(whole.startLine)?.[1];
    if (path) {
      this.#receive(path, whole.body, true);
      return;
    }
    this.#isParsing = true;
    const result = this.#parser.execute(data, 0, data.length);
    if (result instanceof Error) this.#socket.end(BAD_REQUEST);
  }

  #receive(path: string, text: string, keepsAlive: boolean): void {
    const call = new ConnectionCall(path, text, keepsAlive, this);
    this.#calls.push(call);
    if (this.#calls.length === 1) this.#handle(call);
  }
}
