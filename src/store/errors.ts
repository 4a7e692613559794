/** What the gRPC status of a call that was sent says about its effect. */
import { status, type ServiceError } from '@grpc/grpc-js';
import { StoreErrorCode, type StoreError } from './store';

/** With these the service reports that it did not apply the call. */
const REFUSALS: ReadonlySet<number> = new Set([
  status.INVALID_ARGUMENT,
  status.NOT_FOUND,
  status.ALREADY_EXISTS,
  status.PERMISSION_DENIED,
  status.RESOURCE_EXHAUSTED,
  status.FAILED_PRECONDITION,
  status.OUT_OF_RANGE,
  status.UNIMPLEMENTED,
  status.UNAUTHENTICATED,
]);

/** No endpoint accepted a connection. */
export const NOT_CONNECTED: StoreError = {
  code: StoreErrorCode.unavailable,
  message: 'no endpoint of the store accepts a connection',
};

/** Error of a call that was sent; all but a refusal leave its effect open. */
export function sentError({ code, details, message }: ServiceError): StoreError {
  const refused = REFUSALS.has(code);
  return {
    code: refused ? StoreErrorCode.refused : StoreErrorCode.unclear,
    message: `${status[code] ?? 'error'}: ${details || message}`,
  };
}
