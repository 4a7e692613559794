/** Looks up the queue for a request in the configuration in force, by host name and path. */
import type { QueuePolicy } from '../../cells/job';

/** A queue, with the host name and path prefix of its requests. */
export interface QueueBinding {
  readonly hostName: string;
  readonly pathPrefix: string;
  readonly policy: QueuePolicy;
  /** Why this version of the program can't run the queue's jobs; null if it can. */
  readonly unsupported: string | null;
}

/** A configuration published by the operators. */
export interface QueueConfiguration {
  readonly version: number;
  readonly bindings: readonly QueueBinding[];
  /** Services whose workers may run tasks. */
  readonly services: readonly string[];
  /**
   * Those of the services whose workers start whatever they are told to, also beyond their capacity;
   * absent from hosts of earlier versions.
   */
  readonly unguardedServices?: readonly string[];
  readonly bodyLimitBytes: number;
}

/** Result of a lookup. */
export interface QueueMatch {
  readonly binding: QueueBinding;
  /** The part of the path after the prefix. */
  readonly rest: string;
}

function byLongestPrefix(left: QueueBinding, right: QueueBinding): number {
  return right.pathPrefix.length - left.pathPrefix.length;
}

/** Holds the newest configuration that this host has, and knows whether others have a newer one. */
export class QueueTable {
  #configuration: QueueConfiguration | null = null;

  /** Newest version that any host is known to have. */
  #newestVersion = 0;

  #byHost = new Map<string, readonly QueueBinding[]>();

  /** Services that the configuration names. */
  #services: ReadonlySet<string> = new Set();

  readonly #firstListeners = new Set<() => void>();

  get configuration(): QueueConfiguration | null {
    return this.#configuration;
  }

  /** Version in force; 0 if there is none. */
  get version(): number {
    return this.#configuration?.version ?? 0;
  }

  /** True if there is a newer configuration: a queue that this one lacks may exist. */
  get isOutdated(): boolean {
    return this.version < this.#newestVersion;
  }

  /** Another host has this version. */
  noteVersion(version: number): void {
    this.#newestVersion = Math.max(this.#newestVersion, version);
  }

  /** False for a service that the configuration does not name; true while there is none. */
  namesService(service: string): boolean {
    return this.#configuration === null || this.#services.has(service);
  }

  /** True unless the workers of the service exceed their capacity if they are told to. */
  guardsRoom(service: string): boolean {
    return !(this.#configuration?.unguardedServices ?? []).includes(service);
  }

  /** Puts a configuration in force. Returns false if it is not newer than the present one. */
  apply(configuration: QueueConfiguration): boolean {
    if (this.#configuration && configuration.version <= this.version) return false;
    const byHost = new Map<string, QueueBinding[]>();
    configuration.bindings.forEach((binding) => {
      const name = binding.hostName.toLowerCase();
      const bindings = byHost.get(name);
      if (bindings) bindings.push(binding);
      else byHost.set(name, [binding]);
    });
    byHost.forEach((bindings) => bindings.sort(byLongestPrefix));
    this.#byHost = byHost;
    const ofQueues = configuration.bindings.map(({ policy }) => policy.service);
    this.#services = new Set([...configuration.services, ...ofQueues]);
    this.#configuration = configuration;
    this.#firstListeners.forEach((listener) => listener());
    return true;
  }

  /** Resolves when there is a configuration, or after `limitMs`. */
  whenConfigured(limitMs: number): Promise<void> {
    if (this.#configuration || limitMs <= 0) return Promise.resolve();
    return new Promise((resolve) => {
      let timer: NodeJS.Timeout | null = null;
      const end = () => {
        if (timer) clearTimeout(timer);
        this.#firstListeners.delete(end);
        resolve();
      };
      timer = setTimeout(end, limitMs);
      this.#firstListeners.add(end);
    });
  }

  /** The queue with the longest matching path prefix, or null. */
  match(hostHeader: string, path: string): QueueMatch | null {
    const hostName = (hostHeader.split(':')[0] ?? '').toLowerCase();
    const binding = this.#byHost
      .get(hostName)
      ?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    return binding ? { binding, rest: path.slice(binding.pathPrefix.length) } : null;
  }
}
