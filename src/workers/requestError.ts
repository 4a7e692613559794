/** Failure of a request to a worker. */

/** A request without an answer, and whether the connection was refused. */
export class RequestError extends Error {
  readonly refused: boolean;

  constructor(cause: unknown) {
    super(String(cause), { cause });
    this.refused = (cause as { code?: unknown } | null)?.code === 'ECONNREFUSED';
  }
}
