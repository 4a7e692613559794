/** Maps the gRPC status of a call to what it says about the effect of the call. */
import { status, type ServiceError } from '@grpc/grpc-js';
import { StoreErrorCode, type StoreError } from './store';

/** Status codes by which the store reports that it did not apply the call. */
const REFUSED_STATUS_CODES: ReadonlySet<number> = new Set([
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

/** The call was not sent, because no endpoint accepted a connection. */
export const NOT_CONNECTED: StoreError = {
  code: StoreErrorCode.unavailable,
  message: 'no endpoint of the key-value store accepted a connection',
};

/** The error of a call that was sent. Unless it was refused, its effect is unknown. */
export function errorOfSentCall({ code, details, message }: ServiceError): StoreError {
  const refused = REFUSED_STATUS_CODES.has(code);
  return {
    code: refused ? StoreErrorCode.refused : StoreErrorCode.unclear,
    message: `${status[code] ?? 'error'}: ${details || message}`,
  };
}
