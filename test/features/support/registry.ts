/** Hosts that are registered in a store under leases, in virtual time. */
import { MemoryStore } from '../../../src/standins/storeMemory';

const PREFIX = '/wasabiyoke/x/hosts/';
const STEP_MS = 1000;

/** Hosts with their leases. */
export class Registry {
  readonly store: MemoryStore;

  readonly leases = new Map<number, number>();

  readonly #ttlMs: number;

  #nowMs = 0;

  constructor(ttlMs: number) {
    this.#ttlMs = ttlMs;
    this.store = new MemoryStore({ clock: { nowMs: () => this.#nowMs } });
  }

  async register(host: number): Promise<void> {
    const leaseId = (await this.store.grantLease(this.#ttlMs)).unwrap();
    (await this.store.putWithLease(`${PREFIX}${host}`, '{}', leaseId)).unwrap();
    this.leases.set(host, leaseId);
  }

  /** Lets time pass; all hosts but one renew each second. */
  async pass(ms: number, paused: number): Promise<void> {
    if (ms <= 0) return;
    this.#nowMs += STEP_MS;
    const renewing = [...this.leases].filter(([host]) => host !== paused);
    await Promise.all(renewing.map(([, leaseId]) => this.store.renewLease(leaseId)));
    await this.pass(ms - STEP_MS, paused);
  }

  async registered(): Promise<readonly number[]> {
    const entries = (await this.store.list(PREFIX)).unwrap();
    return entries.map(({ key }) => Number(key.slice(PREFIX.length)));
  }

  async renew(host: number): Promise<boolean> {
    return (await this.store.renewLease(this.leases.get(host) ?? 0)).unwrap();
  }
}
