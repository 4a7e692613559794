/**
 * Publishes service events. Each subscriber has its own mailbox, so a slow or throwing subscriber
 * affects neither the publisher nor other subscribers.
 */
import { start, stop } from 'nact';
import type { ActorSystemRef } from 'nact';
import { MAILBOX_LIMIT, Mailbox } from './mailbox';
import type {
  ServiceEvents,
  Subscriber,
  SubscriberFault,
  Subscription,
  Topic,
} from './serviceEvents';

interface Entry {
  readonly subscriber: string;
  readonly mailbox: Mailbox<ServiceEvents[Topic]>;
}

/** Bus of one kernel. `onFault` hears of errors of subscribers and of dropped events. */
export class EventBus {
  readonly #system: ActorSystemRef = start();

  readonly #entries = new Map<Topic, Set<Entry>>();

  readonly #onFault: (fault: SubscriberFault) => void;

  #spawned = 0;

  #closed = false;

  constructor(onFault: (fault: SubscriberFault) => void) {
    this.#onFault = onFault;
  }

  /** Calls `handle` for each later event of the topic; `subscriber` is its name in fault reports. */
  subscribe<K extends Topic>(topic: K, subscriber: string, handle: Subscriber<K>): Subscription {
    if (this.#closed) throw new Error(`subscribe to ${topic} after the event bus has closed`);
    this.#spawned += 1;
    const mailbox = new Mailbox<ServiceEvents[Topic]>(
      this.#system,
      `${topic}-${this.#spawned}`,
      (event) => handle(event as ServiceEvents[K]),
      (error) => this.#onFault({ topic, subscriber, error }),
    );
    const entry: Entry = { subscriber, mailbox };
    const entries = this.#entries.get(topic) ?? new Set();
    this.#entries.set(topic, entries.add(entry));
    return {
      close: () => {
        if (entries.delete(entry)) mailbox.close();
      },
    };
  }

  /** Queues an event for all subscribers of the topic; it does nothing once the bus has closed. */
  publish<K extends Topic>(topic: K, event: ServiceEvents[K]): void {
    this.#entries.get(topic)?.forEach(({ subscriber, mailbox }) => {
      if (mailbox.offer(event)) return;
      const error = new Error(`${MAILBOX_LIMIT} events wait already, this one was dropped`);
      this.#onFault({ topic, subscriber, error });
    });
  }

  /** Ends all subscriptions; events that still wait are dropped. */
  close(): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#entries.clear();
    stop(this.#system);
  }
}
