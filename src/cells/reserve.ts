/**
 * How much room a cell must leave free for work that arrives later. A wide job needs several places
 * at once, within its slack. Runs that are expected to end by then make room for it; only what is
 * missing beyond them has to be left free.
 */
import type { TypicalBatch } from './arrivals';
import type { CellWorker } from './worker';

/** Width of a wide batch of a queue, as a multiple of an average one. */
const WIDE_FACTOR = 2;

function releasedCpuMillis(workers: readonly CellWorker[], untilMs: number): number {
  let released = 0;
  workers.forEach((worker) =>
    worker.runs.forEach((run) => {
      const endsAtMs = run.startedAtMs + run.expectedMs;
      if (endsAtMs <= untilMs) released += worker.occupiedCpuMillis(run);
    }),
  );
  return released;
}

/** Largest CPU that a wide batch of some queue would lack if no room were free now. */
export function reserveShortfall(
  batches: readonly TypicalBatch[],
  workers: readonly CellWorker[],
  nowMs: number,
): number {
  const shortfalls = batches.map(
    ({ cpuMillis, slackMs }) =>
      WIDE_FACTOR * cpuMillis - releasedCpuMillis(workers, nowMs + slackMs),
  );
  return Math.max(0, ...shortfalls);
}
