/** Builds the answers to calls; `notRun` is set here and only here. */
import { Outcome, Reason, type JobAnswer } from './job';
import type { Submission } from './submission';

const DEFAULT_RETRY_AFTER_MS = 1000;

/** Reasons after which it is not known whether the job has run. */
const UNKNOWN_REASONS: ReadonlySet<Reason> = new Set([Reason.issuerUnreachable, Reason.keyExpired]);

/** Reasons that pass by themselves, so that the caller is told when to come back. */
const PASSING_REASONS: ReadonlySet<Reason> = new Set([
  Reason.draining,
  Reason.noConfiguration,
  Reason.overloaded,
]);

/** All tasks have succeeded. */
export function completeAnswer(submission: Submission): JobAnswer {
  return {
    outcome: Outcome.complete,
    key: submission.key,
    notRun: false,
    tasks: submission.reports(),
  };
}

/** Ends a submission that is not complete. One with a started task has failed, whatever was asked. */
export function earlyAnswer(
  submission: Submission,
  outcome: Outcome,
  reason: Reason,
  retryAfterMs?: number,
): JobAnswer {
  const notRun = !submission.begun;
  const passing = PASSING_REASONS.has(reason) ? DEFAULT_RETRY_AFTER_MS : undefined;
  const comeBackMs = notRun ? (retryAfterMs ?? passing) : undefined;
  return {
    outcome: notRun ? outcome : Outcome.failed,
    key: submission.key,
    notRun,
    reason,
    ...(comeBackMs === undefined ? {} : { retryAfterMs: comeBackMs }),
    tasks: submission.reports(),
  };
}

/** A call that leads to no submission here. */
export function refusalAnswer(key: string, reason: Reason): JobAnswer {
  const unknown = UNKNOWN_REASONS.has(reason);
  return {
    outcome: unknown ? Outcome.unknown : Outcome.refused,
    key,
    notRun: !unknown,
    reason,
    ...(PASSING_REASONS.has(reason) ? { retryAfterMs: DEFAULT_RETRY_AFTER_MS } : {}),
    tasks: [],
  };
}

/** The key belongs to another job, which may have run. */
export function keyReusedAnswer(key: string): JobAnswer {
  return { outcome: Outcome.refused, key, notRun: false, reason: Reason.keyReused, tasks: [] };
}

/** An inquiry about a key that this incarnation has not seen in use. */
export function unusedKeyAnswer(key: string): JobAnswer {
  return { outcome: Outcome.unknown, key, notRun: false, reason: Reason.invalidKey, tasks: [] };
}
