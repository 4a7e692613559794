/**
 * Checks a finished run against the invariants of docs/design.md, section 2. The truth is the
 * workers' own record of starts.
 */
import type { JobAnswer } from '../core/job';
import type { CallRecord, JobRecord, RunRecord } from './records';
import { resultOf } from './records';

/** Rules in the order of the checks. */
export const Rule = {
  /** No task of a submission starts twice. */
  doubleStart: 'doubleStart',
  /** An answer or a task report that says "not run" is true. */
  falseNotRun: 'falseNotRun',
  /** A complete answer has the own result of every task exactly once. */
  incomplete: 'incomplete',
  /** A call gets at most one answer. */
  secondAnswer: 'secondAnswer',
  /** A call to a host that stayed up gets an answer. */
  noAnswer: 'noAnswer',
} as const;
export type Rule = (typeof Rule)[keyof typeof Rule];

/** One broken rule. */
export interface Violation {
  readonly rule: Rule;
  readonly jobId: number;
  readonly detail: string;
}

/** `settled` says that the run went on long enough for every call to be answered. */
export interface OracleOptions {
  readonly settled: boolean;
}

function startCounts(record: RunRecord): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  record.starts.forEach(({ jobId, taskId }) => {
    const task = resultOf(jobId, taskId);
    counts.set(task, (counts.get(task) ?? 0) + 1);
  });
  return counts;
}

function doubleStarts(record: RunRecord): readonly Violation[] {
  const seen = new Map<string, string>();
  return record.starts.flatMap(({ jobId, taskId, attemptId, workerId }) => {
    const task = resultOf(jobId, taskId);
    const first = seen.get(task);
    const place = `${attemptId} on ${workerId}`;
    seen.set(task, first ?? place);
    const detail = `${task} started as ${first} and as ${place}`;
    return first === undefined ? [] : [{ rule: Rule.doubleStart, jobId, detail }];
  });
}

function falseNotRun(
  job: JobRecord,
  answer: JobAnswer,
  counts: ReadonlyMap<string, number>,
): readonly Violation[] {
  const started = (taskId: string): boolean => (counts.get(resultOf(job.jobId, taskId)) ?? 0) > 0;
  const claimed = answer.notRun
    ? job.plan.tasks.map((_, index) => `t${index}`)
    : answer.tasks.filter(({ state }) => state === 'notRun').map(({ id }) => id);
  return claimed.filter(started).map((taskId) => ({
    rule: Rule.falseNotRun,
    jobId: job.jobId,
    detail: `${taskId} started, but the answer (${answer.outcome}, ${answer.reason}) denies it`,
  }));
}

function incomplete(job: JobRecord, answer: JobAnswer): readonly Violation[] {
  const expected = job.plan.tasks.map((_, index) => resultOf(job.jobId, `t${index}`));
  const found = answer.tasks.map(({ id, state, result }) =>
    state === 'succeeded' && result === resultOf(job.jobId, id) ? result : `${id} ${state}`,
  );
  const equal =
    found.length === expected.length && expected.every((result) => found.includes(result));
  const detail = `expected ${expected.join()}, found ${found.join()}`;
  return answer.outcome !== 'complete' || equal
    ? []
    : [{ rule: Rule.incomplete, jobId: job.jobId, detail }];
}

function ofCall(
  record: RunRecord,
  call: CallRecord,
  counts: ReadonlyMap<string, number>,
  options: OracleOptions,
): readonly Violation[] {
  const job = record.job(call.jobId);
  const { jobId } = call;
  const answers = call.answer === null ? call.coreAnswers : [...call.coreAnswers, call.answer];
  const perAnswer = [...new Set(answers)].flatMap((answer) => [
    ...falseNotRun(job, answer, counts),
    ...incomplete(job, answer),
  ]);
  const detail = `call ${call.callId} (${call.type}) of ${call.ownerId}`;
  const second = call.coreAnswers.length > 1 ? [{ rule: Rule.secondAnswer, jobId, detail }] : [];
  const none =
    options.settled && call.answer === null && !call.lost
      ? [{ rule: Rule.noAnswer, jobId, detail }]
      : [];
  return [...perAnswer, ...second, ...none];
}

/** Every broken rule of a run. */
export function checkRun(record: RunRecord, options: OracleOptions): readonly Violation[] {
  const counts = startCounts(record);
  return [
    ...doubleStarts(record),
    ...record.calls.flatMap((call) => ofCall(record, call, counts, options)),
  ];
}
