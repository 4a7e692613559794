/**
 * Stand-in for the platform's host list on loopback HTTP, with ETag, a lag behind the truth, and
 * outages.
 */
import { createHash } from 'node:crypto';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { HostListEntry } from '../workers/hostList';

/** How the server fails; `errors` answers 503, `silent` never answers. */
export type HostListOutage = 'none' | 'errors' | 'silent';

/** The host list of any number of domains. */
export class HostListServer {
  outage: HostListOutage = 'none';

  /** Number of lists sent in full. */
  sentInFull = 0;

  readonly #lagMs: number;

  readonly #nowMs: () => number;

  /** Lists by the time they were set; the first is the one in force or the oldest. */
  #versions: { readonly atMs: number; readonly entries: readonly HostListEntry[] }[] = [];

  #server: Server | null = null;

  /** A list is shown `lagMs` after it was set; the first one is shown at once. */
  constructor(lagMs = 0, nowMs: () => number = () => performance.now()) {
    this.#lagMs = lagMs;
    this.#nowMs = nowMs;
  }

  get address(): string {
    const { port } = (this.#server?.address() ?? { port: 0 }) as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Replaces the whole list. */
  set(entries: readonly HostListEntry[]): void {
    this.#versions.push({ atMs: this.#nowMs(), entries });
  }

  /** Listens; port 0 takes a free one. */
  async open(port = 0): Promise<void> {
    const server = createServer((request, response) => this.#answer(request, response));
    server.listen(port, '127.0.0.1');
    await once(server, 'listening');
    this.#server = server;
  }

  async close(): Promise<void> {
    const server = this.#server;
    if (server === null) return;
    this.#server = null;
    const closed = once(server, 'close');
    server.close();
    server.closeAllConnections();
    await closed;
  }

  #answer(request: IncomingMessage, response: ServerResponse): void {
    request.resume();
    if (this.outage === 'silent') return;
    const url = new URL(request.url ?? '/', 'http://host-list');
    if (this.outage === 'errors' || request.method !== 'GET' || url.pathname !== '/v1/hosts') {
      response.writeHead(this.outage === 'errors' ? 503 : 404).end();
      return;
    }
    const domain = url.searchParams.get('domain');
    const entries = this.#shown().filter((entry) => domain === null || entry.domain === domain);
    const text = JSON.stringify(entries);
    const etag = `"${createHash('sha256').update(text).digest('hex').slice(0, 16)}"`;
    if (request.headers['if-none-match'] === etag) {
      response.writeHead(304, { etag }).end();
      return;
    }
    this.sentInFull += 1;
    response.writeHead(200, { etag, 'content-type': 'application/json' }).end(text);
  }

  #shown(): readonly HostListEntry[] {
    const limitMs = this.#nowMs() - this.#lagMs;
    while (this.#versions[1] !== undefined && this.#versions[1].atMs <= limitMs) {
      this.#versions.shift();
    }
    return this.#versions[0]?.entries ?? [];
  }
}
