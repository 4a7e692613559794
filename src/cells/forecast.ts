/**
 * Forecasts when the tasks of a new batch would end, by simulating the starts of the work ahead of
 * it and of its own tasks against the expected ends of current runs. Each worker is simulated
 * separately, so that fragments of free CPU that are too small for a task do not count.
 */
import type { CellWorker } from './worker';

/** A number of tasks of the same size. */
export interface Demand {
  readonly tasks: number;
  readonly cpuMillis: number;
  readonly expectedMs: number;
}

/** CPU that becomes free when a run ends. */
interface CapacityRelease {
  readonly atMs: number;
  readonly cpuMillis: number;
}

/** Simulated state of one worker. */
interface WorkerTimeline {
  /**
   * CPU that is free from `fromMs`, the latest start so far, until the first release; below 0 while
   * the runs exceed the capacity.
   */
  freeCpuMillis: number;
  fromMs: number;
  readonly slowness: number;
  /** Ordered by time. */
  readonly releases: CapacityRelease[];
}

/** An overdue run is expected to end after this fraction of its expected run time. */
const OVERDUE_FRACTION = 0.2;

function timelineOf(worker: CellWorker, nowMs: number): WorkerTimeline {
  const releases = [...worker.runs.values()].map((run) => {
    const leftMs = run.startedAtMs + run.expectedMs - nowMs;
    return {
      atMs: nowMs + Math.max(leftMs, run.expectedMs * OVERDUE_FRACTION),
      cpuMillis: worker.occupiedCpuMillis(run),
    };
  });
  releases.sort((left, right) => left.atMs - right.atMs);
  const { unusedCpuMillis, slowness } = worker;
  return { freeCpuMillis: unusedCpuMillis, fromMs: nowMs, slowness, releases };
}

/** Earliest time at which the worker has room for a task; does not modify the timeline. */
function earliestStartMs(timeline: WorkerTimeline, cpuMillis: number): number {
  let free = timeline.freeCpuMillis;
  if (free >= cpuMillis) return timeline.fromMs;
  for (let index = 0; index < timeline.releases.length; index += 1) {
    const release = timeline.releases[index];
    free += release?.cpuMillis ?? 0;
    if (release && free >= cpuMillis) return release.atMs;
  }
  return Infinity;
}

function allocate(target: WorkerTimeline, cpuMillis: number, startMs: number, endMs: number): void {
  const timeline = target;
  timeline.fromMs = startMs;
  const firstLater = timeline.releases.findIndex(({ atMs }) => atMs > startMs);
  const passed = timeline.releases.splice(
    0,
    firstLater < 0 ? timeline.releases.length : firstLater,
  );
  passed.forEach((release) => {
    timeline.freeCpuMillis += release.cpuMillis;
  });
  timeline.freeCpuMillis -= cpuMillis;
  const insertAt = timeline.releases.findIndex(({ atMs }) => atMs > endMs);
  timeline.releases.splice(insertAt < 0 ? timeline.releases.length : insertAt, 0, {
    atMs: endMs,
    cpuMillis,
  });
}

/** Starts a task where it can start first; returns its end, or Infinity if it never finds room. */
function simulateTask(timelines: readonly WorkerTimeline[], demand: Demand): number {
  let best: WorkerTimeline | null = null;
  let bestAtMs = Infinity;
  timelines.forEach((timeline) => {
    const atMs = earliestStartMs(timeline, demand.cpuMillis);
    if (atMs < bestAtMs) {
      best = timeline;
      bestAtMs = atMs;
    }
  });
  if (best === null) return Infinity;
  const timeline: WorkerTimeline = best;
  const endMs = bestAtMs + demand.expectedMs * timeline.slowness;
  allocate(timeline, demand.cpuMillis, bestAtMs, endMs);
  return endMs;
}

/**
 * Times at which the tasks of `demand` would end if `ahead` is started first, in order of their
 * starts; Infinity for a task that never finds room.
 */
export function forecastEndsMs(
  workers: readonly CellWorker[],
  ahead: readonly Demand[],
  demand: Demand,
  nowMs: number,
): readonly number[] {
  const timelines = workers.map((worker) => timelineOf(worker, nowMs));
  ahead.forEach((other) => {
    for (let count = 0; count < other.tasks; count += 1) simulateTask(timelines, other);
  });
  return Array.from({ length: demand.tasks }, () => simulateTask(timelines, demand));
}
