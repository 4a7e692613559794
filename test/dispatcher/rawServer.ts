/** A TCP server on loopback whose answers the test writes byte by byte. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Handles one read of a connection. */
export type Behaviour = (socket: Socket, request: string) => void;

/** A server that passes each read of a connection to `behaviour`. */
export class RawServer {
  readonly requests: string[] = [];

  readonly sockets: Socket[] = [];

  readonly #server: Server;

  address = '';

  constructor(behaviour: Behaviour) {
    this.#server = createServer((socket) => {
      this.sockets.push(socket);
      socket.on('error', () => {});
      socket.on('data', (data) => {
        this.requests.push(data.toString('utf8'));
        behaviour(socket, data.toString('utf8'));
      });
    });
  }

  async open(): Promise<this> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
    return this;
  }

  close(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.#server.close();
  }
}
