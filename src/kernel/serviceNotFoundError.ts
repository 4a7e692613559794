/** Error of a look-up in the kernel. */

/** Thrown for a name that no service has; the message lists the names that are registered. */
export class ServiceNotFoundError extends Error {
  constructor(name: string, registered: readonly string[]) {
    const names = registered.length === 0 ? 'none' : registered.join(', ');
    super(`no service is registered as "${name}"; registered: ${names}`);
    this.name = 'ServiceNotFoundError';
  }
}
