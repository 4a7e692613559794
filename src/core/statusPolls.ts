/**
 * Schedules the status polls of workers. A worker that returns results needs no poll. One that has
 * not been heard from while it runs tasks is polled soon, and gets no new task while a poll is
 * overdue. A new scheduler polls faster until it knows the load of the domain.
 */
import type { WorkerEntry } from './workerTable';

const TAKEOVER_MS = 3000;
const TAKEOVER_PERIOD_MS = 250;
/** Poll period of workers that have not reported a status yet. */
const NO_STATUS_PERIOD_MS = 200;
/** A worker that runs tasks and has not been heard from for this long is polled. */
const SILENCE_MS = 400;
/** Idle workers are polled less often in larger domains, which bounds the scheduler's traffic. */
const IDLE_MS_PER_WORKER = 30;
/** Time after which an unanswered poll marks a worker as silent. Round trips take about 1 ms. */
const POLL_TIMEOUT_MS = 200;

/** Poll period of an idle worker in a domain of `workers` workers. */
export function idlePollPeriodMs(workers: number, minMs: number): number {
  return Math.max(minMs, IDLE_MS_PER_WORKER * workers);
}

/** When a scheduler polls the status of its workers. */
export class StatusPolls {
  readonly #periodMs: number;

  readonly #polledAtMs = new Map<string, number>();

  readonly #unansweredSinceMs = new Map<string, number>();

  #takeoverUntilMs = 0;

  constructor(periodMs: number) {
    this.#periodMs = periodMs;
  }

  startTakeover(nowMs: number): void {
    this.#takeoverUntilMs = nowMs + TAKEOVER_MS;
    this.#polledAtMs.clear();
    this.#unansweredSinceMs.clear();
  }

  /** True while tasks that another scheduler granted may still be running. */
  inTakeover(nowMs: number): boolean {
    return nowMs < this.#takeoverUntilMs;
  }

  /** Records that a worker has answered a poll or returned a result. */
  recordContact(target: WorkerEntry, nowMs: number): void {
    const worker = target;
    worker.silent = false;
    worker.lastContactAtMs = nowMs;
    this.#unansweredSinceMs.delete(worker.id);
  }

  /**
   * Polls a worker at the next tick. Used after it refused a start, because its known status is
   * wrong.
   */
  pollSoon(worker: WorkerEntry): void {
    if (!this.#unansweredSinceMs.has(worker.id)) this.#polledAtMs.delete(worker.id);
  }

  /** Records that a poll has ended without an answer. */
  recordFailedPoll(worker: WorkerEntry): void {
    this.#unansweredSinceMs.delete(worker.id);
  }

  /** Marks workers with an overdue poll as silent. Returns those that were not marked before. */
  markSilent(workers: readonly WorkerEntry[], nowMs: number): readonly WorkerEntry[] {
    const newlySilent = workers.filter((worker) => {
      const sentAtMs = this.#unansweredSinceMs.get(worker.id);
      return !worker.silent && sentAtMs !== undefined && nowMs - sentAtMs >= POLL_TIMEOUT_MS;
    });
    newlySilent.forEach((worker) => Object.assign(worker, { silent: true }));
    return newlySilent;
  }

  /** Returns the workers to poll now and records them as polled. */
  takeDue(workers: readonly WorkerEntry[], nowMs: number): readonly WorkerEntry[] {
    const idlePeriodMs = idlePollPeriodMs(workers.length, this.#periodMs);
    const due = workers.filter((worker) => {
      const lastMs = this.#polledAtMs.get(worker.id);
      if (lastMs === undefined) return true;
      const periodMs = this.#urgentPeriod(worker, nowMs);
      if (periodMs !== null) return nowMs - lastMs >= periodMs;
      return nowMs - Math.max(lastMs, worker.lastContactAtMs) >= idlePeriodMs;
    });
    due.forEach(({ id }) => {
      this.#polledAtMs.set(id, nowMs);
      if (!this.#unansweredSinceMs.has(id)) this.#unansweredSinceMs.set(id, nowMs);
    });
    return due;
  }

  /** Poll period that applies even if the worker returns results; null if there is none. */
  #urgentPeriod(worker: WorkerEntry, nowMs: number): number | null {
    if (worker.status === null) return NO_STATUS_PERIOD_MS;
    if (this.inTakeover(nowMs)) return TAKEOVER_PERIOD_MS;
    const isSilent = worker.usedSlots > 0 && nowMs - worker.lastContactAtMs >= SILENCE_MS;
    return isSilent ? SILENCE_MS : null;
  }
}
