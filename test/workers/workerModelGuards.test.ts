/** Guards a rule of the stand-in worker that scripts/mutants.ts breaks and no other test noticed. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { WorkerModel } from '../../src/standins/workerModel';
import type { WorkerAnswer } from '../../src/standins/workerTypes';

describe('WorkerModel', () => {
  it('does not say neverStarted of an attempt of an earlier incarnation, which may have run', () => {
    const model = new WorkerModel({}, { nowMs: () => 0 }, { after: () => () => undefined });
    const before = model.incarnation;
    model.restart();
    const answers: WorkerAnswer[] = [];
    model.revoke('a', before, (answer) => answers.push(answer));
    expect(answers).toEqual([{ state: 'refused', reason: 'incarnation' }]);
  });
});
