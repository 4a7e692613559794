/**
 * Maps the answer of a submission to an HTTP answer. `notRun` is sent only if the submission's
 * answer has it. Without it, a refusal whose problem type would imply it is reported as
 * `outcome-unknown`.
 */
import { Outcome, Reason, TaskState } from '../core/job';
import type { JobAnswer } from '../core/job';
import { json, problem, ProblemType } from './callerProblem';
import type { HttpAnswer } from './callerProblem';

/** Used when a refusal does not specify a time after which to retry. */
const DEFAULT_RETRY_AFTER_MS = 1000;

/** Status of each problem type. An invalid request may also get 404, 405, 413 or 415. */
export const PROBLEM_STATUS: Readonly<Record<ProblemType, number>> = {
  [ProblemType.jobFailed]: 500,
  [ProblemType.overloaded]: 503,
  [ProblemType.teamOverLimit]: 429,
  [ProblemType.impossibleJob]: 422,
  [ProblemType.draining]: 503,
  [ProblemType.cancelled]: 409,
  [ProblemType.invalidRequest]: 400,
  [ProblemType.invalidKey]: 400,
  [ProblemType.keyExpired]: 410,
  [ProblemType.keyReused]: 422,
  [ProblemType.outcomeUnknown]: 504,
};

/** Problem type of a submission that was refused, by its reason. */
const PROBLEM_BY_REASON: Readonly<Record<Reason, ProblemType>> = {
  [Reason.overloaded]: ProblemType.overloaded,
  [Reason.teamOverLimit]: ProblemType.teamOverLimit,
  [Reason.impossibleJob]: ProblemType.impossibleJob,
  [Reason.draining]: ProblemType.draining,
  [Reason.unknownTeam]: ProblemType.invalidRequest,
  [Reason.unknownKind]: ProblemType.invalidRequest,
  [Reason.keyRequired]: ProblemType.invalidKey,
  [Reason.invalidKey]: ProblemType.invalidKey,
  [Reason.keyExpired]: ProblemType.keyExpired,
  [Reason.keyReused]: ProblemType.keyReused,
  [Reason.deadline]: ProblemType.overloaded,
  [Reason.taskFailed]: ProblemType.jobFailed,
  [Reason.taskUnknown]: ProblemType.jobFailed,
  [Reason.cancelled]: ProblemType.cancelled,
  [Reason.issuerUnreachable]: ProblemType.outcomeUnknown,
  [Reason.noConfiguration]: ProblemType.overloaded,
  [Reason.answerDropped]: ProblemType.outcomeUnknown,
};

const DETAILS: Readonly<Record<Reason, string>> = {
  [Reason.overloaded]: 'The job would wait too long for a free slot.',
  [Reason.teamOverLimit]: 'The team uses its share or quota and the fleet has no slots left over.',
  [Reason.impossibleJob]: 'Its resources exceed those of every worker.',
  [Reason.draining]: 'The host is shutting down; submit the job to another host.',
  [Reason.unknownTeam]: 'The configuration has no such team.',
  [Reason.unknownKind]: 'The configuration has no such kind for the team.',
  [Reason.keyRequired]: 'Jobs of this kind need a key from POST /v1/keys.',
  [Reason.invalidKey]: 'The key was not issued by this service.',
  [Reason.keyExpired]: 'The key has expired; it is not known whether its job ran.',
  [Reason.keyReused]: 'The key belongs to a job with a different body.',
  [Reason.deadline]: 'The deadline left no time for the job.',
  [Reason.taskFailed]: 'A task failed.',
  [Reason.taskUnknown]: 'It is not known whether a task ran.',
  [Reason.cancelled]: 'The job was cancelled.',
  [Reason.issuerUnreachable]: 'The host that issued the key can not be reached.',
  [Reason.noConfiguration]: 'The host has no configuration in force yet.',
  [Reason.answerDropped]: 'The job has ended and its results are no longer kept.',
};

/** Problem types that imply that no task ran. */
const NOT_RUN_TYPES: ReadonlySet<ProblemType> = new Set([
  ProblemType.overloaded,
  ProblemType.teamOverLimit,
  ProblemType.impossibleJob,
  ProblemType.draining,
  ProblemType.cancelled,
]);

/** Problem types of errors in the request; they take precedence over the outcome. */
const REQUEST_TYPES: ReadonlySet<ProblemType> = new Set([
  ProblemType.invalidRequest,
  ProblemType.invalidKey,
  ProblemType.keyExpired,
  ProblemType.keyReused,
]);

const RETRY_TYPES: ReadonlySet<ProblemType> = new Set([
  ProblemType.overloaded,
  ProblemType.teamOverLimit,
]);

/** Returns the problem type for the answer of a submission that lacks results. */
export function problemTypeOf(answer: JobAnswer): ProblemType {
  const { outcome, reason, notRun } = answer;
  const type = reason === undefined ? null : PROBLEM_BY_REASON[reason];
  if (type !== null && REQUEST_TYPES.has(type)) return type;
  if (outcome === Outcome.failed) return ProblemType.jobFailed;
  if (outcome === Outcome.cancelled) {
    return notRun ? ProblemType.cancelled : ProblemType.jobFailed;
  }
  if (outcome === Outcome.refused) {
    const refusal = type ?? ProblemType.overloaded;
    return NOT_RUN_TYPES.has(refusal) && !notRun ? ProblemType.outcomeUnknown : refusal;
  }
  return ProblemType.outcomeUnknown;
}

function hasAllResults(answer: JobAnswer): boolean {
  return (
    answer.outcome === Outcome.complete &&
    answer.reason !== Reason.answerDropped &&
    answer.tasks.every((task) => task.state === TaskState.succeeded)
  );
}

function findingsOf(reason: Reason | undefined): Readonly<Record<string, unknown>> {
  if (reason !== Reason.unknownTeam && reason !== Reason.unknownKind) return {};
  const path = reason === Reason.unknownTeam ? 'team' : 'kind';
  return { findings: [{ path, message: DETAILS[reason] }] };
}

/** Returns 200 with the results if the job is complete and has them all, and a problem otherwise. */
export function toHttpAnswer(answer: JobAnswer): HttpAnswer {
  const { outcome, key, notRun, reason, tasks } = answer;
  if (hasAllResults(answer)) {
    const results = tasks.map(({ id, result }) => ({ id, result: result ?? null }));
    return json(200, { outcome, key, results });
  }
  const type = problemTypeOf(answer);
  const retryAfterMs =
    answer.retryAfterMs ?? (RETRY_TYPES.has(type) ? DEFAULT_RETRY_AFTER_MS : undefined);
  return problem(type, PROBLEM_STATUS[type], {
    ...(reason === undefined ? {} : { detail: DETAILS[reason], reason }),
    outcome,
    ...(key === '' ? {} : { key }),
    ...(notRun ? { notRun: true as const } : {}),
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    ...findingsOf(reason),
    ...(tasks.length === 0 ? {} : { tasks }),
  });
}

/**
 * Returns the answer for an exception in the dispatcher, after which the job's state is unknown.
 */
export function internalErrorAnswer(): HttpAnswer {
  const detail = 'The host failed while it handled the request.';
  return problem(ProblemType.outcomeUnknown, PROBLEM_STATUS[ProblemType.outcomeUnknown], {
    detail,
  });
}
