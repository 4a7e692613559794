/** Detects when the caller of a request disconnects. */
import type { Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';

/** The caller of one request. */
export interface Caller {
  readonly hasDisconnected: boolean;
  /**
   * Calls `listener` once when the caller disconnects. Returns a function that removes the
   * listener.
   */
  onDisconnect(listener: () => void): () => void;
}

/**
 * A caller identified by its connection. The socket is observed rather than the response, because
 * with pipelining a request waits behind others on the same connection and has no response of its
 * own yet.
 */
export class ConnectedCaller implements Caller {
  readonly #socket: Socket;

  constructor(socket: Socket) {
    this.#socket = socket;
    // Each request on the connection adds listeners.
    socket.setMaxListeners(0);
  }

  get hasDisconnected(): boolean {
    return this.#socket.readableEnded || this.#socket.destroyed;
  }

  onDisconnect(listener: () => void): () => void {
    const socket = this.#socket;
    const onClosed = () => {
      socket.off('end', onClosed);
      socket.off('close', onClosed);
      listener();
    };
    socket.on('end', onClosed);
    socket.on('close', onClosed);
    return () => {
      socket.off('end', onClosed);
      socket.off('close', onClosed);
    };
  }
}

/**
 * Resolves when all data that has arrived on sockets by now has been read. Takes two iterations of
 * the event loop, because the current one may already be past its poll phase.
 */
export async function waitForPendingReads(): Promise<void> {
  await nextTurn();
  await nextTurn();
}
