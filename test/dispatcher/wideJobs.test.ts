/** A wide job, which is divided over the cells before any of its tasks starts. */
import { afterEach, beforeEach, describe, it } from 'node:test';
import { install, type Clock as FakeClock } from '@sinonjs/fake-timers';
import { expect } from 'earl';
import { fakeCell, refused } from './fakeCells';
import { DONE, JobSimulation, step } from './jobSimulation';

describe('a wide job for which no cell has room alone', () => {
  let clock: FakeClock;
  const room = (tasks: number, startable = 0) =>
    ({ startable, tasks, retryAfterMs: 250, reason: 'overloaded' }) as const;

  beforeEach(() => {
    clock = install({ toFake: ['setTimeout', 'clearTimeout'] });
  });

  afterEach(() => clock.uninstall());

  // Guards against parts that start although others find no room: the job is late, and its tasks
  // take room from jobs that could end in time.
  it('is refused as a whole, before any part is sent, if the cells have too little room', async () => {
    const cells = ['a', 'b', 'c'].map((name) => fakeCell(name, { answeredRoom: room(3) }));
    const simulation = new JobSimulation(clock, cells);
    await simulation.submit([step(10)]);
    await simulation.pass(50);
    expect(simulation.sentTo).toEqual([]);
    const expected = { type: 'refused', reason: 'overloaded', retryAfterMs: 250 } as const;
    expect(simulation.outcome).toEqual(expected);
  });

  // Guards against a refusal while a cell would still serve the job when its answer is of use.
  it('goes whole to the cell that ends it first, if all would be late', async () => {
    const cells = [
      fakeCell('a', { answeredRoom: { ...room(3), lateEndInMs: 400 } }),
      fakeCell('b', { answeredRoom: { ...room(3), lateEndInMs: 300 } }),
      fakeCell('c', { answeredRoom: room(3) }),
    ];
    const simulation = new JobSimulation(clock, cells);
    simulation.cells.onSend = ({ answer }) => answer(DONE);
    await simulation.submit([step(10)]);
    await simulation.pass(0);
    const sent = simulation.cells.sent.map(({ cell, batch }) => [cell, batch.acceptsLate]);
    expect(sent).toEqual([['b', true]]);
    expect(simulation.outcome).toEqual({ type: 'completed' });
  });

  it('is divided by what the cells can take in time, over as few as possible', async () => {
    const rooms = { a: 2, b: 6, c: 4 };
    const cells = Object.entries(rooms).map(([name, tasks]) =>
      fakeCell(name, { answeredRoom: room(tasks) }),
    );
    const simulation = new JobSimulation(clock, cells);
    simulation.cells.onSend = ({ answer }) => answer(DONE);
    await simulation.submit([step(9)]);
    await simulation.pass(0);
    const parts = simulation.cells.sent.map(({ cell, batch }) => [cell, batch.tasks.length]);
    expect(parts).toEqual([
      ['b', 6],
      ['c', 3],
    ]);
    expect(simulation.outcome).toEqual({ type: 'completed' });
  });

  // Guards against a job that waits in one cell while others have room for its tasks.
  it('is divided if it starts at once that way, although one cell could end it in time', async () => {
    const cells = [
      fakeCell('a', { answeredRoom: room(9, 3) }),
      fakeCell('b', { answeredRoom: room(9, 6) }),
    ];
    const simulation = new JobSimulation(clock, cells);
    simulation.cells.onSend = ({ answer }) => answer(DONE);
    await simulation.submit([step(9)]);
    await simulation.pass(0);
    const parts = simulation.cells.sent.map(({ cell, batch }) => [cell, batch.tasks.length]);
    expect(parts).toEqual([
      ['b', 6],
      ['a', 3],
    ]);
  });

  // Guards against refusals while another cell has room: the load reports of cells are old.
  it('goes to another cell that can take it whole if the first one refuses it', async () => {
    const cells = [
      fakeCell('a', { room: 4, answeredRoom: room(1) }),
      fakeCell('b', { answeredRoom: room(4) }),
    ];
    const simulation = new JobSimulation(clock, cells);
    simulation.cells.onSend = ({ cell, answer }) =>
      answer(cell === 'a' ? refused('overloaded') : DONE);
    await simulation.submit([step(4)]);
    await simulation.pass(0);
    expect(simulation.sentTo).toEqual(['a', 'b']);
    expect(simulation.outcome).toEqual({ type: 'completed' });
  });

  // Guards against jobs that owners of an earlier version, which do not answer, would have run.
  it('is sent in parts if no cell tells its room', async () => {
    const simulation = new JobSimulation(clock, [fakeCell('a'), fakeCell('b')]);
    simulation.cells.onSend = ({ answer }) => answer(DONE);
    await simulation.submit([step(4)]);
    await simulation.pass(0);
    expect(simulation.sentTo).toEqual(['a', 'b']);
  });

  // Guards against a part of a job in progress that is refused: the job would have to be given up.
  it('goes on late if a step before has run', async () => {
    const cells = ['a', 'b'].map((name) => fakeCell(name, { answeredRoom: room(1) }));
    const simulation = new JobSimulation(clock, cells);
    simulation.cells.onSend = ({ answer }) => answer(DONE);
    await simulation.submit([step(1), step(4, [0])]);
    await simulation.pass(50);
    expect(simulation.outcome).toEqual({ type: 'completed' });
  });
});
