/** What the fleet promises when processes pause and workers' answers are lost. */
import { test } from 'node:test';
import { expect } from 'earl';
import { jobOf, SETTLE, shown, UNLOCK, until, withSystem, type SystemUnderTest } from './fixtures';

const FILLER_MS = 1500;
const DEADLINE_MS = 2000;
const BLOCK_MS = 1700;
const FILLERS = 3;

/** Keeps the whole process, and with it every host, from running. */
function blockProcess(durationMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}

// Guards against a host that starts work after a pause whose deadline has passed half meanwhile.
// Admission is off, so that the job waits in the queue instead of being refused on arrival.
test('a paused host refuses overdue work instead of starting it', async () => {
  const settings = { guards: ['admission = off'] };
  await withSystem({ hosts: 1, workers: 1, slots: 1, settings }, async (system) => {
    const filler = jobOf(UNLOCK, [FILLER_MS, FILLER_MS, FILLER_MS]);
    const filling = system.caller.submit(system.address(0), await system.keyOf(0), filler);
    await until('all slots are in use', () => system.starts.length === FILLERS);
    const key = await system.keyOf(1);
    const job = jobOf({ ...UNLOCK, deadlineMs: DEADLINE_MS }, [10]);
    const waiting = system.caller.submit(system.address(1), key, job);
    await until('the job waits for a slot', () =>
      system.trace.some(
        ({ decision, fields }) =>
          decision === 'request-slots' && JSON.stringify(fields).includes(key),
      ),
    );
    blockProcess(BLOCK_MS);
    const call = await waiting;
    expect(shown(call)).toEqual('503 overloaded');
    expect(typeof call.answer === 'object' && call.answer?.body.notRun).toEqual(true);
    expect(system.starts.filter(({ submission }) => submission === key)).toEqual([]);
    expect(system.trace.some(({ reason }) => reason === 'pause-detected')).toEqual(true);
    await filling;
    system.check();
  });
});

function loseAnswers(system: SystemUnderTest, lose: boolean): void {
  system.deployment.workers.forEach(({ faults }) => Object.assign(faults, { loseAnswers: lose }));
}

function revokes(system: SystemUnderTest): number {
  return system.deployment.workers.reduce(
    (sum, { requests }) => sum + (requests.get('POST revoke') ?? 0),
    0,
  );
}

// Guards against a second start of a task whose first answer was lost, and against a job that fails
// although its worker can still be asked for the result.
test('results whose answers were lost are recovered from the worker', async () => {
  await withSystem({ hosts: 1, workers: 2 }, async (system) => {
    loseAnswers(system, true);
    const job = jobOf(SETTLE, [300, 400, 500]);
    const submitted = system.caller.submit(system.address(0), await system.keyOf(0), job);
    await until('a start is unclear', () => revokes(system) > 0);
    loseAnswers(system, false);
    expect(shown(await submitted)).toEqual('200 complete');
    expect(system.starts.length).toEqual(3);
    system.check();
  });
});

// Guards against a second start, or a claim that nothing ran, when the worker can't be asked either.
test('without any answer from the worker the outcome is unknown', async () => {
  await withSystem({ hosts: 1, workers: 2 }, async (system) => {
    loseAnswers(system, true);
    const job = jobOf(SETTLE, [300, 400, 500]);
    const key = await system.keyOf(0);
    const call = await system.caller.submit(system.address(0), key, job);
    const again = await system.caller.submit(system.address(1), key, job, true);
    loseAnswers(system, false);
    expect(shown(call)).toEqual('500 task-unknown');
    expect(again.answer).toEqual(call.answer);
    expect(system.starts.length).toEqual(3);
    system.check();
  });
});
