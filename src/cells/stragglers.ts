/**
 * Finds runs that have stalled or crawl, by the progress that their worker reports. Moving one costs
 * the time to stop it and a whole new run, so only a run that would take much longer is moved.
 */
import { RunState, type Run } from './run';

/** A run is slow when its projected time is this many times the expected one. */
const SLOW_RATIO = 2.5;
/** Shorter run times say nothing on progress, which comes in whole percents. */
const OBSERVED_MIN_MS = 80;
/** Time to stop a run and to hear of its end. */
const STOP_COST_MS = 70;
/** A run that makes no progress for this fraction of its expected time, and a margin, has stalled. */
const STALL_FRACTION = 0.4;
const STALL_MARGIN_MS = 60;
/** Progress below one percent is reported as none. */
const PERCENT_MIN = 0.5;
const PERCENT_ALL = 100;

/** Run time that the reported progress points to; null while too little is known. */
export function projectedMs(run: Run): number | null {
  const elapsedMs = run.reportedAtMs - run.startedAtMs;
  if (run.state !== RunState.running || elapsedMs < OBSERVED_MIN_MS) return null;
  const stalledMs = run.reportedAtMs - run.progressAtMs;
  if (stalledMs > STALL_MARGIN_MS + STALL_FRACTION * run.expectedMs) return Infinity;
  return (elapsedMs * PERCENT_ALL) / Math.max(PERCENT_MIN, run.percent);
}

/** True if the run had better be stopped and started elsewhere. */
export function isStraggler(run: Run, expectedElsewhereMs: number, nowMs: number): boolean {
  const totalMs = projectedMs(run);
  if (totalMs === null || totalMs < SLOW_RATIO * expectedElsewhereMs) return false;
  const leftMs = run.startedAtMs + totalMs - nowMs;
  return leftMs > STOP_COST_MS + expectedElsewhereMs;
}
