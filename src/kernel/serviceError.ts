/** Errors of the service lifecycle. */
import type { ServiceName } from './service';

/** Thrown when a service fails to open or close; `cause` is the error it threw. */
export class ServiceError extends Error {
  readonly service: ServiceName;

  constructor(service: ServiceName, step: 'open' | 'close', cause: unknown) {
    const detail = cause instanceof Error ? cause.message : String(cause);
    super(`service "${service}" failed to ${step}: ${detail}`, { cause });
    this.name = 'ServiceError';
    this.service = service;
  }
}
