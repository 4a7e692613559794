/**
 * Reads the progress that workers report. Declared run times are off by tens of percent, so a run that
 * takes long may only belong to a large job: a worker is held to be slow when runs of the same job are
 * much faster elsewhere, or when several jobs crawl on it.
 */
import { RunState, type Run } from './run';

/** Shorter times and less progress say too little, because progress comes in whole percents. */
const OBSERVED_MIN_MS = 100;
const PERCENT_MIN = 10;
const PERCENT_ALL = 100;
/** A run that makes no progress for this fraction of its expected time, and a margin, has stalled. */
const STALL_FRACTION = 0.5;
const STALL_MARGIN_MS = 100;
/** A run is slow when it takes this many times as long as its reference. */
const SLOW_RATIO = 2.2;
/** Time to stop a run and to hear of its end. */
const STOP_COST_MS = 60;

/** True if a run has made no progress for much longer than it should have. */
export function isStalled(run: Run): boolean {
  if (run.state !== RunState.running) return false;
  const stalledMs = run.reportedAtMs - run.progressAtMs;
  return stalledMs > STALL_MARGIN_MS + STALL_FRACTION * run.expectedMs;
}

/** Run time that the reported progress points to; null while too little is known. */
export function projectedMs(run: Run): number | null {
  const elapsedMs = run.reportedAtMs - run.startedAtMs;
  if (run.state !== RunState.running || run.percent < PERCENT_MIN) return null;
  if (elapsedMs < OBSERVED_MIN_MS) return null;
  return (elapsedMs * PERCENT_ALL) / run.percent;
}

/** Projected over expected run time; 1 is as expected, null while too little is known. */
export function slownessOf(run: Run): number | null {
  const totalMs = projectedMs(run);
  return totalMs === null || run.expectedMs <= 0 ? null : totalMs / run.expectedMs;
}

function median(values: readonly number[]): number | null {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? null;
}

function known(runs: readonly Run[]): readonly number[] {
  return runs.map(slownessOf).filter((ratio): ratio is number => ratio !== null);
}

/** What a run is compared with. */
export interface Comparison {
  /** Runs of the same job on other workers. */
  readonly siblings: readonly Run[];
  /** Runs of other jobs on the same worker. */
  readonly neighbours: readonly Run[];
}

/** True if the worker, and not the job, makes the run slow. */
export function isSlowedByWorker(run: Run, { siblings, neighbours }: Comparison): boolean {
  if (isStalled(run)) return true;
  const ratio = slownessOf(run);
  if (ratio === null || ratio < SLOW_RATIO) return false;
  const elsewhere = median(known(siblings));
  if (elsewhere !== null) return ratio > SLOW_RATIO * elsewhere;
  const here = median(known(neighbours));
  return here !== null && here > SLOW_RATIO;
}

/** True if a new run elsewhere would end before this one. */
export function isWorthMoving(run: Run, expectedElsewhereMs: number, nowMs: number): boolean {
  const totalMs = isStalled(run) ? Infinity : projectedMs(run);
  if (totalMs === null) return false;
  return run.startedAtMs + totalMs - nowMs > STOP_COST_MS + expectedElsewhereMs;
}

/** True if the progress so far shows that the run can't end in time. */
export function isTooSlowFor(run: Run, deadlineAtMs: number): boolean {
  const totalMs = projectedMs(run);
  return totalMs !== null && run.startedAtMs + totalMs > deadlineAtMs;
}
