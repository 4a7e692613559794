/** Micro-kernel: service registry, service lifecycle and events between services. */
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
