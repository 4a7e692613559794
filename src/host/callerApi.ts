/**
 * The callers' HTTP interface (docs/design.md, section 6; docs/callers.md). Each request gets one
 * answer. A disconnect does not cancel the job, because the caller may ask again with its key.
 */
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { ServiceName } from '../kernel/service';
import type { Service } from '../kernel/service';
import type { Log, Metrics } from '../observe/observer';
import { internalErrorAnswer } from './callerAnswer';
import { readBody } from './callerBody';
import { invalidRequest, json } from './callerProblem';
import type { HttpAnswer } from './callerProblem';
import { CallerRoutes } from './callerRoutes';
import { DEFAULT_CALLER_SETTINGS } from './callerSettings';
import type { CallerSettings } from './callerSettings';
import type { SubmissionService } from './submissionService';

/** Log and metrics of the interface. */
export interface CallerObserver {
  readonly log: Log;
  readonly metrics: Metrics;
}

interface Route {
  readonly methods: readonly string[];
  /** Value of the `route` tag in the metrics. */
  readonly name: string;
  run(request: IncomingMessage, url: URL): Promise<HttpAnswer | null>;
}

/** Interval at which a closing server checks for connections that can be closed. */
const CLOSE_CHECK_MS = 50;
const KEY_PATH = /^\/v1\/jobs\/([^/]+)$/;

/** Request targets that can't be parsed become the root URL, which no route matches (404). */
function parseTarget(request: IncomingMessage): URL {
  const base = 'http://host';
  return URL.canParse(request.url ?? '', base) ? new URL(request.url ?? '', base) : new URL(base);
}

/** HTTP server of an entry host for its callers. */
export class CallerApi implements Service {
  readonly name = ServiceName.callerApi;

  readonly #settings: CallerSettings;

  readonly #service: SubmissionService;

  readonly #routes: CallerRoutes;

  readonly #observer: CallerObserver;

  readonly #sockets = new Set<Socket>();

  /** Requests that have been received in full and not yet answered. */
  readonly #requestsInProgress = new Set<IncomingMessage>();

  #server: Server | null = null;

  #draining = false;

  #aborted = false;

  constructor(
    service: SubmissionService,
    settings: Partial<CallerSettings>,
    observer: CallerObserver,
  ) {
    this.#service = service;
    this.#settings = { ...DEFAULT_CALLER_SETTINGS, ...settings };
    this.#routes = new CallerRoutes(service, this.#settings);
    this.#observer = observer;
  }

  /** The `ip:port` that the server listens on. */
  get address(): string {
    const { address, port } = (this.#server?.address() ?? { address: '', port: 0 }) as AddressInfo;
    return `${address}:${port}`;
  }

  async open(): Promise<void> {
    const settings = this.#settings;
    const server = createServer(
      {
        maxHeaderSize: settings.headerBytes,
        headersTimeout: settings.headersTimeoutMs,
        requestTimeout: settings.requestTimeoutMs,
        connectionsCheckingInterval: settings.timeoutCheckMs,
        keepAliveTimeout: settings.keepAliveTimeoutMs,
      },
      (request, response) => {
        this.#handleRequest(request, response).catch((error: unknown) => {
          this.#observer.log.error('caller request failed', { error: String(error) });
          response.destroy();
        });
      },
    );
    server.maxConnections = settings.connections;
    server.on('connection', (socket) => {
      if (this.#aborted) {
        socket.destroy();
        return;
      }
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    server.listen(settings.port, settings.address);
    await once(server, 'listening');
    this.#server = server;
  }

  /**
   * Makes `/readyz` report not ready and closes each connection after its answer; requests are
   * still served. Wait for the load balancer's grace period between this and `close`, which resets
   * idle connections: a request already sent on one of them would be lost.
   */
  drain(): void {
    this.#draining = true;
  }

  /** Destroys all connections, including later ones; requests in progress get no answer. */
  abort(): void {
    this.#aborted = true;
    this.#sockets.forEach((socket) => socket.destroy());
  }

  /** Stops accepting connections and resolves once the requests in progress are answered. */
  async close(): Promise<void> {
    const server = this.#server;
    if (server === null) return;
    this.#server = null;
    this.drain();
    const closed = once(server, 'close');
    server.close();
    const stallDeadlineMs = performance.now() + this.#settings.requestTimeoutMs;
    // After `server.close()` Node no longer enforces the request timeout, so a sender that stalls
    // would keep the server open.
    const timer = setInterval(() => {
      server.closeIdleConnections();
      if (performance.now() >= stallDeadlineMs) this.#closeStalledConnections();
    }, CLOSE_CHECK_MS);
    await closed;
    clearInterval(timer);
  }

  #closeStalledConnections(): void {
    const answering = new Set([...this.#requestsInProgress].map((request) => request.socket));
    this.#sockets.forEach((socket) => {
      if (!answering.has(socket)) socket.destroy();
    });
  }

