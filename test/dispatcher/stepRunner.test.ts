/**
 * The submitter must not send or leave running any batch of a job that has been answered, and must
 * not refuse a job of which something may have run.
 */
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { install, type Clock as FakeClock } from '@sinonjs/fake-timers';
import { expect } from 'earl';
import fc from 'fast-check';
import type { JobStep } from '../../src/cells/job';
import type { BatchOutcome } from '../../src/cells/messages';
import { JobRunner } from '../../src/dispatcher/jobs/jobRunner';
import { StepRunner } from '../../src/dispatcher/jobs/stepRunner';
import type { JobOutcome } from '../../src/dispatcher/jobs/runningJob';
import {
  fakeCell,
  FakeCells,
  givenUp,
  PRESENT_CALLER,
  refused,
  TASK_CPU_MILLIS,
  UNREACHABLE,
  type FakeCell,
} from './fakeCells';

const JOB_ID = '00000000000000aa';
const LOST_RUNS_END_MS = 2050;
const DEADLINE_MS = 9000;
/** Longer than the leases of any owner and all waits of a job. */
const LONG_MS = 2 * DEADLINE_MS;
const DONE = { type: 'done' } as const;
/** Answer of a drained cell in which tasks have run, and none has succeeded. */
const RETURNED: BatchOutcome = {
  type: 'lost',
  reason: 'domain-drained',
  started: [],
  succeeded: [],
};

/** `waitForPendingReads` takes two turns of the event loop in real time, several times in a row. */
const TURNS = 12;

async function runEventLoopTurns(): Promise<void> {
  for (let turn = 0; turn < TURNS; turn += 1) {
    // eslint-disable-next-line no-await-in-loop -- one turn after the other
    await nextTurn();
  }
}

function step(taskCount: number, after: readonly number[] = []): JobStep {
  return {
    taskCount,
    shape: {
      cpuMillis: TASK_CPU_MILLIS,
      memoryMb: 64,
      accelerators: 0,
      requiredLabel: null,
      preferredRack: null,
      tasksPerWorker: null,
    },
    estimateMs: 100,
    after,
  };
}

/** A submitter in virtual time with fake cells, and the outcome of its one job. */
class Simulation {
  readonly cells: FakeCells;

  readonly runner: JobRunner;

  outcome: JobOutcome | null = null;

  answeredAtMs = Infinity;

  readonly #clock: FakeClock;

  readonly #cells: readonly FakeCell[];

  constructor(clock: FakeClock, cells: readonly FakeCell[]) {
    this.#clock = clock;
    this.#cells = cells;
    const nowMs = () => clock.now;
    this.cells = new FakeCells(cells, nowMs);
    const common = { clock: { nowMs }, journal: { logDecision: () => {} } };
    const stepRunner = new StepRunner({
      cluster: this.cells,
      random: { next: () => 0.5 },
      prefix: 'a',
      lostRunsEndMs: LOST_RUNS_END_MS,
      ...common,
    });
    const crashes = { givenUpTaskOf: () => null };
    this.runner = new JobRunner({ stepRunner, crashes, ...common });
  }

  /** Submits a job, and waits until its first batches are sent. */
  async submit(steps: readonly JobStep[], deadlineInMs = DEADLINE_MS): Promise<void> {
    const policy = {
      name: 'unlock',
      service: 'kiosk-dispatch',
      priority: 0,
      maxAttempts: 2,
      slackFactor: 1.6,
      goalMs: 60,
      timeoutMs: 1500,
    };
    const job = { id: JOB_ID, payload: 'x', steps };
    this.runner.run({ job, policy, deadlineInMs }, PRESENT_CALLER).then((outcome) => {
      this.outcome = outcome;
      this.answeredAtMs = this.#clock.now;
    });
    await this.pass(0);
  }

