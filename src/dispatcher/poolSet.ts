/** Pools of connections to several addresses. */
import { KeepAlivePool, type PoolOptions } from './keepAlivePool';

/** Pools by address; each is made when it is first used. */
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

  /** Makes new connections to one address from now on; calls in progress go on. */
  renew(address: string): void {
    this.#take(address)?.close();
  }

  /** Renews the connections to one address, unless that was done between now and the call. */
  renewer(address: string): () => void {
    const pool = this.poolFor(address);
    return () => {
      if (this.#pools.get(address) === pool) this.renew(address);
    };
  }

  /** Closes the connections to one address; calls in progress fail. */
  destroyPool(address: string): void {
    this.#take(address)?.destroy();
  }

  close(): void {
    this.#pools.forEach((pool) => pool.destroy());
    this.#pools.clear();
  }

  #take(address: string): KeepAlivePool | null {
    const pool = this.#pools.get(address) ?? null;
    this.#pools.delete(address);
    return pool;
  }
}
