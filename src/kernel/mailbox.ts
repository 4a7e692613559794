/**
 * Queue of one event subscriber, kept by a nact actor. The actor handles one event at a time, never
 * within `offer`, and outlives errors of the subscriber.
 */
import { dispatch, spawnStateless, stop } from 'nact';
import type { ActorSystemRef, Ref } from 'nact';

/** Events that may wait at one subscriber; `offer` turns down later ones. */
export const MAILBOX_LIMIT = 1000;

/** nact takes an undefined message for an empty mailbox, so events travel in an envelope. */
interface Envelope<E> {
  readonly event: E;
}

function asError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}

/** Mailbox of one subscriber. `name` is unique in the actor system. */
export class Mailbox<E> {
  readonly #actor: Ref<Envelope<E>>;

  #waiting = 0;

  constructor(
    system: ActorSystemRef,
    name: string,
    handle: (event: E) => void | Promise<void>,
    onError: (error: Error) => void,
  ) {
    this.#actor = spawnStateless(
      system,
      async ({ event }: Envelope<E>) => {
        this.#waiting -= 1;
        try {
          await handle(event);
        } catch (thrown) {
          onError(asError(thrown));
        }
      },
      name,
    );
  }

  /** Queues an event; false if the mailbox is full and the event was dropped. */
  offer(event: E): boolean {
    if (this.#waiting >= MAILBOX_LIMIT) return false;
    this.#waiting += 1;
    dispatch(this.#actor, { event });
    return true;
  }

  /** Drops the events that wait. */
  close(): void {
    stop(this.#actor);
  }
}
