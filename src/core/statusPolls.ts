/** Says which workers' status is due. A new scheduler polls faster until it knows the domain's load. */
import type { WorkerEntry } from './workerTable';

const TAKEOVER_MS = 3000;
const TAKEOVER_PERIOD_MS = 250;
/** Workers without a first status are asked this often. */
const UNKNOWN_PERIOD_MS = 200;

/** Times of the last polls of a scheduler. */
export class StatusPolls {
  readonly #periodMs: number;

  readonly #polledAtMs = new Map<string, number>();

  #takeoverUntilMs = 0;

  constructor(periodMs: number) {
    this.#periodMs = periodMs;
  }

  startTakeover(nowMs: number): void {
    this.#takeoverUntilMs = nowMs + TAKEOVER_MS;
    this.#polledAtMs.clear();
  }

  /** True while tasks that other schedulers granted may still run. */
  inTakeover(nowMs: number): boolean {
    return nowMs < this.#takeoverUntilMs;
  }

  /** The workers to poll now; they are taken as polled. */
  due(workers: readonly WorkerEntry[], nowMs: number): readonly WorkerEntry[] {
    return workers.filter((worker) => {
      const lastMs = this.#polledAtMs.get(worker.id);
      if (lastMs !== undefined && nowMs - lastMs < this.#period(worker, nowMs)) return false;
      this.#polledAtMs.set(worker.id, nowMs);
      return true;
    });
  }

  #period(worker: WorkerEntry, nowMs: number): number {
    if (worker.status === null) return UNKNOWN_PERIOD_MS;
    return this.inTakeover(nowMs) ? TAKEOVER_PERIOD_MS : this.#periodMs;
  }
}
