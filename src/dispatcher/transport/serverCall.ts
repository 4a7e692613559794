/** A request that a host has received from another one, and its reply. */

/** A request that waits for its reply. */
export interface ServerCall {
  readonly path: string;
  readonly text: string;
  /** True once the connection is closed, so that no reply can be sent. */
  readonly closed: boolean;
  /** Sets the listener for a connection that closes before the reply. */
  onClose(listener: () => void): void;
  /**
   * Sends the reply; only the first one counts. `onEnd` is called once it has been passed to the
   * network, or can't be sent.
   */
  reply(status: number, body: unknown, onEnd?: () => void): void;
  /** Closes the connection without a reply. */
  destroy(): void;
}

/** Time for which an idle connection is kept. */
export const KEEP_ALIVE_S = 120;
const HTTP_OK = 200;

function encodeReply(status: number, body: unknown, keepsAlive: boolean): string {
  const text = JSON.stringify(body) ?? 'null';
  const reason = status === HTTP_OK ? 'OK' : 'Error';
  const connection = keepsAlive
    ? `connection: keep-alive\r\nkeep-alive: timeout=${KEEP_ALIVE_S}`
    : 'connection: close';
  return (
    `HTTP/1.1 ${status} ${reason}\r\ncontent-type: application/json\r\n${connection}\r\n` +
    `content-length: ${Buffer.byteLength(text)}\r\n\r\n${text}`
  );
}

/** Callbacks from a call to its connection. */
export interface CallConnection {
  readonly closed: boolean;
  send(reply: string, keepsAlive: boolean, onEnd: () => void): void;
  destroy(): void;
}

/** A request on a connection. */
export class ConnectionCall implements ServerCall {
  readonly path: string;

  readonly text: string;

  readonly #keepsAlive: boolean;

  readonly #connection: CallConnection;

  #closeListener: (() => void) | null = null;

  #replied = false;

  constructor(path: string, text: string, keepsAlive: boolean, connection: CallConnection) {
    this.path = path;
    this.text = text;
    this.#keepsAlive = keepsAlive;
    this.#connection = connection;
  }

  get closed(): boolean {
    return this.#connection.closed;
  }

  onClose(listener: () => void): void {
    this.#closeListener = listener;
  }

  reply(status: number, body: unknown, onEnd: () => void = () => {}): void {
    if (this.#replied || this.closed) {
      onEnd();
      return;
    }
    this.#replied = true;
    this.#connection.send(encodeReply(status, body, this.#keepsAlive), this.#keepsAlive, onEnd);
  }

  destroy(): void {
    this.#connection.destroy();
  }

  /** The connection has closed. */
  connectionClosed(): void {
    if (!this.#replied) this.#closeListener?.();
  }
}
