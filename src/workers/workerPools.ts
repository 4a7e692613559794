/**
 * Connection pools, two per worker address: starts hold a connection until their task ends, so
 * renewals, revocations and status requests use a connection of their own and never wait for one.
 */
import { Pool } from 'undici';

/** Connections of a worker that are kept for control requests. */
const CONTROL_CONNECTIONS = 1;
/** A worker that was not used for this time has its pools closed; workers are replaced daily. */
const IDLE_MS = 60_000;

/** Limits of the pools. */
export interface PoolOptions {
  readonly connectTimeoutMs: number;
  readonly responseBytesLimit: number;
}

interface WorkerPair {
  readonly starts: Pool;
  readonly control: Pool;
  usedAtMs: number;
}

/** Creates pools on first use. A changed limit applies to pools created afterwards. */
export class WorkerPools {
  readonly #options: PoolOptions;

  readonly #pairs = new Map<string, WorkerPair>();

  readonly #retired = new Set<Pool>();

  #connections: number;

  #sweptAtMs = performance.now();

  #closed = false;

  constructor(connections: number, options: PoolOptions) {
    this.#connections = connections;
    this.#options = options;
  }

  /** Pools with the old limit end once the requests they carry have ended. */
  setConnections(connections: number): void {
    const limit = Math.max(1, Math.floor(connections));
    if (limit === this.#connections) return;
    this.#connections = limit;
    this.#pairs.forEach((_pair, address) => this.#retire(address));
  }

  /** Pool for requests that last as long as a task. */
  starts(address: string): Pool {
    return this.#pair(address).starts;
  }

  /** Pool for short requests. */
  control(address: string): Pool {
    return this.#pair(address).control;
  }

  /** Drops all connections. */
  async close(): Promise<void> {
    this.#closed = true;
    const pools = [...this.#pairs.values()].flatMap((pair) => [pair.starts, pair.control]);
    this.#pairs.clear();
    await Promise.all([...pools, ...this.#retired].map((pool) => pool.destroy()));
  }

  #pair(address: string): WorkerPair {
    if (this.#closed) throw new Error('the workers client is closed');
    const nowMs = performance.now();
    let pair = this.#pairs.get(address);
    if (pair === undefined) {
      pair = {
        starts: this.#pool(address, Math.max(1, this.#connections - CONTROL_CONNECTIONS)),
        control: this.#pool(address, CONTROL_CONNECTIONS),
        usedAtMs: nowMs,
      };
      this.#pairs.set(address, pair);
    }
    pair.usedAtMs = nowMs;
    if (nowMs - this.#sweptAtMs > IDLE_MS) this.#sweep(nowMs);
    return pair;
  }

  #pool(address: string, connections: number): Pool {
    return new Pool(`http://${address}`, {
      connections,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: this.#options.responseBytesLimit,
      connect: { timeout: this.#options.connectTimeoutMs },
    });
  }

  #sweep(nowMs: number): void {
    this.#sweptAtMs = nowMs;
    this.#pairs.forEach((pair, address) => {
      if (nowMs - pair.usedAtMs > IDLE_MS) this.#retire(address);
    });
  }

  #retire(address: string): void {
    const pair = this.#pairs.get(address);
    if (pair === undefined) return;
    this.#pairs.delete(address);
    [pair.starts, pair.control].forEach((pool) => {
      this.#retired.add(pool);
      const forget = (): void => {
        this.#retired.delete(pool);
      };
      pool.close().then(forget, forget);
    });
  }
}
