/**
 * Forecasts when the tasks of a new batch would end, by playing the starts ahead of it and its own
 * against the expected ends of what runs. Each worker is played with its own room, so that processor
 * left over in pieces that are too small does not count.
 */
import type { CellWorker } from './worker';

/** Tasks of one size that are started one after the other. */
export interface Demand {
  readonly tasks: number;
  readonly cpuMillis: number;
  readonly expectedMs: number;
}

interface Release {
  readonly atMs: number;
  readonly cpuMillis: number;
}

interface Lane {
  freeCpuMillis: number;
  readonly slowness: number;
  /** In order of time. */
  readonly releases: Release[];
}

/** A run that is overdue is expected to end after this fraction of its expected time. */
const OVERDUE_FRACTION = 0.2;

function laneOf(worker: CellWorker, nowMs: number): Lane {
  const releases = [...worker.runs.values()].map((run) => {
    const leftMs = run.startedAtMs + run.expectedMs - nowMs;
    return {
      atMs: nowMs + Math.max(leftMs, run.expectedMs * OVERDUE_FRACTION),
      cpuMillis: run.shape.cpuMillis,
    };
  });
  releases.sort((left, right) => left.atMs - right.atMs);
  return { freeCpuMillis: worker.freeCpuMillis, slowness: worker.slowness, releases };
}

/** Time from which the lane has room, without changing it. */
function roomAt(lane: Lane, cpuMillis: number, nowMs: number): number {
  let free = lane.freeCpuMillis;
  if (free >= cpuMillis) return nowMs;
  for (let index = 0; index < lane.releases.length; index += 1) {
    const release = lane.releases[index];
    free += release?.cpuMillis ?? 0;
    if (release && free >= cpuMillis) return release.atMs;
  }
  return Infinity;
}

function occupy(taken: Lane, cpuMillis: number, startMs: number, endMs: number): void {
  const lane = taken;
  const due = lane.releases.findIndex(({ atMs }) => atMs > startMs);
  const passed = lane.releases.splice(0, due < 0 ? lane.releases.length : due);
  passed.forEach((release) => {
    lane.freeCpuMillis += release.cpuMillis;
  });
  lane.freeCpuMillis -= cpuMillis;
  const at = lane.releases.findIndex(({ atMs }) => atMs > endMs);
  lane.releases.splice(at < 0 ? lane.releases.length : at, 0, { atMs: endMs, cpuMillis });
}

function playOne(lanes: readonly Lane[], demand: Demand, nowMs: number): number {
  let best: Lane | null = null;
  let bestAtMs = Infinity;
  lanes.forEach((lane) => {
    const atMs = roomAt(lane, demand.cpuMillis, nowMs);
    if (atMs < bestAtMs) {
      best = lane;
      bestAtMs = atMs;
    }
  });
  if (best === null) return Infinity;
  const lane: Lane = best;
  const endMs = bestAtMs + demand.expectedMs * lane.slowness;
  occupy(lane, demand.cpuMillis, bestAtMs, endMs);
  return endMs;
}

/** Time at which the last task of `demand` would end, after the demands ahead of it; or Infinity. */
export function forecastEndMs(
  workers: readonly CellWorker[],
  ahead: readonly Demand[],
  demand: Demand,
  nowMs: number,
): number {
  const lanes = workers.map((worker) => laneOf(worker, nowMs));
  ahead.forEach((other) => {
    for (let count = 0; count < other.tasks; count += 1) playOne(lanes, other, nowMs);
  });
  let lastMs = nowMs;
  for (let count = 0; count < demand.tasks; count += 1) {
    lastMs = Math.max(lastMs, playOne(lanes, demand, nowMs));
  }
  return lastMs;
}
