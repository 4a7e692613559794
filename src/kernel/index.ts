/** Micro-kernel: services by name, their lifecycle, and the events between them. */
export { Kernel } from './kernel';
export { ServiceName } from './service';
export type { Service } from './service';
export type {
  ServiceEvents,
  Subscriber,
  SubscriberFault,
  Subscription,
  Topic,
} from './serviceEvents';
export { ServiceError } from './serviceError';
export { ServiceNotFoundError } from './serviceNotFoundError';
