/**
 * The submitter must not send or leave running any batch of a job that has been answered, and must
 * not refuse a job of which something may have run.
 */
import { afterEach, beforeEach, describe, it } from 'node:test';
import { install, type Clock as FakeClock } from '@sinonjs/fake-timers';
import { expect } from 'earl';
import { fakeCell, givenUp, refused, UNREACHABLE } from './fakeCells';
import {
  changeOwner,
  DEADLINE_MS,
  DONE,
  JOB_ID,
  JobSimulation,
  LONG_MS,
  LOST_RUNS_END_MS,
  step,
} from './jobSimulation';

describe('a job that has been answered', () => {
  let clock: FakeClock;

  beforeEach(() => {
    clock = install({ toFake: ['setTimeout', 'clearTimeout'] });
  });

  afterEach(() => clock.uninstall());

  // Guards against a batch sent to the new owner of a cell after its job was answered with 504.
  it('sends nothing to the new owner of a cell that a task group waits for', async () => {
    const lostCell = fakeCell('a');
    const simulation = new JobSimulation(clock, [lostCell, fakeCell('b')]);
    await simulation.submit([step(2)]);
    lostCell.isServing = false;
    simulation.cells.sent[0]?.answer(UNREACHABLE);
    await simulation.pass(100);
    simulation.cells.sent[1]?.answer(givenUp('deadline'));
    await simulation.pass(100);
    expect(simulation.outcome).toEqual({ type: 'lost', reason: 'deadline' });
    Object.assign(lostCell, { token: 2000, serves: true });
    await simulation.pass(LONG_MS);
    expect(simulation.sentTo).toEqual(['a', 'b']);
  });

  // Guards against withdrawn task groups that start in another cell when their leases have expired.
  it('sends nothing after the leases of the task groups that its answer withdrew', async () => {
    const simulation = new JobSimulation(clock, [fakeCell('a'), fakeCell('b')]);
    await simulation.submit([step(2)]);
    simulation.cells.sent[1]?.answer(givenUp('deadline'));
    await simulation.pass(0);
    expect(simulation.outcome).toEqual({ type: 'lost', reason: 'deadline' });
    await simulation.pass(LONG_MS);
    expect(simulation.sentTo).toEqual(['a', 'b']);
  });

  // Guards against a task group that is withdrawn before its start and offered to another cell.
  it('sends nothing to another cell when its answer withdraws an unstarted task group', async () => {
    const simulation = new JobSimulation(clock, [fakeCell('a', { isLocal: true }), fakeCell('b')]);
    await simulation.submit([step(2)]);
    simulation.cells.sent[1]?.answer(givenUp('deadline'));
    await simulation.pass(LONG_MS);
    expect(simulation.outcome).toEqual({ type: 'lost', reason: 'deadline' });
    expect(simulation.sentTo).toEqual(['a', 'b']);
  });

  // Guards against a refused task group that is queued late after another one ended the job.
  it('does not queue late a task group that all cells have refused', async () => {
    const simulation = new JobSimulation(clock, [fakeCell('a'), fakeCell('b')]);
    simulation.cells.onSend = (sent) => {
      if (sent.batch.tasks[0]?.name.endsWith('.0')) sent.answer(refused('overloaded'));
    };
    await simulation.submit([step(2)]);
    const refusals = simulation.cells.sent.filter(
      ({ outcome }) => outcome?.type === 'refused',
    ).length;
    simulation.cells.sent.find(({ outcome }) => outcome === null)?.answer(givenUp('deadline'));
    await simulation.pass(LONG_MS);
    expect(simulation.outcome).toEqual({ type: 'lost', reason: 'deadline' });
    expect(simulation.cells.sent.length).toEqual(refusals + 1);
  });

  // Guards against a batch for a job whose caller disconnected before any cell was served.
  it('sends nothing if it was cancelled while it waited for a cell', async () => {
    const cell = fakeCell('a', { isServing: false });
    const simulation = new JobSimulation(clock, [cell]);
    await simulation.submit([step(1)]);
    simulation.runner.cancel(JOB_ID);
    cell.isServing = true;
    await simulation.pass(LONG_MS);
    expect(simulation.outcome?.type).toEqual('refused');
    expect(simulation.sentTo).toEqual([]);
  });

  // Guards against refusals while all hosts return: their callers do not come back.
  it('waits for a cell while it could still end in time, and is refused after that', async () => {
    const cell = fakeCell('a', { isServing: false });
    const simulation = new JobSimulation(clock, [cell]);
    await simulation.submit([step(1)], 1500);
    await simulation.pass(1300);
    expect(simulation.outcome).toEqual(null);
    cell.isServing = true;
    await simulation.pass(50);
    expect(simulation.sentTo).toEqual(['a']);
    // Otherwise its objective would be over, and the cell would refuse it unless it were empty.
    expect(simulation.cells.sent[0]?.batch.waitedMs).toEqual(0);
    const late = new JobSimulation(clock, [fakeCell('a', { isServing: false })]);
    await late.submit([step(1)], 1500);
    await late.pass(1450);
    expect(late.outcome).toEqual({ type: 'refused', reason: 'no-cell', retryAfterMs: 300 });
  });

  // Guards against a step that starts because its predecessor succeeds just as the job ends.
  it('does not start a step whose predecessors end with it', async () => {
    const simulation = new JobSimulation(clock, [fakeCell('a', { room: 2 })]);
    await simulation.submit([step(1), step(1), step(1, [0])]);
    simulation.cells.sent[1]?.answer(givenUp('deadline'));
    simulation.cells.sent[0]?.answer({ type: 'done' });
    await simulation.pass(LONG_MS);
    expect(simulation.outcome).toEqual({ type: 'lost', reason: 'deadline' });
    expect(simulation.cells.sent.length).toEqual(2);
  });

  // Guards against callers that wait past their deadline because a task group is in a wait.
  it('is answered at its deadline even if it waits for a cell', async () => {
    const simulation = new JobSimulation(clock, [fakeCell('a', { isServing: false })]);
    const deadlineMs = 115;
    await simulation.submit([step(1)], deadlineMs);
    await simulation.pass(LONG_MS);
    expect(simulation.outcome?.type).toEqual('refused');
    expect(simulation.answeredAtMs).toBeLessThanOrEqual(deadlineMs);
  });
});

