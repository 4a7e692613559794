/** A job that lasts for some time, and the check of the rule UNASKED after it was cancelled. */
import type { Answer } from './client';
import type { JobBody, Ledger } from './ledger';

/** Bounds of the site files, in milliseconds. */
const CANCEL_MS = 3000;
const STOP_TIMEOUT_MS = 50;

const STEPS = 10;
const STEP_MS = 900;
/** Answers that acknowledge a cancel. */
const ACKNOWLEDGING_STATUSES: ReadonlySet<number> = new Set([200, 410]);

/** A job of steps that follow each other, for nine seconds in all. */
export const STEP_JOB: JobBody = {
  spec: String(STEP_MS),
  bestEffort: true,
  steps: Array.from({ length: STEPS }, (_, index) => ({
    count: 4,
    cpu: 27_000,
    memMb: 64,
    estimateMs: STEP_MS,
    ...(index === 0 ? {} : { after: [index - 1] }),
  })),
};

/** Runs that began or went on too late; throws if the cancel was not acknowledged. */
export function lateRuns(
  ledger: Ledger,
  jobId: string,
  cancelled: Answer,
  acknowledgedAtMs: number,
): readonly string[] {
  if (cancelled === null || !ACKNOWLEDGING_STATUSES.has(cancelled.status)) {
    throw new Error(`the cancel was not acknowledged: ${cancelled?.status}`);
  }
  const startLimitMs = acknowledgedAtMs + CANCEL_MS;
  return ledger.runsOfJob(jobId).flatMap(({ task, run, worker, beganAtMs, endedAtMs }) => {
    const name = `${task} run ${run} on ${worker}`;
    const acknowledged = `after DELETE was answered with ${cancelled.status}`;
    if (beganAtMs > startLimitMs) {
      return [`${name} began ${Math.round(beganAtMs - acknowledgedAtMs)} ms ${acknowledged}`];
    }
    const isLate = (endedAtMs ?? Infinity) > startLimitMs + STOP_TIMEOUT_MS;
    return isLate ? [`${name} ran on for more than ${CANCEL_MS} ms ${acknowledged}`] : [];
  });
}
