/**
 * Guards against answers that wrongly claim that no task ran, and against answers that omit tasks
 * or the time after which to retry.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Outcome, Reason } from '../../src/core/job';
import type { JobAnswer } from '../../src/core/job';
import { toHttpAnswer, problemTypeOf } from '../../src/host/callerAnswer';

function refused(reason: Reason, notRun = true): JobAnswer {
  return { outcome: Outcome.refused, key: 'k', notRun, reason, tasks: [] };
}

type Body = Readonly<Record<string, unknown>>;

describe('toHttpAnswer', () => {
  it('maps each refusal reason to the specified status and problem type', () => {
    const expected: Record<Reason, readonly [number, string]> = {
      overloaded: [503, 'overloaded'],
      'team-over-limit': [429, 'team-over-limit'],
      'impossible-job': [422, 'impossible-job'],
      draining: [503, 'draining'],
      'unknown-team': [400, 'invalid-request'],
      'unknown-kind': [400, 'invalid-request'],
      'key-required': [400, 'invalid-key'],
      'invalid-key': [400, 'invalid-key'],
      'key-expired': [410, 'key-expired'],
      'key-reused': [422, 'key-reused'],
      deadline: [503, 'overloaded'],
      'task-failed': [500, 'job-failed'],
      'task-unknown': [500, 'job-failed'],
      cancelled: [409, 'cancelled'],
      'issuer-unreachable': [504, 'outcome-unknown'],
      'no-configuration': [503, 'overloaded'],
      'answer-dropped': [504, 'outcome-unknown'],
    };
    const reasons = Object.values(Reason);
    expect(reasons.map((reason) => toHttpAnswer(refused(reason)).statusCode)).toEqual(
      reasons.map((reason) => expected[reason][0]),
    );
    expect(reasons.map((reason) => problemTypeOf(refused(reason)) as string)).toEqual(
      reasons.map((reason) => `/problems/${expected[reason][1]}`),
    );
  });

  it('never uses a problem type that implies "not run" for an answer without notRun', () => {
    const notRunTypes = [
      'overloaded',
      'team-over-limit',
      'impossible-job',
      'draining',
      'cancelled',
    ];
    const answers = Object.values(Reason).flatMap((reason) =>
      Object.values(Outcome).map((outcome) => toHttpAnswer({ ...refused(reason, false), outcome })),
    );
    const bodies = answers.map((answer) => answer.body as Body);
    expect(bodies.filter((body) => body.notRun !== undefined)).toEqual([]);
    const types = bodies.map((body) => String(body.type).replace('/problems/', ''));
    expect(types.filter((type) => notRunTypes.includes(type))).toEqual([]);
  });

  it('sends the retry time, in the Retry-After header rounded up to whole seconds', () => {
    const answer = toHttpAnswer({ ...refused('overloaded'), retryAfterMs: 1200 });
    expect(answer.headers['retry-after']).toEqual('2');
    expect((answer.body as Body).retryAfterMs).toEqual(1200);
    expect(toHttpAnswer(refused('team-over-limit')).headers['retry-after']).toEqual('1');
    expect(toHttpAnswer(refused('draining')).headers['retry-after']).toEqual(undefined);
  });

  it('reports the state of each task of a failed job', () => {
    const tasks = [
      { id: 'a', state: 'failed', error: 'broken' },
      { id: 'b', state: 'notRun' },
    ] as const;
    const outcome = Outcome.failed;
    const answer = toHttpAnswer({ outcome, key: 'k', notRun: false, reason: 'task-failed', tasks });
    expect(answer.statusCode).toEqual(500);
    expect((answer.body as Body).tasks).toEqual(tasks);
  });

  it('does not report a job as complete when results are missing', () => {
    const tasks = [{ id: 'a', state: 'started' }] as const;
    const partial = toHttpAnswer({ outcome: 'complete', key: 'k', notRun: false, tasks });
    expect(partial.statusCode).toEqual(504);
    const reason = Reason.answerDropped;
    const dropped = toHttpAnswer({
      outcome: 'complete',
      key: 'k',
      notRun: false,
      reason,
      tasks: [],
    });
    expect([dropped.statusCode, (dropped.body as Body).outcome]).toEqual([504, 'complete']);
  });

  it('reports an absent result as null', () => {
    const tasks = [{ id: 'a', state: 'succeeded' }] as const;
    const { body } = toHttpAnswer({ outcome: 'complete', key: 'k', notRun: false, tasks });
    expect((body as Body).results).toEqual([{ id: 'a', result: null }]);
  });
});
