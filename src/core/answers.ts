/** Builds the answers to calls. Only this module and `SubmissionTable` set `notRun`. */
import { Outcome, Reason, type JobAnswer } from './job';
import type { Submission } from './submission';

const DEFAULT_RETRY_AFTER_MS = 1000;

/** Reasons after which it is not known whether the job has run. */
const UNKNOWN_REASONS: ReadonlySet<Reason> = new Set([Reason.issuerUnreachable, Reason.keyExpired]);

/** Reasons that cease by themselves, so that the caller is told when to retry. */
const TRANSIENT_REASONS: ReadonlySet<Reason> = new Set([
  Reason.draining,
  Reason.noConfiguration,
  Reason.overloaded,
]);

/** Answer to a submission of which all tasks have succeeded. */
export function completeAnswer(submission: Submission): JobAnswer {
  return {
    outcome: Outcome.complete,
    key: submission.key,
    notRun: false,
    tasks: submission.reports(),
  };
}

/**
 * Answer to a submission of which not all tasks have succeeded. Once a task has started, the
 * outcome is `failed`, whichever was asked for.
 */
export function incompleteAnswer(
  submission: Submission,
  outcome: Outcome,
  reason: Reason,
  retryAfterMs?: number,
): JobAnswer {
  const notRun = !submission.begun;
  const defaultMs = TRANSIENT_REASONS.has(reason) ? DEFAULT_RETRY_AFTER_MS : undefined;
  const waitMs = notRun ? (retryAfterMs ?? defaultMs) : undefined;
  return {
    outcome: notRun ? outcome : Outcome.failed,
    key: submission.key,
    notRun,
    reason,
    ...(waitMs === undefined ? {} : { retryAfterMs: waitMs }),
    tasks: submission.reports(),
  };
}

/** Answer to a call that creates no submission on this host. */
export function refusalAnswer(key: string, reason: Reason): JobAnswer {
  const unknown = UNKNOWN_REASONS.has(reason);
  return {
    outcome: unknown ? Outcome.unknown : Outcome.refused,
    key,
    notRun: !unknown,
    reason,
    ...(TRANSIENT_REASONS.has(reason) ? { retryAfterMs: DEFAULT_RETRY_AFTER_MS } : {}),
    tasks: [],
  };
}

/** Answer to a call whose key belongs to another job, which may have run. */
export function keyReusedAnswer(key: string): JobAnswer {
  return { outcome: Outcome.refused, key, notRun: false, reason: Reason.keyReused, tasks: [] };
}

/** Answer to an inquiry about a key that has no submission here. */
export function unusedKeyAnswer(key: string): JobAnswer {
  return { outcome: Outcome.unknown, key, notRun: false, reason: Reason.invalidKey, tasks: [] };
}
