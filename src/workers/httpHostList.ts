/** HTTP client of the platform's host list. ETags avoid transferring an unchanged list again. */
import { Pool } from 'undici';
import { z } from 'zod';
import type { HostList, HostListEntry } from './hostList';

/** Time and size limits of the client. */
export interface HttpHostListOptions {
  readonly timeoutMs: number;
  readonly responseBytesLimit: number;
}

export const DEFAULT_HOST_LIST_OPTIONS: HttpHostListOptions = {
  timeoutMs: 1000,
  responseBytesLimit: 4 * 1024 * 1024,
};

const ENTRIES_SCHEMA = z.array(
  z.object({
    id: z.string().min(1),
    domain: z.string(),
    rack: z.string(),
    address: z.string().min(1),
    state: z.enum(['live', 'leaving']),
  }),
);

/** Implements `HostList`. `read` never rejects; it returns null for a malformed list. */
export class HttpHostList implements HostList {
  readonly #pool: Pool;

  readonly #timeoutMs: number;

  /** ETag of the most recently returned list, by domain. */
  readonly #etags = new Map<string, string>();

  /** `address` is the `ip:port` of the platform's host list service. */
  constructor(address: string, options: Partial<HttpHostListOptions> = {}) {
    const { timeoutMs, responseBytesLimit } = { ...DEFAULT_HOST_LIST_OPTIONS, ...options };
    this.#timeoutMs = timeoutMs;
    this.#pool = new Pool(`http://${address}`, {
      connections: 1,
      pipelining: 1,
      maxResponseSize: responseBytesLimit,
      connect: { timeout: timeoutMs },
    });
  }

  async read(domain: string): Promise<readonly HostListEntry[] | 'unchanged' | null> {
    try {
      const etag = this.#etags.get(domain);
      const response = await this.#pool.request({
        method: 'GET',
        path: `/v1/hosts?domain=${encodeURIComponent(domain)}`,
        headers: etag === undefined ? {} : { 'if-none-match': etag },
        signal: AbortSignal.timeout(this.#timeoutMs),
      });
      const text = await response.body.text();
      if (response.statusCode === 304 && etag !== undefined) return 'unchanged';
      if (response.statusCode !== 200) return null;
      const entries = ENTRIES_SCHEMA.parse(JSON.parse(text));
      this.#storeEtag(domain, response.headers.etag);
      return entries;
    } catch {
      return null;
    }
  }

  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  #storeEtag(domain: string, etag: string | string[] | undefined): void {
    if (typeof etag === 'string') this.#etags.set(domain, etag);
    else this.#etags.delete(domain);
  }
}