describe('a job that its client sends again after submitter and owner of a cell were lost', () => {
  let clock: FakeClock;

  beforeEach(() => {
    clock = install({ toFake: ['setTimeout', 'clearTimeout'] });
  });

  afterEach(() => clock.uninstall());

  // Guards against two runs of a task: one that the new owner of a cell has found on its workers,
  // and one that another cell, which knows nothing of it, starts for the new submission.
  it('starts in no cell while the new owner of another one has runs of it', async () => {
    const takenOver = fakeCell('a', { room: 0, foundJobs: new Set([JOB_ID]) });
    const simulation = new JobSimulation(clock, [takenOver, fakeCell('b', { room: 2 })]);
    await simulation.submit([step(2)]);
    await simulation.pass(200);
    expect(simulation.sentTo).toEqual([]);
    takenOver.foundJobs.clear();
    await simulation.pass(50);
    expect(simulation.sentTo).toEqual(['b']);
  });

  // Guards against jobs that wait for the runs of other jobs.
  it('waits for runs of its own only', async () => {
    const takenOver = fakeCell('a', { room: 0, foundJobs: new Set(['00000000000000bb']) });
    const simulation = new JobSimulation(clock, [takenOver, fakeCell('b', { room: 2 })]);
    await simulation.submit([step(2)]);
    expect(simulation.sentTo).toEqual(['b']);
  });

  // Guards against a start before a cell has an owner that could find runs of the job, and against
  // a job that waits for an owner for ever.
  it('waits for cells without an owner, but not longer than a takeover takes', async () => {
    const simulation = new JobSimulation(clock, [fakeCell('a', { room: 2 })]);
    simulation.cells.lacksOwner = true;
    await simulation.submit([step(2)]);
    await simulation.pass(250);
    expect(simulation.sentTo).toEqual([]);
    await simulation.pass(100);
    expect(simulation.sentTo).toEqual(['a']);
  });

  // Guards against a job that is started although its client has left while it waited.
  it('sends nothing if it is cancelled while it waits', async () => {
    const takenOver = fakeCell('a', { foundJobs: new Set([JOB_ID]) });
    const simulation = new JobSimulation(clock, [takenOver, fakeCell('b')]);
    await simulation.submit([step(1)]);
    simulation.runner.cancel(JOB_ID);
    await simulation.pass(LONG_MS);
    expect(simulation.outcome?.type).toEqual('refused');
    expect(simulation.sentTo).toEqual([]);
  });
});

