/**
 * Event queue of one subscriber, implemented as a nact actor. The actor handles one event at a
 * time, never synchronously in `offer`, and keeps running after errors of the subscriber.
 */
import { dispatch, spawnStateless, stop } from 'nact';
import type { ActorSystemRef, Ref } from 'nact';

/** Maximum number of events queued for one subscriber; `offer` rejects further ones. */
export const MAILBOX_LIMIT = 1000;

/** Wraps an event, because nact treats an undefined message as an empty mailbox. */
interface Envelope<E> {
  readonly event: E;
}

function toError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}

/** Mailbox of one subscriber. `name` must be unique in the actor system. */
export class Mailbox<E> {
  readonly #actor: Ref<Envelope<E>>;

  #queuedCount = 0;

  constructor(
    system: ActorSystemRef,
    name: string,
    handle: (event: E) => void | Promise<void>,
    onError: (error: Error) => void,
  ) {
    this.#actor = spawnStateless(
      system,
      async ({ event }: Envelope<E>) => {
        this.#queuedCount -= 1;
        try {
          await handle(event);
        } catch (thrown) {
          onError(toError(thrown));
        }
      },
      name,
    );
  }

  /** Queues an event. Returns false if the mailbox is full; the event is then dropped. */
  offer(event: E): boolean {
    if (this.#queuedCount >= MAILBOX_LIMIT) return false;
    this.#queuedCount += 1;
    dispatch(this.#actor, { event });
    return true;
  }

  /** Stops the actor and drops the queued events. */
  close(): void {
    stop(this.#actor);
  }
}
