/** Connection pools for several addresses. */
import { KeepAlivePool, type PoolOptions } from './keepAlivePool';

/** Connection pools by address, created on first use. */
export class PoolSet {
  readonly #pools = new Map<string, KeepAlivePool>();

  readonly #options: PoolOptions;

  constructor(options: PoolOptions) {
    this.#options = options;
  }

  poolFor(address: string): KeepAlivePool {
    const pool = this.#pools.get(address) ?? new KeepAlivePool(address, this.#options);
    this.#pools.set(address, pool);
    return pool;
  }

  /**
   * Closes the pool of an address, so that later calls use new connections; calls in progress
   * continue.
   */
  replacePool(address: string): void {
    this.#remove(address)?.close();
  }

  /**
   * Returns a function that replaces the present pool of an address, and does nothing if that pool
   * has already been replaced.
   */
  poolReplacer(address: string): () => void {
    const pool = this.poolFor(address);
    return () => {
      if (this.#pools.get(address) === pool) this.replacePool(address);
    };
  }

  /** Closes all connections to an address; calls in progress fail. */
  destroyPool(address: string): void {
    this.#remove(address)?.destroy();
  }

  close(): void {
    this.#pools.forEach((pool) => pool.destroy());
    this.#pools.clear();
  }

  #remove(address: string): KeepAlivePool | null {
    const pool = this.#pools.get(address) ?? null;
    this.#pools.delete(address);
    return pool;
  }
}