describe('a refused job', () => {
  let clock: FakeClock;

  beforeEach(() => {
    clock = install({ toFake: ['setTimeout', 'clearTimeout'] });
  });

  afterEach(() => clock.uninstall());

  // Guards against "not run" as the answer for a job of which another step may be running.
  it('is answered as lost if a step finds no cell while another step is at an owner', async () => {
    const cell = fakeCell('a');
    const simulation = new JobSimulation(clock, [cell]);
    simulation.cells.onSend = () => {
      cell.isServing = false;
    };
    await simulation.submit([step(1), step(1)]);
    await simulation.pass(LONG_MS);
    expect(simulation.sentTo).toEqual(['a']);
    expect(simulation.outcome).toEqual({ type: 'lost', reason: 'no-cell' });
    expect(simulation.answeredAtMs).toEqual(0);
  });

  // Guards against 504, on which clients resubmit, for a job of which nothing has started.
  it('is refused if all its task groups were withdrawn before they started', async () => {
    const local = { isLocal: true };
    const simulation = new JobSimulation(clock, [fakeCell('a', local), fakeCell('b', local)]);
    await simulation.submit([step(2)]);
    await simulation.pass(DEADLINE_MS);
    expect(simulation.outcome?.type).toEqual('refused');
    expect(simulation.sentTo).toEqual(['a', 'b']);
  });

  // Guards against a job that is refused as a whole because one task group finds no room.
  it('is not refused while another of its task groups may run; the group is queued late', async () => {
    const simulation = new JobSimulation(clock, [fakeCell('a'), fakeCell('b')]);
    await simulation.submit([step(2)]);
    simulation.cells.sent[0]?.answer(refused('overloaded'));
    await simulation.pass(0);
    simulation.cells.onSend = ({ batch, answer }) => {
      answer(batch.begun ? { type: 'done' } : refused('overloaded'));
    };
    simulation.cells.sent.slice(2).forEach(({ answer }) => answer(refused('overloaded')));
    await simulation.pass(50);
    expect(simulation.cells.sent.at(-1)?.batch.begun).toEqual(true);
    expect(simulation.outcome).toEqual(null);
    simulation.cells.sent[1]?.answer({ type: 'done' });
    await simulation.pass(0);
    expect(simulation.outcome).toEqual({ type: 'completed' });
  });
});

describe('a task group that cells refuse as not run', () => {
  let clock: FakeClock;

  beforeEach(() => {
    clock = install({ toFake: ['setTimeout', 'clearTimeout'] });
  });

  afterEach(() => clock.uninstall());

  // Guards against a job refused by its only cell because the clock offsets were out of date.
  it('is sent to the same cell once more, as a new batch, if it was refused as expired', async () => {
    const simulation = new JobSimulation(clock, [fakeCell('a'), fakeCell('b')]);
    const outcomes = [refused('expired'), DONE];
    simulation.cells.onSend = ({ answer }) => answer(outcomes.shift() ?? UNREACHABLE);
    await simulation.submit([step(1)]);
    expect(simulation.outcome).toEqual({ type: 'completed' });
    expect(new Set(simulation.sentTo).size).toEqual(1);
    expect(new Set(simulation.cells.sent.map(({ batch }) => batch.batchId)).size).toEqual(2);
  });

  // Guards against endless sends to a cell whose connections stay slow.
  it('goes to another cell if it was refused as expired twice', async () => {
    const simulation = new JobSimulation(clock, [fakeCell('a'), fakeCell('b')]);
    const outcomes = [refused('expired'), refused('expired'), DONE];
    simulation.cells.onSend = ({ answer }) => answer(outcomes.shift() ?? UNREACHABLE);
    await simulation.submit([step(1)]);
    const [first, second, third] = simulation.sentTo;
    expect(simulation.outcome).toEqual({ type: 'completed' });
    expect([first === second, second === third]).toEqual([true, false]);
  });

  // Guards against answering as lost a job that is known not to have run.
  it('is answered as not run if all cells refused it as expired', async () => {
    const simulation = new JobSimulation(clock, [fakeCell('a'), fakeCell('b')]);
    simulation.cells.onSend = ({ answer }) => answer(refused('expired'));
    await simulation.submit([step(1)]);
    expect(simulation.outcome).toEqual({ type: 'refused', reason: 'expired', retryAfterMs: 10 });
    expect(simulation.cells.sent.length).toEqual(4);
  });

  // Guards against a job answered as lost because the last cell tried has changed owners.
  it('is offered to all cells again if its job has started', async () => {
    const simulation = new JobSimulation(clock, [fakeCell('a'), fakeCell('b')]);
    await simulation.submit([step(1), step(1, [0])]);
    const last = [refused('overloaded'), refused('overloaded'), refused('not-owner'), DONE];
    simulation.cells.onSend = ({ answer }) => answer(last.shift() ?? DONE);
    simulation.cells.sent[0]?.answer(DONE);
    await simulation.pass(50);
    expect(simulation.outcome).toEqual({ type: 'completed' });
    expect(new Set(simulation.sentTo.slice(-2)).size).toEqual(2);
  });

  // Guards against a job answered as lost because the new owner did not accept it at once.
  it('is sent to the new owner of its cell again after a refusal', async () => {
    const simulation = new JobSimulation(clock, [fakeCell('a')]);
    await simulation.submit([step(1)]);
    simulation.cells.sent[0]?.answer(UNREACHABLE);
    await changeOwner(simulation);
    simulation.cells.sent[1]?.answer(refused('not-owner'));
    await simulation.pass(50);
    simulation.cells.sent[2]?.answer(DONE);
    await simulation.pass(0);
    expect(simulation.outcome).toEqual({ type: 'completed' });
    expect(simulation.cells.sent[2]?.batch.mayRun).toEqual(true);
  });

  // Guards against unclaimed runs when two owners had equal tokens and one released the cell.
  it('is sent to the remaining owner of two with equal tokens', async () => {
    const simulation = new JobSimulation(clock, [fakeCell('a')]);
    await simulation.submit([step(1)]);
    simulation.cell('a').ownerId = 'a';
    simulation.cells.sent[0]?.answer(UNREACHABLE);
    await simulation.pass(50);
    expect(simulation.cells.sent[1]?.batch.mayRun).toEqual(true);
    simulation.cells.sent[1]?.answer(DONE);
    await simulation.pass(0);
    expect(simulation.outcome).toEqual({ type: 'completed' });
  });

  // Guards against a second run of a task whose first run the new owner has adopted.
  it('starts elsewhere only after the leases of the last owner that refused it', async () => {
    const simulation = new JobSimulation(clock, [fakeCell('a'), fakeCell('b')]);
    await simulation.submit([step(1)]);
    simulation.cells.sent[0]?.answer(UNREACHABLE);
    await simulation.pass(LOST_RUNS_END_MS - 100);
    await changeOwner(simulation);
    const refusedAtMs = clock.now;
    const firstCellName = simulation.sentTo[0];
    simulation.cells.sent[1]?.answer(refused('not-owner'));
    simulation.cell(firstCellName).isServing = false;
    await simulation.pass(LONG_MS);
    const elsewhere = simulation.cells.sent.filter(({ cell }) => cell !== firstCellName);
    expect(elsewhere.length).toEqual(1);
    expect((elsewhere[0]?.sentAtMs ?? 0) - refusedAtMs).toBeGreaterThanOrEqual(LOST_RUNS_END_MS);
  });
});

