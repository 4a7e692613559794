/**
 * Micro-kernel of an entry host: services are registered and looked up by name. They are opened in
 * the order of registration and closed in reverse order. When one fails to open, those already open
 * are closed, and all errors are reported together.
 */
import { EventBus } from './eventBus';
import type { Service, ServiceName } from './service';
import { ServiceError } from './serviceError';
import type {
  ServiceEvents,
  Subscriber,
  SubscriberFault,
  Subscription,
  Topic,
} from './serviceEvents';
import { ServiceNotFoundError } from './serviceNotFoundError';

interface Registration {
  readonly service: Service;
  readonly value: unknown;
}

function throwCombined(errors: readonly Error[], message: string): void {
  const [first] = errors;
  if (first === undefined) return;
  if (errors.length === 1) throw first;
  const details = errors.map((error) => error.message).join('; ');
  throw new AggregateError(errors, `${message}: ${details}`);
}

/** Service registry of one process. `onFault` is called for faults of event subscribers. */
export class Kernel {
  readonly #registrations = new Map<ServiceName, Registration>();

  readonly #opened: Service[] = [];

  readonly #events: EventBus;

  #opening: Promise<void> | null = null;

  #closing: Promise<void> | null = null;

  constructor(onFault: (fault: SubscriberFault) => void = () => {}) {
    this.#events = new EventBus(onFault);
  }

  /**
   * Registers a service under its name. Must be called before `open`. `value` is the object that
   * `find` returns, if the service only manages the lifecycle of another object; by default it is
   * the service itself.
   */
  register(service: Service, value: unknown = service): void {
    if (this.#opening !== null || this.#closing !== null) {
      throw new Error(`service "${service.name}" must be registered before the kernel opens`);
    }
    if (this.#registrations.has(service.name)) {
      throw new Error(`a service is already registered as "${service.name}"`);
    }
    this.#registrations.set(service.name, { service, value });
  }

  /**
   * Returns the value registered under a name. Throws a `ServiceNotFoundError` if there is none.
   */
  find<T>(name: ServiceName): T {
    const registration = this.#registrations.get(name);
    if (registration === undefined) {
      throw new ServiceNotFoundError(name, [...this.#registrations.keys()]);
    }
    return registration.value as T;
  }

  /**
   * Opens all services sequentially. Rejects with a `ServiceError`, or with an `AggregateError` if
   * there are several errors.
   */
  open(): Promise<void> {
    if (this.#closing !== null) return Promise.reject(new Error('the kernel has been closed'));
    this.#opening ??= this.#openAll();
    return this.#opening;
  }

  /**
   * Closes each open service once, in reverse order, even if others fail to close. Waits for a
   * service that is being opened; later ones are not opened. Rejects with all errors together.
   */
  close(): Promise<void> {
    this.#closing ??= this.#closeAll();
    return this.#closing;
  }

  /** Queues an event for all subscribers of the topic. */
  publish<K extends Topic>(topic: K, event: ServiceEvents[K]): void {
    this.#events.publish(topic, event);
  }

  /** Subscribes to a topic; `name` identifies the subscriber in fault reports. */
  subscribe<K extends Topic>(topic: K, name: string, subscriber: Subscriber<K>): Subscription {
    return this.#events.subscribe(topic, name, subscriber);
  }

  async #openAll(): Promise<void> {
    const services = [...this.#registrations.values()].map(({ service }) => service);
    try {
      await services.reduce(
        (previous, service) => previous.then(() => this.#openOne(service)),
        Promise.resolve(),
      );
    } catch (thrown) {
      const errors = [thrown as Error, ...(await this.#closeOpened())];
      this.#events.close();
      throwCombined(errors, 'the kernel failed to open');
    }
  }

  async #openOne(service: Service): Promise<void> {
    if (this.#closing !== null) throw new ServiceError(service.name, 'open', 'kernel is closing');
    try {
      await service.open();
    } catch (thrown) {
      throw new ServiceError(service.name, 'open', thrown);
    }
    this.#opened.push(service);
  }

  async #closeAll(): Promise<void> {
    // `open` reports its own failure and has closed the open services in that case.
    await this.#opening?.catch(() => {});
    const errors = await this.#closeOpened();
    this.#events.close();
    throwCombined(errors, 'the kernel failed to close');
  }

  async #closeOpened(): Promise<readonly Error[]> {
    const errors: Error[] = [];
    const services = this.#opened.splice(0).reverse();
    await services.reduce(async (previous, service) => {
      await previous;
      try {
        await service.close();
      } catch (thrown) {
        errors.push(new ServiceError(service.name, 'close', thrown));
      }
    }, Promise.resolve());
    return errors;
  }
}
