/** Adapts parts of a host that only have to be closed to services of the kernel. */
import type { Service, ServiceName } from '../kernel';

/** A service that does nothing when it opens. */
export function closing(name: ServiceName, close: () => Promise<void>): Service {
  return { name, open: () => Promise.resolve(), close };
}
