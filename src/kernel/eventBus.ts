/**
 * Publish/subscribe bus for service events. Each subscriber has its own mailbox, so that a slow or
 * throwing subscriber affects neither the publisher nor other subscribers.
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

interface SubscriberEntry {
  readonly subscriber: string;
  readonly mailbox: Mailbox<ServiceEvents[Topic]>;
}

/**
 * Event bus of one kernel. `onFault` is called for errors of subscribers and for dropped events.
 */
export class EventBus {
  readonly #system: ActorSystemRef = start();

  readonly #entries = new Map<Topic, Set<SubscriberEntry>>();

  readonly #onFault: (fault: SubscriberFault) => void;

  #subscriptionCount = 0;

  #closed = false;

  constructor(onFault: (fault: SubscriberFault) => void) {
    this.#onFault = onFault;
  }

  /**
   * Subscribes `handle` to the events of a topic that are published from now on. `subscriber` is
   * its name in fault reports.
   */
  subscribe<K extends Topic>(topic: K, subscriber: string, handle: Subscriber<K>): Subscription {
    if (this.#closed)
      throw new Error(`cannot subscribe to "${topic}": the event bus has been closed`);
    this.#subscriptionCount += 1;
    const mailbox = new Mailbox<ServiceEvents[Topic]>(
      this.#system,
      `${topic}-${this.#subscriptionCount}`,
      (event) => handle(event as ServiceEvents[K]),
      (error) => this.#onFault({ topic, subscriber, error }),
    );
    const entry: SubscriberEntry = { subscriber, mailbox };
    const entries = this.#entries.get(topic) ?? new Set();
    this.#entries.set(topic, entries.add(entry));
    return {
      close: () => {
        if (entries.delete(entry)) mailbox.close();
      },
    };
  }

  /** Queues an event for all subscribers of the topic. Does nothing after `close`. */
  publish<K extends Topic>(topic: K, event: ServiceEvents[K]): void {
    this.#entries.get(topic)?.forEach(({ subscriber, mailbox }) => {
      if (mailbox.offer(event)) return;
      const error = new Error(`mailbox full: ${MAILBOX_LIMIT} events queued, event dropped`);
      this.#onFault({ topic, subscriber, error });
    });
  }

  /** Ends all subscriptions and drops the queued events. */
  close(): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#entries.clear();
    stop(this.#system);
  }
}
