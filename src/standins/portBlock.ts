/**
 * Ports for servers that must know their addresses before they listen and keep them over restarts.
 * They lie below the range from which systems take the ports of outgoing connections (32768 and up on
 * Linux), and each block is held by a listener on its first port, so that deployments of other
 * processes take other blocks.
 */
import { createServer, type Server } from 'node:net';
import { once } from 'node:events';

const FIRST_PORT = 10_240;
const BLOCK_PORTS = 128;
const BLOCKS = 160;
const ADDRESS = '127.0.0.1';

/** Null if the port is in use. */
async function listenOn(port: number): Promise<Server | null> {
  const server = createServer().listen(port, ADDRESS);
  try {
    await once(server, 'listening');
    return server;
  } catch {
    return null;
  }
}

async function closeServer(server: Server): Promise<void> {
  const closed = once(server, 'close');
  server.close();
  await closed;
}

/** A block of ports that belongs to this process until it is released. */
export class PortBlock {
  readonly ports: readonly number[];

  readonly #holder: Server;

  private constructor(ports: readonly number[], holder: Server) {
    this.ports = ports;
    this.#holder = holder;
  }

  /** Takes the first block whose ports are all free; throws if there is none. */
  static async reserve(count: number): Promise<PortBlock> {
    if (count >= BLOCK_PORTS) throw new RangeError(`a block has ${BLOCK_PORTS - 1} ports`);
    // Processes that start together begin at different blocks.
    return PortBlock.#reserveFrom(process.pid % BLOCKS, BLOCKS, count);
  }

  static async #reserveFrom(block: number, attempts: number, count: number): Promise<PortBlock> {
    if (attempts === 0) throw new Error('all port blocks are in use');
    const first = FIRST_PORT + block * BLOCK_PORTS;
    const holder = await listenOn(first);
    if (holder !== null) {
      const ports = Array.from({ length: count }, (_, index) => first + 1 + index);
      const probes = await Promise.all(ports.map(listenOn));
      await Promise.all(probes.map((probe) => probe && closeServer(probe)));
      if (probes.every((probe) => probe !== null)) return new PortBlock(ports, holder);
      await closeServer(holder);
    }
    return PortBlock.#reserveFrom((block + 1) % BLOCKS, attempts - 1, count);
  }

  /** Lets other processes take the block. */
  release(): Promise<void> {
    return closeServer(this.#holder);
  }
}
