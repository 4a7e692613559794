/** Guards against a wrong "not run" and against answers that lose tasks or the time to retry. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Outcome, Reason } from '../../src/core/job';
import type { JobAnswer } from '../../src/core/job';
import { answerOf, problemTypeOf } from '../../src/host/callerAnswer';

function refused(reason: Reason, notRun = true): JobAnswer {
  return { outcome: Outcome.refused, key: 'k', notRun, reason, tasks: [] };
}

type Body = Readonly<Record<string, unknown>>;

describe('answerOf', () => {
  it('maps each reason of a refusal to the status and type of the design', () => {
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
    expect(reasons.map((reason) => answerOf(refused(reason)).statusCode)).toEqual(
      reasons.map((reason) => expected[reason][0]),
    );
    expect(reasons.map((reason) => problemTypeOf(refused(reason)) as string)).toEqual(
      reasons.map((reason) => `/problems/${expected[reason][1]}`),
    );
  });

  it('never uses a type that means "not run" for an answer that does not say so', () => {
    const notRunTypes = [
      'overloaded',
      'team-over-limit',
      'impossible-job',
      'draining',
      'cancelled',
    ];
    const answers = Object.values(Reason).flatMap((reason) =>
      Object.values(Outcome).map((outcome) => answerOf({ ...refused(reason, false), outcome })),
    );
    const bodies = answers.map((answer) => answer.body as Body);
    expect(bodies.filter((body) => body.notRun !== undefined)).toEqual([]);
    const types = bodies.map((body) => String(body.type).replace('/problems/', ''));
    expect(types.filter((type) => notRunTypes.includes(type))).toEqual([]);
  });

  it('tells when to retry, in the header rounded up to seconds', () => {
    const answer = answerOf({ ...refused('overloaded'), retryAfterMs: 1200 });
    expect(answer.headers['retry-after']).toEqual('2');
    expect((answer.body as Body).retryAfterMs).toEqual(1200);
    expect(answerOf(refused('team-over-limit')).headers['retry-after']).toEqual('1');
    expect(answerOf(refused('draining')).headers['retry-after']).toEqual(undefined);
  });

  it('reports the state of each task of a failed job', () => {
    const tasks = [
      { id: 'a', state: 'failed', error: 'broken' },
      { id: 'b', state: 'notRun' },
    ] as const;
    const outcome = Outcome.failed;
    const answer = answerOf({ outcome, key: 'k', notRun: false, reason: 'task-failed', tasks });
    expect(answer.statusCode).toEqual(500);
    expect((answer.body as Body).tasks).toEqual(tasks);
  });

  it('does not call a job complete whose results are missing', () => {
    const tasks = [{ id: 'a', state: 'started' }] as const;
    const partial = answerOf({ outcome: 'complete', key: 'k', notRun: false, tasks });
    expect(partial.statusCode).toEqual(504);
    const reason = Reason.answerDropped;
    const dropped = answerOf({ outcome: 'complete', key: 'k', notRun: false, reason, tasks: [] });
    expect([dropped.statusCode, (dropped.body as Body).outcome]).toEqual([504, 'complete']);
  });

  it('keeps a result that is null or absent', () => {
    const tasks = [{ id: 'a', state: 'succeeded' }] as const;
    const { body } = answerOf({ outcome: 'complete', key: 'k', notRun: false, tasks });
    expect((body as Body).results).toEqual([{ id: 'a', result: null }]);
  });
});
