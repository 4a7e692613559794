/** A TCP relay on loopback that counts the bytes of both directions; headers of TCP and IP are not in. */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Relays to one address until it is closed. */
export class CountingProxy {
  /** Bytes of both directions since the start. */
  bytes = 0;

  readonly #server: Server;

  readonly #sockets = new Set<Socket>();

  constructor(host: string, port: number) {
    this.#server = createServer((socket) => this.#relay(socket, connect(port, host)));
  }

  /** Address to use in place of the target's. */
  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** A running relay to `address`, an `ip:port`. */
  static async open(address: string): Promise<CountingProxy> {
    const [host = '', port = ''] = address.split(':');
    const proxy = new CountingProxy(host, Number(port));
    proxy.#server.listen(0, '127.0.0.1');
    await once(proxy.#server, 'listening');
    return proxy;
  }

  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #relay(client: Socket, target: Socket): void {
    [client, target].forEach((socket) => {
      this.#sockets.add(socket.setNoDelay());
      socket.on('data', (chunk) => {
        this.bytes += chunk.length;
      });
      socket.on('error', () => undefined);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    client.pipe(target);
    target.pipe(client);
  }
}
