/**
 * State of one worker as known to the owner of its cell: its entry in the list, its runs and
 * leases, its slowness, and whether tasks may be started on it. `WorkerHealth` evaluates its
 * failures.
 */
import { WorkerHealth } from '../core/health';
import type { TaskShape } from './job';
import { Isolation, overdueAtMs, runKey, RunState, type Run } from './run';
import { MAX_START_DELAY_MS, UnansweredStarts } from './unansweredStarts';

/** A worker in the platform's list. */
export interface WorkerEntry {
  readonly id: string;
  readonly address: string;
  readonly domain: string;
  readonly service: string;
  readonly draining: boolean;
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly labels: readonly string[];
  /** Start of the process that wrote the entry, in Unix milliseconds. */
  readonly processStartMs: number;
}

/** Consecutive failures after which a worker is avoided; low because a task has few attempts. */
const FAILURES_TO_AVOID = 2;
const SLOWNESS_SMOOTHING = 0.12;
const MIN_SLOWNESS = 0.2;
const MAX_SLOWNESS = 20;

/** A worker that has not answered counts as unstable for this long, in milliseconds. */
const UNSTABLE_MS = 5000;

/** State of one worker in its cell. */
export class CellWorker {
  entry: WorkerEntry;

  readonly runs = new Map<string, Run>();

  readonly health: WorkerHealth;

  readonly unansweredStarts = new UnansweredStarts();

  /** True while the worker answers. No task is started on a worker that has not answered yet. */
  reachable = false;

  /** Time at which the worker last stopped answering. */
  silentAtMs = -Infinity;

  /** Time at which the worker went missing from the list; null while it is listed. */
  missingSinceMs: number | null = null;

  /** True if the worker has been missing too long for an outage of the list to be the cause. */
  removed = false;

  /** True if the entry is too old for a worker that does not guard its room. */
  isEntryOutdated = false;

  /** No task is started before this time, because the worker refused a start or is slow. */
  backoffUntilMs = 0;

  /** Start of the process that answered last, in Unix milliseconds; 0 before its first answer. */
  processStartMs = 0;

  /** True from the first answer of another process until the worker lists its runs. */
  isReplaced = false;

  /** All leases granted to the worker have expired by this time, even if its clock runs slowly. */
  leasesEndMs = 0;

  #slowness = 1;

  constructor(entry: WorkerEntry) {
    this.entry = entry;
    this.health = new WorkerHealth(
      { health: true, slowStart: false },
      { consecutiveFailureLimit: FAILURES_TO_AVOID },
    );
  }

  /** Run time on this worker divided by that on an average worker. */
  get slowness(): number {
    return this.#slowness;
  }

  get usedCpuMillis(): number {
    let used = 0;
    this.runs.forEach((run) => {
      used += this.occupiedCpuMillis(run);
    });
    return used;
  }

  /** CPU that a run keeps from others. */
  occupiedCpuMillis({ isolation, shape }: Run): number {
    const isExclusive = isolation === Isolation.exclusive;
    return isExclusive ? Math.max(shape.cpuMillis, this.entry.cpuMillis) : shape.cpuMillis;
  }

  /** The strongest isolation of its runs. */
  get isolation(): Isolation {
    let isolation: Isolation = Isolation.none;
    this.runs.forEach((run) => {
      if (isolation !== Isolation.exclusive && run.isolation !== Isolation.none) {
        isolation = run.isolation;
      }
    });
    return isolation;
  }

  /** CPU that no run occupies; below 0 while the runs exceed a capacity that has shrunk. */
  get unusedCpuMillis(): number {
    return this.entry.cpuMillis - this.usedCpuMillis;
  }

  get freeCpuMillis(): number {
    return Math.max(0, this.unusedCpuMillis);
  }

