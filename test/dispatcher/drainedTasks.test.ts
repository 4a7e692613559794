/** Tasks that come back from cells of a drained failure domain. */
import { afterEach, beforeEach, describe, it } from 'node:test';
import { install, type Clock as FakeClock } from '@sinonjs/fake-timers';
import { expect } from 'earl';
import { fakeCell } from './fakeCells';
import { DONE, JobSimulation, RETURNED, step } from './jobSimulation';

describe('tasks that a drained cell returns', () => {
  let clock: FakeClock;
  beforeEach(() => {
    clock = install({ toFake: ['setTimeout', 'clearTimeout'] });
  });
  afterEach(() => clock.uninstall());

  const DRAINED = { type: 'refused', reason: 'domain-drained', retryAfterMs: 1000 } as const;

  // Guards against a job that waits for its deadline, or is though other domains have room.
  it('are sent to another cell at once, if nothing has run', async () => {
    const simulation = new JobSimulation(clock, [fakeCell('a'), fakeCell('b')]);
    await simulation.submit([step(1)]);
    simulation.cells.sent[0]?.answer(DRAINED);
    await simulation.pass(0);
    expect([...simulation.sentTo].sort()).toEqual(['a', 'b']);
    simulation.cells.sent[1]?.answer(DONE);
    await simulation.pass(0);
    expect(simulation.outcome).toEqual({ type: 'completed' });
  });

  // Guards against tasks that run a second time, or get more attempts than their queue allows.
  it('go on in other cells without those that have succeeded, with their failures', async () => {
    const cells = [fakeCell('a', { room: 3 }), fakeCell('b')];
    const simulation = new JobSimulation(clock, cells);
    await simulation.submit([step(3)]);
    const [first] = simulation.cells.sent;
    const [succeeded, failed, waiting] = (first?.batch.tasks ?? []).map(({ name }) => name);
    Object.assign(simulation.cell('a'), { isServing: false });
    first?.answer({
      type: 'lost',
      reason: 'domain-drained',
      started: [],
      succeeded: [succeeded ?? ''],
      failures: { [failed ?? '']: 1 },
    });
    await simulation.pass(0);
    const moved = simulation.cells.sent[1];
    expect(moved?.cell).toEqual('b');
    expect(moved?.batch.tasks).toEqual([
      { name: failed ?? '', failures: 1, lastRun: 16, mayRun: false },
      { name: waiting ?? '', failures: 0, lastRun: 16, mayRun: false },
    ]);
    moved?.answer(DONE);
    await simulation.pass(0);
    expect(simulation.outcome).toEqual({ type: 'completed' });
  });

  // Guards against "not run" as the answer to a job of which tasks have run.
  it('end the job as lost if no other domain is left, and refuse it if nothing has run', async () => {
    const simulation = new JobSimulation(clock, [fakeCell('a')]);
    await simulation.submit([step(1)]);
    Object.assign(simulation.cell('a'), { isServing: false });
    simulation.cells.expectsOwner = false;
    simulation.cells.sent[0]?.answer(RETURNED);
    await simulation.pass(0);
    expect(simulation.outcome).toEqual({ type: 'lost', reason: 'no-cell' });
    const other = new JobSimulation(clock, [fakeCell('a', { isServing: false })]);
    other.cells.expectsOwner = false;
    await other.submit([step(1)]);
    expect(other.outcome?.type).toEqual('refused');
    expect(other.answeredAtMs).toEqual(clock.now);
  });
});
