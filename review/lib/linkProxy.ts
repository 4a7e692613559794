/**
 * A proxy in front of the address at which hosts reach one host. It knows which process a connection
 * comes from, so that single hosts can be cut off: what they send and get is dropped, and no end of a
 * connection is seen on the other side until the cut ends.
 */
import { readdir, readFile, readlink } from 'node:fs/promises';
import { connect, createServer, type Server, type Socket } from 'node:net';

const LOOPBACK = '127.0.0.1';
const HEX = 16;
const PORT_DIGITS = 4;
/** Columns of a line of /proc/net/tcp. */
const Column = { localAddress: 1, inode: 9 } as const;

/** Inode of the socket with a local port on loopback; null if there is none. */
async function inodeOf(port: number): Promise<string | null> {
  const suffix = `:${port.toString(HEX).toUpperCase().padStart(PORT_DIGITS, '0')}`;
  const lines = (await readFile('/proc/net/tcp', 'utf8')).split('\n');
  const columns = lines.map((line) => line.trim().split(/\s+/));
  const found = columns.find((column) => column[Column.localAddress]?.endsWith(suffix));
  return found?.[Column.inode] ?? null;
}

async function hasSocket(pid: number, inode: string): Promise<boolean> {
  const folder = `/proc/${pid}/fd`;
  const names = await readdir(folder).catch(() => []);
  const links = await Promise.all(
    names.map((name) => readlink(`${folder}/${name}`).catch(() => '')),
  );
  return links.includes(`socket:[${inode}]`);
}

interface Link {
  readonly source: string;
  readonly client: Socket;
  readonly server: Socket;
  isCut: boolean;
}

/** Proxy in front of one host. */
export class LinkProxy {
  readonly #target: string;

  readonly #port: number;

  readonly #pids: () => ReadonlyMap<string, number>;

  readonly #server: Server;

  readonly #links = new Set<Link>();

  #cutNode: string | null = null;

  /** `target` is the node behind it, at `port`; `pids` are the processes of all nodes. */
  constructor(target: string, port: number, pids: () => ReadonlyMap<string, number>) {
    this.#target = target;
    this.#port = port;
    this.#pids = pids;
    this.#server = createServer((client) => {
      // Without a listener an error would end the process.
      client.on('error', () => {});
      client.pause();
      this.#join(client).catch(() => client.destroy());
    });
  }

  async open(port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, LOOPBACK, resolve);
    });
  }

  close(): void {
    this.#server.close();
    this.#links.forEach(({ client, server }) => {
      client.destroy();
      server.destroy();
    });
  }

  /** Drops all between a node and the others from now on. */
  cut(node: string): void {
    this.#cutNode = node;
    this.#links.forEach((link) => this.#applyCut(link));
  }

  /** Ends the cut; connections that it has met are reset. */
  heal(): void {
    this.#cutNode = null;
    this.#links.forEach((link) => {
      if (link.isCut) link.client.resetAndDestroy();
    });
  }

  #applyCut(link: Link): void {
    const cut = link;
    const isMet = this.#target === this.#cutNode || link.source === this.#cutNode;
    cut.isCut ||= this.#cutNode !== null && isMet;
  }

  async #sourceOf(client: Socket): Promise<string | null> {
    const inode = await inodeOf(client.remotePort ?? 0);
    if (inode === null) return null;
    const nodes = [...this.#pids()];
    const owns = await Promise.all(nodes.map(([, pid]) => hasSocket(pid, inode)));
    return nodes.find((_, index) => owns[index])?.[0] ?? null;
  }

  async #join(client: Socket): Promise<void> {
    const source = await this.#sourceOf(client);
    // The process has closed the connection in the meantime; what it sent must not pass a cut.
    if (source === null || client.destroyed) {
      client.destroy();
      return;
    }
    const server = connect(this.#port, LOOPBACK);
    const link: Link = { source, client, server, isCut: false };
    this.#links.add(link);
    this.#applyCut(link);
    this.#forward(link, client, server);
    this.#forward(link, server, client);
    client.resume();
  }

  #forward(link: Link, from: Socket, to: Socket): void {
    from.on('error', () => {});
    from.on('data', (chunk) => {
      if (!link.isCut) to.write(chunk);
    });
    from.on('end', () => {
      if (!link.isCut) to.end();
    });
    from.on('close', () => {
      if (!link.isCut) to.destroy();
      if (link.client.destroyed && link.server.destroyed) this.#links.delete(link);
    });
  }
}
