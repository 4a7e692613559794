/** Polls the host list of the host's own domain. If a read fails, the last list stays in use. */
import { ServiceName, type Service } from '../kernel';
import type { Log } from '../observe';
import type { HostList, HostListEntry } from '../workers';

/** Dependencies of a `HostListService`. */
export interface HostListServiceParts {
  readonly hostList: HostList;
  readonly domain: string;
  readonly pollMs: number;
  readonly log: Log;
  readonly onList: (entries: readonly HostListEntry[]) => void;
}

export class HostListService implements Service {
  readonly name = ServiceName.hostList;

  readonly #parts: HostListServiceParts;

  #timer: NodeJS.Timeout | null = null;

  #readable = true;

  #closed = false;

  constructor(parts: HostListServiceParts) {
    this.#parts = parts;
  }

  async open(): Promise<void> {
    await this.#poll();
  }

  async close(): Promise<void> {
    this.#closed = true;
    if (this.#timer) clearTimeout(this.#timer);
    await this.#parts.hostList.close();
  }

  async #poll(): Promise<void> {
    const { hostList, domain, pollMs, onList } = this.#parts;
    const entries = await hostList.read(domain);
    if (this.#closed) return;
    this.#setReadable(entries !== null);
    if (entries !== null && entries !== 'unchanged') onList(entries);
    this.#timer = setTimeout(() => this.#poll(), pollMs);
  }

  #setReadable(readable: boolean): void {
    if (readable === this.#readable) return;
    this.#readable = readable;
    const { log, domain } = this.#parts;
    if (readable) log.info('the host list can be read again', { domain });
    else log.warn('the host list can not be read; the last one holds', { domain });
  }
}
