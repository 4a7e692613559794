/** Connections that are kept between calls; callers bound each call's time themselves. */
import { Pool } from 'undici';
import type { DispatchJournal } from './journal';

const KEEP_ALIVE_MS = 60_000;

/** How connections to one address are made. */
export interface PoolOptions {
  /** Most connections at a time; null if there is no limit. */
  readonly connections: number | null;
  readonly connectTimeoutMs: number;
}

/** A pool of connections to `ip:port`, each with one call at a time. */
export function keepAlivePool(address: string, options: PoolOptions): Pool {
  return new Pool(`http://${address}`, {
    connections: options.connections,
    pipelining: 1,
    connect: { timeout: options.connectTimeoutMs },
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_MS,
  });
}

/** Pools by address; each is made when it is first used. */
export class PoolSet {
  readonly #pools = new Map<string, Pool>();

  readonly #options: PoolOptions;

  readonly #journal: DispatchJournal;

  constructor(options: PoolOptions, journal: DispatchJournal) {
    this.#options = options;
    this.#journal = journal;
  }

  to(address: string): Pool {
    const pool = this.#pools.get(address) ?? keepAlivePool(address, this.#options);
    this.#pools.set(address, pool);
    return pool;
  }

  /** Makes new connections to one address from now on; calls in progress go on. */
  renew(address: string): void {
    this.#take(address, (pool) => pool.close());
  }

  /** Renews the connections to one address, unless that was done between now and the call. */
  renewer(address: string): () => void {
    const pool = this.to(address);
    return () => {
      if (this.#pools.get(address) === pool) this.renew(address);
    };
  }

  /** Closes the connections to one address; calls in progress fail. */
  drop(address: string): void {
    this.#take(address, (pool) => pool.destroy());
  }

  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #take(address: string, end: (pool: Pool) => Promise<void>): void {
    const pool = this.#pools.get(address);
    this.#pools.delete(address);
    if (!pool) return;
    end(pool).catch((error: unknown) => {
      this.#journal.decide('connections-not-closed', { address, error: String(error) });
    });
  }
}