  async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const startedAtMs = performance.now();
    const url = parseTarget(request);
    const route = this.#findRoute(url);
    response.on('close', () => this.#requestsInProgress.delete(request));
    const answer = await this.#answer(route, request, url);
    if (answer === null) return;
    this.#send(request, response, answer);
    const tags = { route: route?.name ?? 'none', status: String(answer.statusCode) };
    this.#observer.metrics.timing('caller.request', performance.now() - startedAtMs, tags);
  }

  async #answer(
    route: Route | null,
    request: IncomingMessage,
    url: URL,
  ): Promise<HttpAnswer | null> {
    if (route === null) {
      return invalidRequest(404, [{ path: '', message: `no resource at ${url.pathname}` }]);
    }
    if (!route.methods.includes(request.method ?? '')) {
      const allow = route.methods.join(', ');
      return invalidRequest(405, [{ path: '', message: `expected ${allow}` }], { allow });
    }
    try {
      return await route.run(request, url);
    } catch (error) {
      this.#observer.log.error('caller request failed', {
        route: route.name,
        error: String(error),
      });
      return internalErrorAnswer();
    }
  }

  #findRoute(url: URL): Route | null {
    switch (url.pathname) {
      case '/healthz':
        return {
          name: 'health',
          methods: ['GET', 'HEAD'],
          run: async () => json(200, { ok: true }),
        };
      case '/readyz':
        return { name: 'ready', methods: ['GET', 'HEAD'], run: async () => this.#readiness() };
      case '/v1/keys':
        return this.#bodyRoute('keys', (bytes) => this.#routes.issueKeys(bytes));
      case '/v1/jobs':
        return this.#bodyRoute('submit', (bytes, request) =>
          this.#routes.submit(request.headers['idempotency-key'], bytes),
        );
      default:
        return this.#keyRoute(url);
    }
  }

  #bodyRoute(
    name: string,
    run: (bytes: Buffer, request: IncomingMessage) => Promise<HttpAnswer>,
  ): Route {
    return {
      name,
      methods: ['POST'],
      run: async (request) => {
        const body = await readBody(request, this.#settings.bodyBytes);
        if (body === null) return null;
        this.#requestsInProgress.add(request);
        return body.ok ? run(body.val, request) : body.val;
      },
    };
  }

  #keyRoute(url: URL): Route | null {
    const key = KEY_PATH.exec(url.pathname)?.[1];
    if (key === undefined) return null;
    return {
      name: 'key',
      methods: ['GET', 'DELETE'],
      run: async (request) => {
        this.#requestsInProgress.add(request);
        return request.method === 'DELETE'
          ? this.#routes.cancel(key)
          : this.#routes.awaitAnswer(key, url.searchParams.get('waitMs'));
      },
    };
  }

  #readiness(): HttpAnswer {
    const ready = !this.#draining && this.#service.ready();
    return json(ready ? 200 : 503, { ready });
  }

  #send(request: IncomingMessage, response: ServerResponse, answer: HttpAnswer): void {
    if (response.destroyed) return;
    const text = JSON.stringify(answer.body);
    response.setTimeout(this.#settings.answerTimeoutMs);
    response.writeHead(answer.statusCode, {
      ...answer.headers,
      'content-length': Buffer.byteLength(text),
      ...(this.#draining ? { connection: 'close' } : {}),
    });
    response.end(request.method === 'HEAD' ? undefined : text);
  }
}
