/**
 * The operators' HTTP interface of one entry host, on a separate listener. Sizes of bodies and
 * headers, the number of connections, and durations are limited. Every reply is JSON or a problem.
 */
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Log } from '../observe/observer';
import { readJson } from './operatorApiBody';
import { OperatorProblem, invalidRequest, problem } from './operatorApiReply';
import type { Reply } from './operatorApiReply';
import { OPERATOR_ROUTES } from './operatorApiRoutes';
import type { Route } from './operatorApiRoutes';
import type { OperatorService } from './operatorService';

/** Limits of the interface. `serviceTimeoutMs` limits the time a handler may take to reply. */
export interface OperatorApiLimits {
  readonly bodyBytes: number;
  readonly headerBytes: number;
  readonly connections: number;
  readonly headerTimeoutMs: number;
  readonly requestTimeoutMs: number;
  readonly serviceTimeoutMs: number;
  readonly closeGraceMs: number;
}

/** `bodyBytes` fits a configuration of 1 MB, the largest value of the store, as a JSON string. */
export const OPERATOR_API_LIMITS: OperatorApiLimits = {
  bodyBytes: 2 * 1024 * 1024,
  headerBytes: 16 * 1024,
  connections: 100,
  headerTimeoutMs: 5000,
  requestTimeoutMs: 10_000,
  serviceTimeoutMs: 30_000,
  closeGraceMs: 1000,
};

/** Minimum interval at which Node checks for connections that have exceeded their time limits. */
const MIN_CHECK_INTERVAL_MS = 50;

/** Status for connections that fail before a request is complete, by Node's error code. */
const CLIENT_ERROR_STATUS: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

function send(response: ServerResponse, reply: Reply): void {
  if (response.headersSent || response.destroyed) return;
  const body = Buffer.from(JSON.stringify(reply.body));
  response.writeHead(reply.status, {
    'Content-Type': reply.contentType,
    'Content-Length': body.length,
    'Cache-Control': 'no-store',
    ...reply.headers,
  });
  response.end(body);
}

function answerClientError(error: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const status = CLIENT_ERROR_STATUS[error.code ?? ''] ?? 400;
  const body = JSON.stringify(invalidRequest(status, error.message).body);
  socket.end(
    `HTTP/1.1 ${status} Refused\r\nContent-Type: application/problem+json\r\n` +
      `Content-Length: ${Buffer.byteLength(body)}\r\nConnection: close\r\n\r\n${body}`,
  );
}

/** Resolves to a problem, rather than rejecting, if the reply takes longer than the limit. */
function withTimeout(reply: Promise<Reply>, limitMs: number): Promise<Reply> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      const detail = `no result within ${limitMs} ms; a change may still take effect`;
      resolve(problem(504, OperatorProblem.timeout, { detail }));
    }, limitMs);
    reply.then(resolve, reject).finally(() => clearTimeout(timer));
  });
}

/** HTTP server of the operator API. */
export class OperatorApi {
  readonly #service: OperatorService;

  readonly #log: Log;

  readonly #limits: OperatorApiLimits;

  readonly #server: Server;

  constructor(service: OperatorService, log: Log, limits: OperatorApiLimits = OPERATOR_API_LIMITS) {
    this.#service = service;
    this.#log = log;
    this.#limits = limits;
    this.#server = createServer(
      {
        maxHeaderSize: limits.headerBytes,
        headersTimeout: limits.headerTimeoutMs,
        requestTimeout: limits.requestTimeoutMs,
        connectionsCheckingInterval: Math.max(MIN_CHECK_INTERVAL_MS, limits.headerTimeoutMs / 4),
      },
      (request, response) => {
        this.#serve(request, response).catch((error: unknown) =>
          this.#sendInternalError(response, error),
        );
      },
    );
    this.#server.maxConnections = limits.connections;
    this.#server.on('clientError', answerClientError);
  }

  /** Listens on an IP address and port (0 selects a free port); resolves to the port. */
  async open(host: string, port: number): Promise<number> {
    this.#server.listen(port, host);
    await once(this.#server, 'listening');
    return (this.#server.address() as AddressInfo).port;
  }

  /** Gives requests in progress `closeGraceMs` to finish, then closes their connections. */
  async close(): Promise<void> {
    if (!this.#server.listening) return;
    const closed = once(this.#server, 'close');
    this.#server.close();
    this.#server.closeIdleConnections();
    const timer = setTimeout(() => {
      this.#server.closeAllConnections();
    }, this.#limits.closeGraceMs);
    await closed;
    clearTimeout(timer);
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? '').split('?', 1)[0] ?? '';
    const routes = OPERATOR_ROUTES.filter((route) => route.path === path);
    const route = routes.find(({ method }) => method === request.method);
    if (route !== undefined) {
      send(response, await this.#answer(route, request));
    } else if (routes.length > 0) {
      const allow = routes.map(({ method }) => method).join(', ');
      const detail = `the methods of this path are ${allow}`;
      send(response, problem(405, OperatorProblem.invalidRequest, { detail }, { Allow: allow }));
    } else {
      send(response, invalidRequest(404, 'the operator API has no such path'));
    }
  }

  async #answer(route: Route, request: IncomingMessage): Promise<Reply> {
    if (route.method === 'GET') {
      return withTimeout(route.handle(this.#service, null), this.#limits.serviceTimeoutMs);
    }
    const body = await readJson(request, this.#limits.bodyBytes);
    if (body.err) return body.val;
    this.#log.info('operator request', { path: route.path, from: request.socket.remoteAddress });
    return withTimeout(route.handle(this.#service, body.val), this.#limits.serviceTimeoutMs);
  }

  #sendInternalError(response: ServerResponse, error: unknown): void {
    if (response.destroyed) return;
    this.#log.error('operator request failed', { error });
    const detail = 'the request failed; the log of the host says why';
    send(response, problem(500, OperatorProblem.internal, { detail }));
  }
}
