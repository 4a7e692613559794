/** A service of the micro-kernel: it has a name, others find it by that name, and it closes. */

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

/** What the kernel calls on a service. `open` runs in the order of registration, `close` in reverse. */
export interface Service {
  readonly name: ServiceName;
  open(): Promise<void>;
  close(): Promise<void>;
}
