/** Error of a service's lifecycle. */
import type { ServiceName } from './service';

/** A service that failed to open or close; `cause` is the error it gave. */
export class ServiceError extends Error {
  readonly service: ServiceName;

  constructor(service: ServiceName, step: 'open' | 'close', cause: unknown) {
    const detail = cause instanceof Error ? cause.message : String(cause);
    super(`service "${service}" failed to ${step}: ${detail}`, { cause });
    this.name = 'ServiceError';
    this.service = service;
  }
}
