/** Refusals of the stand-in store. */
import type { status } from '@grpc/grpc-js';

/** A call that the stand-in refuses, with its gRPC status. */
export class Refusal extends Error {
  readonly code: status;

  constructor(code: status, details: string) {
    super(details);
    this.code = code;
  }
}