  /**
   * True while the worker has a run that no batch waits for: one that a previous owner started and
   * no submitter has claimed, or one whose batch has ended and whose stop is not confirmed. A lease
   * granted now would also cover that run, although its submitter may be gone and its client relies
   * on the run ending with the last lease granted by an owner that had its batch.
   */
  get hasOrphanedRun(): boolean {
    return [...this.runs.values()].some(
      ({ batchId, awaited, stopConfirmedAtMs }) =>
        !awaited && (batchId === null || stopConfirmedAtMs === null),
    );
  }

  /** Time after `nowMs` at which the next run is overdue; Infinity if none will be. */
  nextOverdueAtMs(nowMs: number): number {
    return [...this.runs.values()].reduce((earliestMs, run) => {
      const isAwaited = run.awaited && run.state !== RunState.stopping;
      const atMs = overdueAtMs(run);
      return isAwaited && atMs > nowMs ? Math.min(earliestMs, atMs) : earliestMs;
    }, Infinity);
  }

  /** Keeps a run that no batch waits for any more and whose stop is not confirmed. */
  retainReleased(run: Run): void {
    this.runs.set(runKey(run.task, run.run), {
      ...run,
      batchId: null,
      awaited: false,
      released: true,
      state: RunState.stopping,
      stopUnanswered: true,
    });
  }

  /** Removes what is kept only because a start may still be delivered, once it can't be. */
  removeExpiredStarts(nowMs: number): void {
    this.unansweredStarts.removeExpired(nowMs);
    this.runs.forEach((run, key) => {
      if (run.released && nowMs - run.startedAtMs > MAX_START_DELAY_MS) this.runs.delete(key);
    });
  }

  /**
   * True if the entry was written by the process that answers. A worker may restart under its id
   * with other labels, another capacity or for another service, and its entry is read with a lag.
   */
  get hasCurrentEntry(): boolean {
    return this.entry.processStartMs === this.processStartMs;
  }

  /** True if tasks may be started on the worker now. */
  isAvailable(nowMs: number): boolean {
    const { entry, health } = this;
    if (!this.reachable || !this.hasCurrentEntry) return false;
    if (this.unansweredStarts.mayArrive) return false;
    if (entry.draining || this.removed || this.isEntryOutdated) return false;
    return nowMs >= this.backoffUntilMs && this.runs.size < health.limit(Infinity);
  }

  /** True if the worker could run the task if it were idle. */
  couldRun(shape: TaskShape): boolean {
    const { cpuMillis, memoryMb, accelerators, labels } = this.entry;
    return (
      shape.cpuMillis <= cpuMillis &&
      shape.memoryMb <= memoryMb &&
      shape.accelerators <= accelerators &&
      (shape.requiredLabel === null || labels.includes(shape.requiredLabel))
    );
  }

  /** True if the worker has room for the task beside its current runs. */
  hasRoom(shape: TaskShape): boolean {
    if (this.isolation === Isolation.exclusive) return false;
    let { cpuMillis, memoryMb, accelerators } = this.entry;
    this.runs.forEach((run) => {
      cpuMillis -= run.shape.cpuMillis;
      memoryMb -= run.shape.memoryMb;
      accelerators -= run.shape.accelerators;
    });
    return (
      shape.cpuMillis <= cpuMillis &&
      shape.memoryMb <= memoryMb &&
      shape.accelerators <= accelerators
    );
  }

  /** True for some time after the worker has stopped answering, because it may do so again. */
  isUnstable(nowMs: number): boolean {
    return nowMs - this.silentAtMs < UNSTABLE_MS;
  }

  /** Updates the slowness with the ratio of a run time to the expected one. */
  learnSlowness(ratio: number): void {
    const bounded = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, ratio));
    this.#slowness *= (bounded / this.#slowness) ** SLOWNESS_SMOOTHING;
  }

  /** Resets everything learned about the worker, because its process has restarted. */
  restart(): void {
    this.health.reset();
    this.#slowness = 1;
    this.backoffUntilMs = 0;
    this.processStartMs = 0;
    this.isReplaced = true;
  }
}
