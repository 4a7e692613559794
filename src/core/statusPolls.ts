/**
 * Says which workers' status is due. A worker that returns results needs no poll; one that has been
 * silent while it runs tasks is polled soon, and gets no new task while a poll stays unanswered. A new
 * scheduler polls faster until it knows the domain's load.
 */
import type { WorkerEntry } from './workerTable';

const TAKEOVER_MS = 3000;
const TAKEOVER_PERIOD_MS = 250;
/** Workers without a first status are asked this often. */
const UNKNOWN_PERIOD_MS = 200;
/** A worker that runs tasks and has shown no sign of life for this long is polled. */
const SILENCE_MS = 400;
/** Idle workers are polled less often in a large domain, which bounds the scheduler's traffic. */
const IDLE_MS_PER_WORKER = 30;
/** Round trips take about 1 ms, so a poll without an answer for this long is a bad sign. */
const ANSWER_EXPECTED_MS = 200;

/** Period of the polls of a worker that runs nothing, in a domain of `workers` workers. */
export function idlePollPeriodMs(workers: number, leastMs: number): number {
  return Math.max(leastMs, IDLE_MS_PER_WORKER * workers);
}

/** Times of the polls of a scheduler. */
export class StatusPolls {
  readonly #periodMs: number;

  readonly #polledAtMs = new Map<string, number>();

  readonly #unanswered = new Map<string, number>();

  #takeoverUntilMs = 0;

  constructor(periodMs: number) {
    this.#periodMs = periodMs;
  }

  startTakeover(nowMs: number): void {
    this.#takeoverUntilMs = nowMs + TAKEOVER_MS;
    this.#polledAtMs.clear();
    this.#unanswered.clear();
  }

  /** True while tasks that other schedulers granted may still run. */
  inTakeover(nowMs: number): boolean {
    return nowMs < this.#takeoverUntilMs;
  }

  /** The worker has answered a poll or returned a result. */
  seen(target: WorkerEntry, nowMs: number): void {
    const worker = target;
    worker.silent = false;
    worker.seenAtMs = nowMs;
    this.#unanswered.delete(worker.id);
  }

  /** The worker refused a start: its status is not what was thought. */
  pollSoon(worker: WorkerEntry): void {
    if (!this.#unanswered.has(worker.id)) this.#polledAtMs.delete(worker.id);
  }

  /** A poll has ended without an answer. */
  failed(worker: WorkerEntry): void {
    this.#unanswered.delete(worker.id);
  }

  /** Marks workers whose poll has been out for too long; returns those that are newly marked. */
  markSilent(workers: readonly WorkerEntry[], nowMs: number): readonly WorkerEntry[] {
    const newly = workers.filter((worker) => {
      const sentAtMs = this.#unanswered.get(worker.id);
      return !worker.silent && sentAtMs !== undefined && nowMs - sentAtMs >= ANSWER_EXPECTED_MS;
    });
    newly.forEach((worker) => Object.assign(worker, { silent: true }));
    return newly;
  }

  /** The workers to poll now; they are taken as polled. */
  due(workers: readonly WorkerEntry[], nowMs: number): readonly WorkerEntry[] {
    const idlePeriodMs = idlePollPeriodMs(workers.length, this.#periodMs);
    const due = workers.filter((worker) => {
      const lastMs = this.#polledAtMs.get(worker.id);
      if (lastMs === undefined) return true;
      const periodMs = this.#urgentPeriod(worker, nowMs);
      if (periodMs !== null) return nowMs - lastMs >= periodMs;
      return nowMs - Math.max(lastMs, worker.seenAtMs) >= idlePeriodMs;
    });
    due.forEach(({ id }) => {
      this.#polledAtMs.set(id, nowMs);
      if (!this.#unanswered.has(id)) this.#unanswered.set(id, nowMs);
    });
    return due;
  }

  /** Period of polls that results do not replace; null if there is no need for them. */
  #urgentPeriod(worker: WorkerEntry, nowMs: number): number | null {
    if (worker.status === null) return UNKNOWN_PERIOD_MS;
    if (this.inTakeover(nowMs)) return TAKEOVER_PERIOD_MS;
    const quiet = worker.usedSlots > 0 && nowMs - worker.seenAtMs >= SILENCE_MS;
    return quiet ? SILENCE_MS : null;
  }
}
