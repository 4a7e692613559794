/**
 * Checks what callers got against the workers' own records of starts, which are the truth about what
 * ran (docs/design.md, section 2).
 */
import type { HostOutage } from './deployment';
import type { CallRecord, CallerAnswer } from './deploymentCaller';
import { payloadsOf } from './deploymentCaller';
import type { StartRecord } from './workerTypes';

/** Rules that a run may break. */
export const DeploymentRule = {
  /** No task of a submission starts twice. */
  doubleStart: 'doubleStart',
  /** An answer that says "not run", for a job or a task, is true. */
  falseNotRun: 'falseNotRun',
  /** A complete answer has each result of the caller's own job once. */
  notWhole: 'notWhole',
  /** A job that is sent again under its key is recognized as the same. */
  notRecognized: 'notRecognized',
  /** Each call ends with an answer or a broken connection. */
  noAnswer: 'noAnswer',
  /** The connection of a call breaks only if its host was lost, or was draining when it was sent. */
  brokenByLiveHost: 'brokenByLiveHost',
} as const;
export type DeploymentRule = (typeof DeploymentRule)[keyof typeof DeploymentRule];

/** One broken rule. */
export interface DeploymentViolation {
  readonly rule: DeploymentRule;
  readonly key: string;
  readonly detail: string;
}

/** Callers never use a key for two jobs, nor one that no host issued. */
const NOT_RECOGNIZED: ReadonlySet<string> = new Set(['key-reused', 'invalid-key']);

function taskOf(submission: string, task: string): string {
  return `${submission} task ${task}`;
}

function startsByTask(starts: readonly StartRecord[]): ReadonlyMap<string, readonly string[]> {
  const byTask = new Map<string, string[]>();
  starts.forEach(({ submission, task, attemptId, incarnation }) => {
    const name = taskOf(submission, task);
    byTask.set(name, [...(byTask.get(name) ?? []), `${attemptId} on ${incarnation}`]);
  });
  return byTask;
}

function isWhole({ job }: CallRecord, { body }: CallerAnswer): boolean {
  const expected = payloadsOf(job);
  const results = body.results ?? [];
  const byId = new Map(results.map(({ id, result }) => [id, JSON.stringify(result)]));
  return (
    results.length === expected.length &&
    expected.every((payload, index) => byId.get(String(index)) === JSON.stringify(payload))
  );
}

function deniedTasks({ job }: CallRecord, { body }: CallerAnswer): readonly string[] {
  if (body.notRun === true) return job.runMs.map((_, index) => String(index));
  return (body.tasks ?? []).filter(({ state }) => state === 'notRun').map(({ id }) => id);
}

function ofAnswer(
  call: CallRecord,
  answer: CallerAnswer,
  starts: ReadonlyMap<string, readonly string[]>,
): readonly DeploymentViolation[] {
  const { key } = call;
  const shown = `${answer.statusCode} ${answer.body.reason ?? answer.body.outcome} at ${call.host}`;
  if (answer.statusCode === 200 && !isWhole(call, answer)) {
    const detail = `${shown}: ${JSON.stringify(answer.body.results)}`;
    return [{ rule: DeploymentRule.notWhole, key, detail }];
  }
  if (NOT_RECOGNIZED.has(answer.body.reason ?? '')) {
    return [{ rule: DeploymentRule.notRecognized, key, detail: shown }];
  }
  return deniedTasks(call, answer)
    .filter((task) => starts.has(taskOf(key, task)))
    .map((task) => {
      const detail = `${shown}: task ${task} started as ${starts.get(taskOf(key, task))?.join()}`;
      return { rule: DeploymentRule.falseNotRun, key, detail };
    });
}

function mayBreak(call: CallRecord, { host, fromMs, toMs, graceful }: HostOutage): boolean {
  const overlaps = call.sentAtMs < toMs && call.endedAtMs >= fromMs;
  return call.host === host && overlaps && (!graceful || call.sentAtMs >= fromMs);
}

function ofCall(
  call: CallRecord,
  starts: ReadonlyMap<string, readonly string[]>,
  outages: readonly HostOutage[],
): readonly DeploymentViolation[] {
  const { key, host, answer } = call;
  if (answer === null) return [{ rule: DeploymentRule.noAnswer, key, detail: `at ${host}` }];
  if (answer !== 'broken') return ofAnswer(call, answer, starts);
  if (outages.some((outage) => mayBreak(call, outage))) return [];
  return [{ rule: DeploymentRule.brokenByLiveHost, key, detail: `at ${host}` }];
}

/** Every broken rule of a run. */
export function checkDeployment(
  calls: readonly CallRecord[],
  records: readonly StartRecord[],
  outages: readonly HostOutage[],
): readonly DeploymentViolation[] {
  const starts = startsByTask(records);
  const doubleStarts = [...starts]
    .filter(([, attempts]) => attempts.length > 1)
    .map(([task, attempts]) => ({
      rule: DeploymentRule.doubleStart,
      key: task,
      detail: attempts.join(),
    }));
  return [...doubleStarts, ...calls.flatMap((call) => ofCall(call, starts, outages))];
}

/** Number of calls by what they got, for reports. */
export function countAnswers(calls: readonly CallRecord[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  calls.forEach(({ answer, resubmission }) => {
    const told = answer === null || answer === 'broken' ? String(answer) : answer.body;
    const name = typeof told === 'string' ? told : (told.reason ?? told.outcome ?? 'other');
    const label = resubmission ? `again: ${name}` : name;
    counts[label] = (counts[label] ?? 0) + 1;
  });
  return counts;
}
