/**
 * One worker as the owner of its cell sees it: what it is, what runs on it, how fast it is, and whether
 * it may be given more. Its health is judged by `WorkerHealth`.
 */
import { WorkerHealth } from '../core/health';
import type { TaskShape } from './job';
import { runKey, RunState, type Run } from './run';

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
}

/** Failures in a row that make a worker suspect: a task has few attempts to spare. */
const FAILURES_TO_AVOID = 2;
const SLOWNESS_SMOOTHING = 0.12;
const SLOWNESS_LEAST = 0.2;
const SLOWNESS_MOST = 20;

/**
 * A start without an answer is carried out within this time, or never. The platform says seconds; 12
 * have been seen.
 */
const LATE_START_MS = 30_000;

/** State of one worker in its cell. */
export class CellWorker {
  entry: WorkerEntry;

  readonly runs = new Map<string, Run>();

  readonly health: WorkerHealth;

  /** True while it answers. Nothing is started on a worker that has not answered yet. */
  reachable = false;

  /** Time since when the list lacks it; null while it is listed. */
  missingSinceMs: number | null = null;

  /** It has been missing for too long to be an effect of an outage of the list. */
  gone = false;

  /** Until then nothing is started on it, because it refused or runs slowly. */
  restUntilMs = 0;

  /** All leases given to it are over by then, also on a slow clock of its own. */
  leasesEndMs = 0;

  #slowness = 1;

  constructor(entry: WorkerEntry) {
    this.entry = entry;
    this.health = new WorkerHealth(
      { health: true, slowStart: false },
      { consecutiveFailureLimit: FAILURES_TO_AVOID },
    );
  }

  /** Run time here over that on an ordinary worker. */
  get slowness(): number {
    return this.#slowness;
  }

  get usedCpuMillis(): number {
    let used = 0;
    this.runs.forEach((run) => {
      used += run.shape.cpuMillis;
    });
    return used;
  }

  get freeCpuMillis(): number {
    return Math.max(0, this.entry.cpuMillis - this.usedCpuMillis);
  }

  /**
   * True while a run is here that no batch waits for: a previous owner started it and no submitter has
   * claimed it, or its batch has ended and its stop is not confirmed. A lease that is given now would
   * cover it as well, and its submitter may be gone: its client relies on it being over with the last
   * lease that an owner with its batch gave.
   */
  get holdsLeftOver(): boolean {
    return [...this.runs.values()].some(
      ({ batchId, awaited, stopConfirmedAtMs }) =>
        !awaited && (batchId === null || stopConfirmedAtMs === null),
    );
  }

  /** Remembers a run that no batch waits for any more and whose stop is not confirmed. */
  keepReleased(run: Run): void {
    this.runs.set(runKey(run.task, run.run), {
      ...run,
      batchId: null,
      awaited: false,
      released: true,
      state: RunState.stopping,
      stopUnanswered: true,
    });
  }

  forgetReleased(nowMs: number): void {
    this.runs.forEach((run, key) => {
      if (run.released && nowMs - run.startedAtMs > LATE_START_MS) this.runs.delete(key);
    });
  }

  /** True if new tasks may be started here. */
  isOpen(nowMs: number): boolean {
    const { entry, health } = this;
    if (!this.reachable || entry.draining || this.gone) return false;
    return nowMs >= this.restUntilMs && this.runs.size < health.limit(Infinity);
  }

  /** True if the worker could run the task when nothing else ran on it. */
  couldRun(shape: TaskShape): boolean {
    const { cpuMillis, memoryMb, accelerators, labels } = this.entry;
    return (
      shape.cpuMillis <= cpuMillis &&
      shape.memoryMb <= memoryMb &&
      shape.accelerators <= accelerators &&
      (shape.requiredLabel === null || labels.includes(shape.requiredLabel))
    );
  }

  /** True if there is room for the task beside all that runs. */
  hasRoom(shape: TaskShape): boolean {
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

  /** Takes the ratio of a run time to the expected one. */
  learnSlowness(ratio: number): void {
    const bounded = Math.min(SLOWNESS_MOST, Math.max(SLOWNESS_LEAST, ratio));
    this.#slowness *= (bounded / this.#slowness) ** SLOWNESS_SMOOTHING;
  }

  /** The worker's process has started again: what was learned of it is void. */
  restart(): void {
    this.health.reset();
    this.#slowness = 1;
    this.restUntilMs = 0;
  }
}
