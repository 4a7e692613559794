/**
 * A TCP proxy on loopback that harms the connections through it: delays them, resets them, holds back
 * one direction or both and delivers it later, or silences those that exist while new ones work.
 * Connections can be told apart by the address that they come from.
 */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Directions as seen from the client. */
export const Direction = { forward: 'forward', backward: 'backward' } as const;
export type Direction = (typeof Direction)[keyof typeof Direction];

interface Pipe {
  readonly from: Socket;
  readonly to: Socket;
  readonly direction: Direction;
  /** Address of the client. */
  readonly source: string;
  /** Delivers nothing any more, without an end of the connection. */
  silenced: boolean;
  lastDeliveryAtMs: number;
  endNotBeforeMs: number;
}

/**
 * The end of a connection that was held back comes so long after the bytes before it, as on a network
 * that sends packets again after a cut: the receiver acts on the bytes before it learns of the end.
 */
const END_LAG_MS = 50;

/** Proxy in front of one address. */
export class FaultProxy {
  readonly #server: Server;

  readonly #pipes = new Set<Pipe>();

  readonly #cut = new Set<Direction>();

  /** Sources that are cut off, with the number of cuts that hold. */
  readonly #blocked = new Map<string, number>();

  #delayMs = 0;

  constructor(target: string) {
    const [host = '', port = ''] = target.split(':');
    this.#server = createServer((client) => {
      this.#join(client, connect(Number(port), host));
    });
  }

  /** Listens at a free port, or at the given one; returns the address. */
  async open(port = 0): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server.close();
    this.reset();
  }

  /** Refuses new connections until it is opened again. */
  refuse(): void {
    this.#server.close();
  }

  setDelay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /** Holds back what goes in these directions; `heal` delivers it, also what its sender has given up. */
  cut(directions: readonly Direction[]): void {
    directions.forEach((direction) => this.#cut.add(direction));
    this.#steer();
  }

  /** Ends cuts and delays. */
  heal(): void {
    const endNotBeforeMs = performance.now() + END_LAG_MS;
    this.#pipes.forEach((pipe) => {
      const healed = pipe;
      if (this.#cut.has(pipe.direction)) healed.endNotBeforeMs = endNotBeforeMs;
    });
    this.#cut.clear();
    this.#delayMs = 0;
    this.#steer();
  }

  /** Holds back all connections from these sources; `heal` does not end it. */
  block(sources: readonly string[]): void {
    sources.forEach((source) => this.#blocked.set(source, (this.#blocked.get(source) ?? 0) + 1));
    this.#steer();
  }

  unblock(sources: readonly string[]): void {
    sources.forEach((source) => this.#blocked.set(source, (this.#blocked.get(source) ?? 1) - 1));
    this.#steer();
  }

  /**
   * Silences the connections that exist now, for good; all, or those from some sources. Not even their end
   * is seen on the other side.
   */
  silence(sources: readonly string[] | null = null): void {
    this.#pipes.forEach((pipe) => {
      const silent = pipe;
      if (sources?.includes(pipe.source) ?? true) silent.silenced = true;
    });
    this.#steer();
  }

  /** Resets the connections that exist now; all, or those from some sources. */
  reset(sources: readonly string[] | null = null): void {
    this.#pipes.forEach(({ from, source }) => {
      if (!(sources?.includes(source) ?? true)) return;
      // A reset after the end of the stream would leave the handle open.
      if (from.writableEnded) from.destroy();
      else from.resetAndDestroy();
    });
  }

  #join(client: Socket, server: Socket): void {
    const pipes = [
      this.#pipe(client, server, Direction.forward),
      this.#pipe(server, client, Direction.backward),
    ];
    pipes.forEach((pipe) => {
      const { from, to } = pipe;
      // Without a listener an error would end the process; 'close' follows.
      from.on('error', () => {});
      from.on('close', () => {
        this.#pipes.delete(pipe);
        // A close must not overtake the bytes before it, and a silent connection does not tell of it.
        this.#deliver(pipe, () => {
          pipes.forEach((closed) => this.#pipes.delete(closed));
          to.destroy();
        });
      });
    });
    this.#steer();
  }

  #pipe(from: Socket, to: Socket, direction: Direction): Pipe {
    const source = (direction === Direction.forward ? from : to).remoteAddress ?? '';
    const pipe: Pipe = {
      from,
      to,
      direction,
      source,
      silenced: false,
      lastDeliveryAtMs: 0,
      endNotBeforeMs: 0,
    };
    this.#pipes.add(pipe);
    from.on('data', (chunk) => this.#deliver(pipe, () => to.writable && to.write(chunk)));
    from.on('end', () => {
      pipe.lastDeliveryAtMs = Math.max(pipe.lastDeliveryAtMs, pipe.endNotBeforeMs);
      this.#deliver(pipe, () => to.end());
    });
    return pipe;
  }

  /** Delivers in order, after the delay, unless the connection has gone silent by then. */
  #deliver(pipe: Pipe, write: () => void): void {
    const deliver = () => {
      if (!pipe.silenced) write();
    };
    const nowMs = performance.now();
    const delayed = pipe;
    delayed.lastDeliveryAtMs = Math.max(pipe.lastDeliveryAtMs, nowMs + this.#delayMs);
    const waitMs = pipe.lastDeliveryAtMs - nowMs;
    if (waitMs <= 0) deliver();
    else setTimeout(deliver, waitMs);
  }

  #steer(): void {
    this.#pipes.forEach(({ from, direction, source, silenced }) => {
      const isBlocked = (this.#blocked.get(source) ?? 0) > 0;
      if (silenced || isBlocked || this.#cut.has(direction)) from.pause();
      else from.resume();
    });
  }
}
