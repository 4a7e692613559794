/** The entry hosts as a load balancer presents them: a random one that has not failed of late. */
import { Pool } from 'undici';
import type { RandomSource } from '../core/clock';

/** A response of a host. */
export interface HostReply {
  readonly statusCode: number;
  readonly text: string;
}

/** One request; `timeoutMs` is the longest wait for the answer. */
export interface HostRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly timeoutMs: number;
}

/** A request without a reply: the wait ended or the connection broke. */
export type NoReply = 'noAnswer' | 'broken';

/** Sends requests to hosts. There is no limit of connections, as the load is open-loop. */
export class LoadHosts {
  readonly #pools: ReadonlyMap<string, Pool>;

  readonly #random: RandomSource;

  readonly #avoidMs: number;

  readonly #failedAtMs = new Map<string, number>();

  readonly #open = new Set<AbortController>();

  #closed = false;

  constructor(hosts: readonly string[], avoidMs: number, random: RandomSource) {
    if (hosts.length === 0) throw new Error('a load needs at least one host');
    this.#pools = new Map(
      hosts.map((host) => [host, new Pool(`http://${host}`, { pipelining: 1 })]),
    );
    this.#avoidMs = avoidMs;
    this.#random = random;
  }

  get addresses(): readonly string[] {
    return [...this.#pools.keys()];
  }

  get closed(): boolean {
    return this.#closed;
  }

  /** A host other than `last`, if there is one. */
  choose(last: string | null): string {
    const nowMs = performance.now();
    const hosts = [...this.#pools.keys()].filter((host) => host !== last);
    const healthy = hosts.filter(
      (host) => nowMs - (this.#failedAtMs.get(host) ?? -Infinity) > this.#avoidMs,
    );
    const candidates =
      [healthy, hosts, [...this.#pools.keys()]].find((list) => list.length > 0) ?? [];
    return candidates[Math.floor(this.#random.next() * candidates.length)] ?? '';
  }

  /** Never rejects; `noAnswer` is also the reply to requests that are open at `close`. */
  async send(host: string, request: HostRequest): Promise<HostReply | NoReply> {
    const pool = this.#pools.get(host);
    if (pool === undefined || this.#closed) return 'noAnswer';
    const { method, path, headers, body = null, timeoutMs } = request;
    const abort = new AbortController();
    const timer = setTimeout(() => abort.abort(), timeoutMs);
    this.#open.add(abort);
    try {
      const response = await pool.request({
        method,
        path,
        headers:
          body === null ? { ...headers } : { ...headers, 'content-type': 'application/json' },
        body,
        signal: abort.signal,
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      return { statusCode: response.statusCode, text: await response.body.text() };
    } catch {
      if (abort.signal.aborted) return 'noAnswer';
      this.#failedAtMs.set(host, performance.now());
      return 'broken';
    } finally {
      clearTimeout(timer);
      this.#open.delete(abort);
    }
  }

  async close(): Promise<void> {
    this.#closed = true;
    this.#open.forEach((abort) => abort.abort());
    await Promise.all([...this.#pools.values()].map((pool) => pool.destroy()));
  }
}