  /** Advances the clock, and lets pending promises settle before each timer. */
  async pass(durationMs: number): Promise<void> {
    let isOver = false;
    this.#clock.setTimeout(() => {
      isOver = true;
    }, durationMs);
    while (!isOver) {
      // eslint-disable-next-line no-await-in-loop -- one timer after the other
      await runEventLoopTurns();
      this.#clock.next();
    }
    await runEventLoopTurns();
    this.#clock.tick(0);
    await runEventLoopTurns();
  }

  cell(name: string | undefined): FakeCell {
    const cell = this.#cells.find((one) => one.name === name);
    if (!cell) throw new Error(`no cell ${name}`);
    return cell;
  }

  /** Cells of all batches, in the order in which they were sent. */
  get sentTo(): readonly string[] {
    return this.cells.sent.map(({ cell }) => cell);
  }
}

/** Another host takes over the cell of the first batch, and the submitter notices. */
async function changeOwner(simulation: Simulation): Promise<void> {
  const cell = simulation.cell(simulation.sentTo[0]);
  cell.token += 1000;
  await simulation.pass(50);
}

describe('a job that has been answered', () => {
  let clock: FakeClock;

  beforeEach(() => {
    clock = install({ toFake: ['setTimeout', 'clearTimeout'] });
  });

  afterEach(() => clock.uninstall());

  // Guards against a batch sent to the new owner of a cell after its job was answered with 504.
  it('sends nothing to the new owner of a cell that a task group waits for', async () => {
    const lostCell = fakeCell('a');
    const simulation = new Simulation(clock, [lostCell, fakeCell('b')]);
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
    const simulation = new Simulation(clock, [fakeCell('a'), fakeCell('b')]);
    await simulation.submit([step(2)]);
    simulation.cells.sent[1]?.answer(givenUp('deadline'));
    await simulation.pass(0);
    expect(simulation.outcome).toEqual({ type: 'lost', reason: 'deadline' });
    await simulation.pass(LONG_MS);
    expect(simulation.sentTo).toEqual(['a', 'b']);
  });

  // Guards against a task group that is withdrawn before its start and offered to another cell.
  it('sends nothing to another cell when its answer withdraws an unstarted task group', async () => {
    const simulation = new Simulation(clock, [fakeCell('a', { isLocal: true }), fakeCell('b')]);
    await simulation.submit([step(2)]);
    simulation.cells.sent[1]?.answer(givenUp('deadline'));
    await simulation.pass(LONG_MS);
    expect(simulation.outcome).toEqual({ type: 'lost', reason: 'deadline' });
    expect(simulation.sentTo).toEqual(['a', 'b']);
  });

  // Guards against a refused task group that is queued late after another one ended the job.
  it('does not queue late a task group that all cells have refused', async () => {
    const simulation = new Simulation(clock, [fakeCell('a'), fakeCell('b')]);
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
    const simulation = new Simulation(clock, [cell]);
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
    const simulation = new Simulation(clock, [cell]);
    await simulation.submit([step(1)], 1500);
    await simulation.pass(1300);
    expect(simulation.outcome).toEqual(null);
    cell.isServing = true;
    await simulation.pass(50);
    expect(simulation.sentTo).toEqual(['a']);
    // Otherwise its objective would be over, and the cell would refuse it unless it were empty.
    expect(simulation.cells.sent[0]?.batch.waitedMs).toEqual(0);
    const late = new Simulation(clock, [fakeCell('a', { isServing: false })]);
    await late.submit([step(1)], 1500);
    await late.pass(1450);
    expect(late.outcome).toEqual({ type: 'refused', reason: 'no-cell', retryAfterMs: 300 });
  });

  // Guards against a step that starts because its predecessor succeeds just as the job ends.
  it('does not start a step whose predecessors end with it', async () => {
    const simulation = new Simulation(clock, [fakeCell('a', { room: 2 })]);
    await simulation.submit([step(1), step(1), step(1, [0])]);
    simulation.cells.sent[1]?.answer(givenUp('deadline'));
    simulation.cells.sent[0]?.answer({ type: 'done' });
    await simulation.pass(LONG_MS);
    expect(simulation.outcome).toEqual({ type: 'lost', reason: 'deadline' });
    expect(simulation.cells.sent.length).toEqual(2);
  });

  // Guards against callers that wait past their deadline because a task group is in a wait.
  it('is answered at its deadline even if it waits for a cell', async () => {
    const simulation = new Simulation(clock, [fakeCell('a', { isServing: false })]);
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
    const simulation = new Simulation(clock, [takenOver, fakeCell('b', { room: 2 })]);
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
    const simulation = new Simulation(clock, [takenOver, fakeCell('b', { room: 2 })]);
    await simulation.submit([step(2)]);
    expect(simulation.sentTo).toEqual(['b']);
  });

  // Guards against a start before a cell has an owner that could find runs of the job, and against
  // a job that waits for an owner for ever.
  it('waits for cells without an owner, but not longer than a takeover takes', async () => {
    const simulation = new Simulation(clock, [fakeCell('a', { room: 2 })]);
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
    const simulation = new Simulation(clock, [takenOver, fakeCell('b')]);
    await simulation.submit([step(1)]);
    simulation.runner.cancel(JOB_ID);
    await simulation.pass(LONG_MS);
    expect(simulation.outcome?.type).toEqual('refused');
    expect(simulation.sentTo).toEqual([]);
  });
});

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
    const simulation = new Simulation(clock, cells);
    await simulation.submit([step(10)]);
    await simulation.pass(50);
    expect(simulation.sentTo).toEqual([]);
    const expected = { type: 'refused', reason: 'overloaded', retryAfterMs: 250 } as const;
    expect(simulation.outcome).toEqual(expected);
  });

  it('is divided by what the cells can take in time, over as few as possible', async () => {
    const rooms = { a: 2, b: 6, c: 4 };
    const cells = Object.entries(rooms).map(([name, tasks]) =>
      fakeCell(name, { answeredRoom: room(tasks) }),
    );
    const simulation = new Simulation(clock, cells);
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
    const simulation = new Simulation(clock, cells);
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
    const simulation = new Simulation(clock, cells);
    simulation.cells.onSend = ({ cell, answer }) =>
      answer(cell === 'a' ? refused('overloaded') : DONE);
    await simulation.submit([step(4)]);
    await simulation.pass(0);
    expect(simulation.sentTo).toEqual(['a', 'b']);
    expect(simulation.outcome).toEqual({ type: 'completed' });
  });

  // Guards against jobs that owners of an earlier version, which do not answer, would have run.
  it('is sent in parts if no cell tells its room', async () => {
    const simulation = new Simulation(clock, [fakeCell('a'), fakeCell('b')]);
    simulation.cells.onSend = ({ answer }) => answer(DONE);
    await simulation.submit([step(4)]);
    await simulation.pass(0);
    expect(simulation.sentTo).toEqual(['a', 'b']);
  });

  // Guards against a part of a job in progress that is refused: the job would have to be given up.
  it('goes on late if a step before has run', async () => {
    const cells = ['a', 'b'].map((name) => fakeCell(name, { answeredRoom: room(1) }));
    const simulation = new Simulation(clock, cells);
    simulation.cells.onSend = ({ answer }) => answer(DONE);
    await simulation.submit([step(1), step(4, [0])]);
    await simulation.pass(50);
    expect(simulation.outcome).toEqual({ type: 'completed' });
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
    const simulation = new Simulation(clock, [cell]);
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
    const simulation = new Simulation(clock, [fakeCell('a', local), fakeCell('b', local)]);
    await simulation.submit([step(2)]);
    await simulation.pass(DEADLINE_MS);
    expect(simulation.outcome?.type).toEqual('refused');
    expect(simulation.sentTo).toEqual(['a', 'b']);
  });

  // Guards against a job that is refused as a whole because one task group finds no room.
  it('is not refused while another of its task groups may run; the group is queued late', async () => {
    const simulation = new Simulation(clock, [fakeCell('a'), fakeCell('b')]);
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
    const simulation = new Simulation(clock, [fakeCell('a'), fakeCell('b')]);
    const outcomes = [refused('expired'), DONE];
    simulation.cells.onSend = ({ answer }) => answer(outcomes.shift() ?? UNREACHABLE);
    await simulation.submit([step(1)]);
    expect(simulation.outcome).toEqual({ type: 'completed' });
    expect(new Set(simulation.sentTo).size).toEqual(1);
    expect(new Set(simulation.cells.sent.map(({ batch }) => batch.batchId)).size).toEqual(2);
  });

  // Guards against endless sends to a cell whose connections stay slow.
  it('goes to another cell if it was refused as expired twice', async () => {
    const simulation = new Simulation(clock, [fakeCell('a'), fakeCell('b')]);
    const outcomes = [refused('expired'), refused('expired'), DONE];
    simulation.cells.onSend = ({ answer }) => answer(outcomes.shift() ?? UNREACHABLE);
    await simulation.submit([step(1)]);
    const [first, second, third] = simulation.sentTo;
    expect(simulation.outcome).toEqual({ type: 'completed' });
    expect([first === second, second === third]).toEqual([true, false]);
  });

  // Guards against answering as lost a job that is known not to have run.
  it('is answered as not run if all cells refused it as expired', async () => {
    const simulation = new Simulation(clock, [fakeCell('a'), fakeCell('b')]);
    simulation.cells.onSend = ({ answer }) => answer(refused('expired'));
    await simulation.submit([step(1)]);
    expect(simulation.outcome).toEqual({ type: 'refused', reason: 'expired', retryAfterMs: 10 });
    expect(simulation.cells.sent.length).toEqual(4);
  });

  // Guards against a job answered as lost because the last cell tried has changed owners.
  it('is offered to all cells again if its job has started', async () => {
    const simulation = new Simulation(clock, [fakeCell('a'), fakeCell('b')]);
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
    const simulation = new Simulation(clock, [fakeCell('a')]);
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
    const simulation = new Simulation(clock, [fakeCell('a')]);
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
    const simulation = new Simulation(clock, [fakeCell('a'), fakeCell('b')]);
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

/** One event in a random course of a job; `pick` selects the batch or cell. */
interface Event {
  readonly afterMs: number;
  readonly kind: string;
  readonly pick: number;
}

const KINDS = [
  'done',
  'failed',
  'refused',
  'not-owner',
  'expired',
  'unreachable',
  'given-up',
  'drained',
  'owner-goes',
  'owner-comes',
  'cancel',
];

const EVENTS = fc.array(
  fc.record({
    afterMs: fc.constantFrom(0, 0, 1, 9, 21, 150, 700, LOST_RUNS_END_MS),
    kind: fc.constantFrom(...KINDS),
    pick: fc.nat({ max: 20 }),
  }),
  { minLength: 1, maxLength: 25 },
);

const STEPS = fc.constantFrom(
  [step(1)],
  [step(3)],
  [step(2), step(3)],
  [step(1), step(2), step(2, [0])],
  [step(2), step(2, [0]), step(1), step(2, [1, 2])],
);

function apply(simulation: Simulation, cells: readonly FakeCell[], { kind, pick }: Event): void {
  const open = simulation.cells.sent.filter(({ outcome }) => outcome === null);
  const sent = open[pick % Math.max(1, open.length)];
  const cell = cells[pick % cells.length];
  if (kind === 'done') sent?.answer({ type: 'done' });
  if (kind === 'failed') sent?.answer({ type: 'failed', task: '' });
  if (kind === 'refused') sent?.answer(refused('overloaded'));
  if (kind === 'not-owner') sent?.answer(refused('not-owner'));
  if (kind === 'drained') sent?.answer(RETURNED);
  if (kind === 'expired') sent?.answer(refused('expired'));
  if (kind === 'unreachable') sent?.answer(UNREACHABLE);
  if (kind === 'given-up') sent?.answer(givenUp('deadline'));
  if (kind === 'owner-goes' && cell) cell.isServing = false;
  if (kind === 'owner-comes' && cell)
    Object.assign(cell, { serves: true, token: cell.token + 1000 });
  if (kind === 'cancel') simulation.runner.cancel(JOB_ID);
}

describe('a job whose client disconnected while its submitter was paused', () => {
  let clock: FakeClock;

  beforeEach(() => {
    clock = install({ toFake: ['setTimeout', 'clearTimeout'] });
  });

  afterEach(() => clock.uninstall());

  /** Lets the end of the client's connection be read in the next turn of the event loop. */
  function cancelInNextTurn(simulation: Simulation): void {
    setImmediate(() => simulation.runner.cancel(JOB_ID));
  }

  // Guards against a step that starts because its predecessor's reply was read first.
  it('sends no further step', async () => {
    const simulation = new Simulation(clock, [fakeCell('a')]);
    await simulation.submit([step(1), step(1, [0])]);
    simulation.cells.sent[0]?.answer(DONE);
    cancelInNextTurn(simulation);
    await simulation.pass(100);
    expect(simulation.sentTo).toEqual(['a']);
  });

  // Guards against a task group offered to another cell because the refusal was read first.
  it('is not offered to another cell after a refusal', async () => {
    const simulation = new Simulation(clock, [fakeCell('a'), fakeCell('b')]);
    await simulation.submit([step(1)]);
    simulation.cells.sent[0]?.answer(refused('not-owner'));
    cancelInNextTurn(simulation);
    await simulation.pass(100);
    expect(simulation.sentTo.length).toEqual(1);
  });

  // Guards against a task group sent to the new owner by a timer that fires before pending reads.
  it('is not sent to the new owner of its cell after a wait', async () => {
    const cell = fakeCell('a');
    const simulation = new Simulation(clock, [cell]);
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

describe('tasks that a drained cell returns', () => {
  let clock: FakeClock;
  beforeEach(() => {
    clock = install({ toFake: ['setTimeout', 'clearTimeout'] });
  });
  afterEach(() => clock.uninstall());

  const DRAINED = { type: 'refused', reason: 'domain-drained', retryAfterMs: 1000 } as const;

  // Guards against a job that waits for its deadline, or is refused, though other domains have room.
  it('are sent to another cell at once, if nothing has run', async () => {
    const simulation = new Simulation(clock, [fakeCell('a'), fakeCell('b')]);
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
    const simulation = new Simulation(clock, cells);
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
    const simulation = new Simulation(clock, [fakeCell('a')]);
    await simulation.submit([step(1)]);
    Object.assign(simulation.cell('a'), { isServing: false });
    simulation.cells.expectsOwner = false;
    simulation.cells.sent[0]?.answer(RETURNED);
    await simulation.pass(0);
    expect(simulation.outcome).toEqual({ type: 'lost', reason: 'no-cell' });
    const other = new Simulation(clock, [fakeCell('a', { isServing: false })]);
    other.cells.expectsOwner = false;
    await other.submit([step(1)]);
    expect(other.outcome?.type).toEqual('refused');
    expect(other.answeredAtMs).toEqual(clock.now);
  });
});

describe('any course of a job', () => {
  // Guards against any state of a task group that misses the end of its job.
  it('leaves no batch running after its answer, and is refused only if no cell accepted it', async () => {
    await fc.assert(
      fc.asyncProperty(STEPS, EVENTS, fc.boolean(), async (steps, events, isLocal) => {
        const clock = install({ toFake: ['setTimeout', 'clearTimeout'] });
        try {
          const cells = [fakeCell('a', { isLocal }), fakeCell('b'), fakeCell('c', { room: 2 })];
          const simulation = new Simulation(clock, cells);
          await simulation.submit(steps);
          // eslint-disable-next-line no-restricted-syntax -- one event after the other
          for (const event of events) {
            apply(simulation, cells, event);
            // eslint-disable-next-line no-await-in-loop -- one event after the other
            await simulation.pass(event.afterMs);
          }
          await simulation.pass(LONG_MS);
          const { outcome, answeredAtMs } = simulation;
          const { sent } = simulation.cells;
          expect(outcome === null).toEqual(false);
          expect(answeredAtMs).toBeLessThanOrEqual(DEADLINE_MS);
          expect(sent.every((batch) => batch.outcome !== null)).toEqual(true);
          expect(sent.filter(({ sentAtMs }) => sentAtMs > answeredAtMs)).toEqual([]);
          if (outcome?.type === 'refused') {
            expect(sent.every((batch) => batch.outcome?.type === 'refused')).toEqual(true);
          }
          if (outcome?.type === 'completed') {
            const done = sent.filter((batch) => batch.outcome?.type === 'done');
            const names = new Set(done.flatMap(({ batch }) => batch.tasks.map(({ name }) => name)));
            const tasks = steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
            expect(names.size).toEqual(tasks);
          }
        } finally {
          clock.uninstall();
        }
      }),
      { numRuns: 300, seed: 1 },
    );
  });
});
