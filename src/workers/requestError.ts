/** The error of a request to a worker that got no response. */

/** A request that got no response; `refused` tells whether the connection was refused. */
export class RequestError extends Error {
  readonly refused: boolean;

  constructor(cause: unknown) {
    super(String(cause), { cause });
    this.refused = (cause as { code?: unknown } | null)?.code === 'ECONNREFUSED';
  }
}
