/** Slot-time over a run, by the workers' record of starts, and the time that goodput takes to return. */
import type { RunRecord, StartRecord } from './records';

const BIN_MS = 50;
const WINDOW_MS = 1000;
const RECOVERED = 0.95;

/** Sums of slot-time in bins of `BIN_MS`. */
export class SlotTime {
  readonly #bins: number[];

  constructor(starts: readonly StartRecord[], endMs: number) {
    this.#bins = Array.from({ length: Math.ceil(endMs / BIN_MS) + 1 }, () => 0);
    starts.forEach(({ startedAtMs, endedAtMs }) => this.#add(startedAtMs, endedAtMs ?? endMs));
  }

  /** Slot-time used between two times, to whole bins. */
  between(fromMs: number, untilMs: number): number {
    return this.#bins
      .slice(Math.round(fromMs / BIN_MS), Math.round(untilMs / BIN_MS))
      .reduce((sum, each) => sum + each, 0);
  }

  #add(fromMs: number, untilMs: number): void {
    let atMs = fromMs;
    while (atMs < untilMs) {
      const bin = Math.floor(atMs / BIN_MS);
      const endMs = Math.min(untilMs, (bin + 1) * BIN_MS);
      if (bin < this.#bins.length) {
        this.#bins[bin] = (this.#bins[bin] ?? 0) + endMs - atMs;
      }
      atMs = endMs;
    }
  }
}

/** Starts of jobs whose answer was complete. */
export function usefulStarts(record: RunRecord): readonly StartRecord[] {
  const complete = new Set(
    record.calls.filter(({ answer }) => answer?.outcome === 'complete').map(({ jobId }) => jobId),
  );
  return record.starts.filter(({ jobId, end }) => end === 'succeeded' && complete.has(jobId));
}

/**
 * Time from `faultMs` until useful slot-time over one second is back at 0.95 of the best possible,
 * and stays there for the next second. Infinity if that doesn't happen before `untilMs`.
 */
export function recoveryMs(
  actual: SlotTime,
  best: SlotTime,
  faultMs: number,
  untilMs: number,
): number {
  const good = (fromMs: number): boolean =>
    actual.between(fromMs, fromMs + WINDOW_MS) >=
    RECOVERED * best.between(fromMs, fromMs + WINDOW_MS);
  for (let atMs = faultMs; atMs + 2 * WINDOW_MS <= untilMs; atMs += BIN_MS) {
    if (good(atMs) && good(atMs + WINDOW_MS)) {
      return atMs - faultMs;
    }
  }
  return Number.POSITIVE_INFINITY;
}
