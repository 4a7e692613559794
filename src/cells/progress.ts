/**
 * Evaluates the progress that workers report. Declared run times are off by tens of percent, so a
 * run that takes long may simply belong to a large job. A worker counts as slow only when runs of
 * the same job are much faster on other workers, or when runs of other jobs on it are slow too.
 */
import { RunState, type Run } from './run';

/** Minimum elapsed time and progress for a projection; progress is reported in whole percents. */
const MIN_ELAPSED_MS = 100;
const MIN_PERCENT = 10;
const PERCENT_COMPLETE = 100;
/** A run has stalled after no progress for this fraction of its expected run time plus a margin. */
const STALL_FRACTION = 0.5;
const STALL_MARGIN_MS = 100;
/** A run is slow if it takes this many times as long as expected and as the runs of its job. */
const SLOW_RATIO = 2.2;
/** Time to stop a run and receive its end. */
const STOP_COST_MS = 60;

/** True if a run has made no progress for much longer than expected. */
export function isStalled(run: Run): boolean {
  if (run.state !== RunState.running) return false;
  const stalledMs = run.reportedAtMs - run.progressAtMs;
  return stalledMs > STALL_MARGIN_MS + STALL_FRACTION * run.expectedMs;
}

/** Total run time projected from the reported progress; null while there is too little data. */
export function projectedMs(run: Run): number | null {
  const elapsedMs = run.reportedAtMs - run.startedAtMs;
  if (run.state !== RunState.running || run.percent < MIN_PERCENT) return null;
  if (elapsedMs < MIN_ELAPSED_MS) return null;
  return (elapsedMs * PERCENT_COMPLETE) / run.percent;
}

/** Projected divided by expected run time; null while there is too little data. */
export function slownessOf(run: Run): number | null {
  const totalMs = projectedMs(run);
  return totalMs === null || run.expectedMs <= 0 ? null : totalMs / run.expectedMs;
}

function median(values: readonly number[]): number | null {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? null;
}

function knownSlowness(runs: readonly Run[]): readonly number[] {
  return runs.map(slownessOf).filter((ratio): ratio is number => ratio !== null);
}

/** Runs with which a run is compared. */
export interface Comparison {
  /** Runs of the same job on other workers. */
  readonly siblings: readonly Run[];
  /** Runs of other jobs on the same worker. */
  readonly neighbours: readonly Run[];
}

/** True if the run is slow because of its worker and not because of its job. */
export function isSlowedByWorker(run: Run, { siblings, neighbours }: Comparison): boolean {
  if (isStalled(run)) return true;
  const ratio = slownessOf(run);
  if (ratio === null || ratio < SLOW_RATIO) return false;
  const elsewhere = median(knownSlowness(siblings));
  if (elsewhere !== null) return ratio > SLOW_RATIO * elsewhere;
  const here = median(knownSlowness(neighbours));
  return here !== null && here > SLOW_RATIO;
}

/** True if a new run on another worker would end before this one. */
export function isWorthMoving(run: Run, expectedElsewhereMs: number, nowMs: number): boolean {
  const totalMs = isStalled(run) ? Infinity : projectedMs(run);
  if (totalMs === null) return false;
  return run.startedAtMs + totalMs - nowMs > STOP_COST_MS + expectedElsewhereMs;
}

/** True if the run is projected to end after the deadline. */
export function willMissDeadline(run: Run, deadlineAtMs: number): boolean {
  const totalMs = projectedMs(run);
  return totalMs !== null && run.startedAtMs + totalMs > deadlineAtMs;
}
