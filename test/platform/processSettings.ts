/** Settings files of dispatcher processes on loopback. */

/** Settings that differ between tests; all others are fixed. */
export interface ProcessSettings {
  /** Ports for callers, readiness, peers and metrics, in this order. */
  readonly ports: readonly number[];
  readonly storeAddress: string;
  readonly hostId?: string;
  readonly domain?: string;
  readonly domains?: readonly string[];
  readonly drainSeconds?: number;
  readonly linesPerSecond?: number;
  /** Port that is announced to other hosts, if it differs from the one that is listened on. */
  readonly announcedPort?: number;
}

/** Returns the text of a settings file. */
export function settingsText(settings: ProcessSettings): string {
  const { hostId = 'front-1', domain = 'sofia-a', domains = [domain] } = settings;
  const { ports, storeAddress, announcedPort, drainSeconds = 4, linesPerSecond = 400 } = settings;
  const [callers, readiness, peers, metrics] = ports.map((port) => `127.0.0.1:${port}`);
  return [
    '[host]',
    `id = ${hostId}`,
    `domain = ${domain}`,
    `domains = ${domains.join(', ')}`,
    `drain-seconds = ${drainSeconds}`,
    '[listen]',
    `callers = ${callers}`,
    `readiness = ${readiness}`,
    `peers = ${peers}`,
    `peers-announced = 127.0.0.1:${announcedPort ?? ports[2]}`,
    `metrics = ${metrics}`,
    '[store]',
    `address = ${storeAddress}`,
    '[workers]',
    'lease-ms = 1000',
    '[log]',
    `lines-per-second = ${linesPerSecond}`,
  ].join('\n');
}
