/**
 * Connection pools, two per worker address. A start occupies its connection until the task ends, so
 * renewals, revocations and status requests use a separate connection and never wait for a start.
 */
import { Pool } from 'undici';

/** Connections per worker that are reserved for control requests. */
const CONTROL_CONNECTIONS = 1;
/** Pools unused for this time are closed; workers are replaced daily. */
const IDLE_TIMEOUT_MS = 60_000;

/** Time and size limits of the pools. */
export interface PoolOptions {
  readonly connectTimeoutMs: number;
  readonly responseBytesLimit: number;
}

interface PoolPair {
  readonly starts: Pool;
  readonly control: Pool;
  lastUsedMs: number;
}

/** Creates pools on first use. A new connection limit applies to pools created after the change. */
export class WorkerPools {
  readonly #options: PoolOptions;

  readonly #pairs = new Map<string, PoolPair>();

  readonly #retired = new Set<Pool>();

  #connections: number;

  #lastSweepMs = performance.now();

  #closed = false;

  constructor(connections: number, options: PoolOptions) {
    this.#connections = connections;
    this.#options = options;
  }

  /** Sets the limit per worker. Pools with the old limit close once their requests have ended. */
  setConnections(connections: number): void {
    const limit = Math.max(1, Math.floor(connections));
    if (limit === this.#connections) return;
    this.#connections = limit;
    this.#pairs.forEach((_pair, address) => this.#retire(address));
  }

  /** The pool for requests that last as long as a task. */
  starts(address: string): Pool {
    return this.#getOrCreatePair(address).starts;
  }

  /** The pool for short requests. */
  control(address: string): Pool {
    return this.#getOrCreatePair(address).control;
  }

  /** Closes all connections and aborts the requests on them. */
  async close(): Promise<void> {
    this.#closed = true;
    const pools = [...this.#pairs.values()].flatMap((pair) => [pair.starts, pair.control]);
    this.#pairs.clear();
    await Promise.all([...pools, ...this.#retired].map((pool) => pool.destroy()));
  }

  #getOrCreatePair(address: string): PoolPair {
    if (this.#closed) throw new Error('the workers client is closed');
    const nowMs = performance.now();
    let pair = this.#pairs.get(address);
    if (pair === undefined) {
      pair = {
        starts: this.#createPool(address, Math.max(1, this.#connections - CONTROL_CONNECTIONS)),
        control: this.#createPool(address, CONTROL_CONNECTIONS),
        lastUsedMs: nowMs,
      };
      this.#pairs.set(address, pair);
    }
    pair.lastUsedMs = nowMs;
    if (nowMs - this.#lastSweepMs > IDLE_TIMEOUT_MS) this.#retireIdle(nowMs);
    return pair;
  }

  #createPool(address: string, connections: number): Pool {
    return new Pool(`http://${address}`, {
      connections,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: this.#options.responseBytesLimit,
      connect: { timeout: this.#options.connectTimeoutMs },
    });
  }

  #retireIdle(nowMs: number): void {
    this.#lastSweepMs = nowMs;
    this.#pairs.forEach((pair, address) => {
      if (nowMs - pair.lastUsedMs > IDLE_TIMEOUT_MS) this.#retire(address);
    });
  }

  #retire(address: string): void {
    const pair = this.#pairs.get(address);
    if (pair === undefined) return;
    this.#pairs.delete(address);
    [pair.starts, pair.control].forEach((pool) => {
      this.#retired.add(pool);
      const removeRetired = (): void => {
        this.#retired.delete(pool);
      };
      pool.close().then(removeRetired, removeRetired);
    });
  }
}
