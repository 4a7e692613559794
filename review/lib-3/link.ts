/**
 * A proxy in front of one listener. A cut drops the bytes of some callers in both directions without
 * a reset, as a partition does; what is sent meanwhile is lost, and new channels get no answer.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';

/** Names the caller of a connection by its first bytes; null if they don't tell. */
export type CallerOf = (firstBytes: string) => string | null;

interface Connection {
  readonly near: Socket;
  readonly far: Socket;
  caller: string | null;
}

const LOOPBACK = '127.0.0.1';
const HOST_ID = /"hostId":"([^"]+)"/;

/** Hosts name themselves in their status calls and batches. */
export const hostInBody: CallerOf = (firstBytes) => HOST_ID.exec(firstBytes)?.[1] ?? null;

/** A proxy on loopback. */
export class Link {
  readonly #targetPort: number;

  readonly #callerOf: CallerOf;

  readonly #server: Server;

  readonly #connections = new Set<Connection>();

  readonly #cutCallers = new Set<string>();

  #isCutForAll = false;

  constructor(targetPort: number, callerOf: CallerOf = () => null) {
    this.#targetPort = targetPort;
    this.#callerOf = callerOf;
    this.#server = createServer((near) => this.#accept(near));
  }

  /** Listens at `port`. */
  async open(port: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(port, LOOPBACK, resolve);
    });
  }

  close(): void {
    this.#server.close();
    this.#connections.forEach(({ near, far }) => {
      near.destroy();
      far.destroy();
    });
  }

  /** Drops all that passes from now on. */
  cutAll(): void {
    this.#isCutForAll = true;
  }

  /** Drops what passes between the listener and one caller. */
  cut(caller: string): void {
    this.#cutCallers.add(caller);
  }

  /** Ends all cuts; channels on which bytes were lost are closed. */
  heal(): void {
    this.#isCutForAll = false;
    const cut = new Set(this.#cutCallers);
    this.#cutCallers.clear();
    this.#connections.forEach(({ near, far, caller }) => {
      if (caller !== null && !cut.has(caller)) return;
      near.destroy();
      far.destroy();
    });
  }

  #isCut({ caller }: Connection): boolean {
    return this.#isCutForAll || (caller !== null && this.#cutCallers.has(caller));
  }

  #accept(near: Socket): void {
    const far = connect(this.#targetPort, LOOPBACK);
    const connection: Connection = { near, far, caller: null };
    this.#connections.add(connection);
    near.setNoDelay(true);
    far.setNoDelay(true);
    near.on('data', (chunk: Buffer) => {
      connection.caller ??= this.#callerOf(chunk.toString('latin1'));
      if (!this.#isCut(connection)) far.write(chunk);
    });
    far.on('data', (chunk: Buffer) => {
      if (!this.#isCut(connection)) near.write(chunk);
    });
    const end = () => {
      if (this.#isCut(connection)) return;
      this.#connections.delete(connection);
      near.destroy();
      far.destroy();
    };
    [near, far].forEach((socket) => {
      socket.on('error', () => {});
      socket.on('close', end);
    });
  }
}
