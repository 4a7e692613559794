/** Interface and names of the services that the micro-kernel manages. */

/** Names of the services of an entry host. */
export const ServiceName = {
  settings: 'settings',
  log: 'log',
  metrics: 'metrics',
  store: 'store',
  workers: 'workers',
  hostList: 'host-list',
  peers: 'peers',
  membership: 'membership',
  configuration: 'configuration',
  core: 'core',
  callerApi: 'caller-api',
  operatorApi: 'operator-api',
} as const;
export type ServiceName = (typeof ServiceName)[keyof typeof ServiceName];

/**
 * Lifecycle interface of a service. The kernel calls `open` in the order of registration and
 * `close` in reverse order.
 */
export interface Service {
  readonly name: ServiceName;
  open(): Promise<void>;
  close(): Promise<void>;
}
