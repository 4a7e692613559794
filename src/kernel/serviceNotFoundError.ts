/** Error of a service lookup. */

/** Thrown when no service is registered under a name; the message lists the registered names. */
export class ServiceNotFoundError extends Error {
  constructor(name: string, registered: readonly string[]) {
    const names = registered.length === 0 ? 'none' : registered.join(', ');
    super(`no service is registered as "${name}"; registered: ${names}`);
    this.name = 'ServiceNotFoundError';
  }
}
