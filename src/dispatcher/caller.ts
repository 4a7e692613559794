/** Whether the caller of a request still waits for its answer. */
import type { Socket } from 'node:net';
import { setImmediate as turnEnd } from 'node:timers/promises';

/** One caller of one request. */
export interface Caller {
  readonly hasDisconnected: boolean;
  /** Calls `listener` once when the caller leaves; returns how to take that back. */
  onDisconnect(listener: () => void): () => void;
}

/**
 * A caller at the other end of a connection. It has left when the connection has ended, also while its
 * request waits behind others on the same connection and has no response of its own yet.
 */
export class ConnectedCaller implements Caller {
  readonly #socket: Socket;

  constructor(socket: Socket) {
    this.#socket = socket;
    // Each request of a connection adds its own.
    socket.setMaxListeners(0);
  }

  get hasDisconnected(): boolean {
    return this.#socket.readableEnded || this.#socket.destroyed;
  }

  onDisconnect(listener: () => void): () => void {
    const socket = this.#socket;
    const leave = () => {
      socket.off('end', leave);
      socket.off('close', leave);
      listener();
    };
    socket.on('end', leave);
    socket.on('close', leave);
    return () => {
      socket.off('end', leave);
      socket.off('close', leave);
    };
  }
}

/**
 * Returns when everything has been read that has arrived on connections by now: the turn of the event
 * loop that is under way may be past its reads, the next one is not.
 */
export async function pendingReads(): Promise<void> {
  await turnEnd();
  await turnEnd();
}
