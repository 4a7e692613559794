/** Submission keys, fetched ahead so that no job waits for one. */
import { z } from 'zod';
import type { RandomSource } from '../core/clock';
import type { LoadHosts } from './loadHosts';

/** Small, because the keys of a host that dies yield `outcome-unknown`. */
const KEYS_PER_HOST = 50;
/** Keys left per host when the next ones are fetched. */
const LOW_STOCK_PER_HOST = 25;
const REQUEST_TIMEOUT_MS = 2000;

interface StockedKey {
  readonly key: string;
  readonly staleAtMs: number;
}

const KEYS_ANSWER = z.object({ keys: z.array(z.string()), expiresInMs: z.number() });

function parseKeys(text: string): z.infer<typeof KEYS_ANSWER> {
  try {
    return KEYS_ANSWER.parse(JSON.parse(text));
  } catch {
    return { keys: [], expiresInMs: 0 };
  }
}

/** Keys of all hosts, mixed; a key is handed out once, and not after half of its lifetime. */
export class LoadKeys {
  readonly #hosts: LoadHosts;

  readonly #random: RandomSource;

  readonly #stock: StockedKey[] = [];

  #fetching: Promise<number> | null = null;

  constructor(hosts: LoadHosts, random: RandomSource) {
    this.#hosts = hosts;
    this.#random = random;
  }

  /** Null if no host issues keys. */
  async take(): Promise<string | null> {
    if (this.#stock.length <= LOW_STOCK_PER_HOST * this.#hosts.addresses.length) {
      const fetched = this.fill();
      if (this.#stock.length === 0 && (await fetched) === 0) return null;
    }
    const index = Math.floor(this.#random.next() * this.#stock.length);
    const taken = this.#stock[index];
    const last = this.#stock.pop();
    if (last !== undefined && last !== taken) this.#stock[index] = last;
    return taken !== undefined && taken.staleAtMs > performance.now() ? taken.key : this.take();
  }

  /** Fetches keys unless that is in progress; resolves with their number and never rejects. */
  fill(): Promise<number> {
    this.#fetching ??= this.#fetchAll();
    return this.#fetching;
  }

  async #fetchAll(): Promise<number> {
    const counts = await Promise.all(this.#hosts.addresses.map((host) => this.#fetch(host)));
    this.#fetching = null;
    return counts.reduce((sum, count) => sum + count, 0);
  }

  async #fetch(host: string): Promise<number> {
    const reply = await this.#hosts.send(host, {
      method: 'POST',
      path: '/v1/keys',
      body: JSON.stringify({ count: KEYS_PER_HOST }),
      timeoutMs: REQUEST_TIMEOUT_MS,
    });
    if (typeof reply === 'string' || reply.statusCode !== 200) return 0;
    const { keys, expiresInMs } = parseKeys(reply.text);
    const staleAtMs = performance.now() + expiresInMs / 2;
    this.#stock.push(...keys.map((key) => ({ key, staleAtMs })));
    return keys.length;
  }
}
