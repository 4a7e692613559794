/**
 * Chooses the number of cells per failure domain when a deployment first starts, from the first
 * list of workers that is stable. The number is then kept in the store and not changed. Workers of
 * services that the configuration does not name do not count.
 */
import type { WorkerEntry } from '../../cells/worker';

/** Target number of workers per cell. More would need more processor time than one host has. */
const WORKERS_PER_CELL = 40;
/** A list whose length has not changed for this long contains all workers that started together. */
const STABLE_LIST_MS = 1500;

function largestDomain(entries: readonly WorkerEntry[]): number {
  const counts = new Map<string, number>();
  entries.forEach(({ domain }) => counts.set(domain, (counts.get(domain) ?? 0) + 1));
  return Math.max(0, ...counts.values());
}

/** Chooses the number of cells per failure domain. */
export class LayoutSelector {
  readonly #namesService: (service: string) => boolean;

  #workerCount = 0;

  #unchangedSinceMs = 0;

  /** `namesService` is false for a service that the configuration does not name. */
  constructor(namesService: (service: string) => boolean) {
    this.#namesService = namesService;
  }

  /** Returns the number of cells per domain once the list is stable; null before that. */
  observe(listed: readonly WorkerEntry[], nowMs: number): number | null {
    const entries = listed.filter(({ service }) => this.#namesService(service));
    if (entries.length !== this.#workerCount) {
      this.#workerCount = entries.length;
      this.#unchangedSinceMs = nowMs;
    }
    if (this.#workerCount === 0 || nowMs - this.#unchangedSinceMs < STABLE_LIST_MS) return null;
    return Math.max(1, Math.round(largestDomain(entries) / WORKERS_PER_CELL));
  }
}
