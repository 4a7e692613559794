/** The zone of a small deployment: three hosts, and workers like those of `chadar-hq.toml`. */
import type { SiteShape } from './site';
import type { WorkerTraits } from './reviewWorker';

export const ZONE = 'sofia-a';
export const BACKEND = 'kiosk-dispatch';

/** A queue of the configuration, by its host name and path. */
export const ROUTE = { host: 'kiosk.example', prefix: '/jobs/' } as const;

const HOSTS = 3;

/** Operator's configuration with one queue. */
export function configurationOf(version: number): object {
  return {
    version,
    routes: [
      {
        name: 'slot-unlock',
        host: ROUTE.host,
        prefix: ROUTE.prefix,
        kind: 'non_idempotent',
        timeoutMs: 1500,
        goalMs: 60,
        priority: 0,
        backend: BACKEND,
        maxAttempts: 4,
        slackFactor: 1.6,
      },
    ],
    backends: [{ name: BACKEND, preconditions: true }],
    limits: { maxBodyBytes: 262_144 },
  };
}

/** Traits of a worker of one kind. */
export function traitsOf(kind: string): WorkerTraits {
  const capacity = { cpu: 64_000, memMb: 262_144, gpu: 0 };
  return { backend: BACKEND, zone: ZONE, capacity, labels: [kind, 'r1-1'] };
}

/** The deployment, with one worker for each kind named. */
export function smallSite(kinds: readonly string[]): SiteShape {
  const workers = Object.fromEntries(kinds.map((kind, index) => [`w-${index}`, traitsOf(kind)]));
  return { zones: [ZONE], hostsPerZone: HOSTS, workers, configuration: configurationOf(3) };
}
