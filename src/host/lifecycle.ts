/** Adapts components that only need to be closed to services of the kernel. */
import type { Service, ServiceName } from '../kernel';

/** Returns a service whose `open` does nothing. */
export function closeOnlyService(name: ServiceName, close: () => Promise<void>): Service {
  return { name, open: () => Promise.resolve(), close };
}
