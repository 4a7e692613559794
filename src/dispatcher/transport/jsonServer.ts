/**
 * An HTTP/1.1 server for JSON calls between hosts over plain sockets. The server of `node:http`
 * executes several times as much code for a call, mostly for streams, timers and header objects.
 */
import { createServer, type Server, type Socket } from 'node:net';
import type { ServerCall } from './serverCall';
import { ServerConnection } from './serverConnection';

/** Listens for JSON calls. */
export class JsonServer {
  readonly #server: Server;

  readonly #sockets = new Set<Socket>();

  constructor(handle: (call: ServerCall) => void) {
    this.#server = createServer((socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
      new ServerConnection(socket, handle); // eslint-disable-line no-new -- lives with its socket
    });
  }

  /** Listens at `ip:port`. */
  listen(ip: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, ip, resolve);
    });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }
}
