/** Covers a rule of the simulated worker whose mutant (scripts/mutants.ts) no other test kills. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { WorkerModel } from '../../src/standins/workerModel';
import type { WorkerAnswer } from '../../src/standins/workerTypes';

describe('WorkerModel', () => {
  it('does not report neverStarted for an attempt of an earlier incarnation, which may have run', () => {
    const model = new WorkerModel({}, { nowMs: () => 0 }, { after: () => () => undefined });
    const before = model.incarnation;
    model.restart();
    const answers: WorkerAnswer[] = [];
    model.revoke('a', before, (answer) => answers.push(answer));
    expect(answers).toEqual([{ state: 'refused', reason: 'incarnation' }]);
  });
});