describe('a job whose client disconnected while its submitter was paused', () => {
  let clock: FakeClock;

  beforeEach(() => {
    clock = install({ toFake: ['setTimeout', 'clearTimeout'] });
  });

  afterEach(() => clock.uninstall());

  /** Lets the end of the client's connection be read in the next turn of the event loop. */
  function cancelInNextTurn(simulation: JobSimulation): void {
    setImmediate(() => simulation.runner.cancel(JOB_ID));
  }

  // Guards against a step that starts because its predecessor's reply was read first.
  it('sends no further step', async () => {
    const simulation = new JobSimulation(clock, [fakeCell('a')]);
    await simulation.submit([step(1), step(1, [0])]);
    simulation.cells.sent[0]?.answer(DONE);
    cancelInNextTurn(simulation);
    await simulation.pass(100);
    expect(simulation.sentTo).toEqual(['a']);
  });

  // Guards against a task group offered to another cell because the refusal was read first.
  it('is not offered to another cell after a refusal', async () => {
    const simulation = new JobSimulation(clock, [fakeCell('a'), fakeCell('b')]);
    await simulation.submit([step(1)]);
    simulation.cells.sent[0]?.answer(refused('not-owner'));
    cancelInNextTurn(simulation);
    await simulation.pass(100);
    expect(simulation.sentTo.length).toEqual(1);
  });

  // Guards against a task group sent to the new owner by a timer that fires before pending reads.
  it('is not sent to the new owner of its cell after a wait', async () => {
    const cell = fakeCell('a');
    const simulation = new JobSimulation(clock, [cell]);
    await simulation.submit([step(1)]);
    cell.isServing = false;
    simulation.cells.sent[0]?.answer(UNREACHABLE);
    await simulation.pass(30);
    // When the process resumes, the cell has a new owner, and the timer of the wait fires first.
    Object.assign(cell, { serves: true, token: 2000 });
    clock.tick(20);
    cancelInNextTurn(simulation);
    await simulation.pass(100);
    expect(simulation.sentTo).toEqual(['a']);
  });
});
