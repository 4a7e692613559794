/** Guards against work of a job that goes on after the job was answered, and against untrue refusals. */
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setImmediate as turnEnd } from 'node:timers/promises';
import { install, type Clock as FakeClock } from '@sinonjs/fake-timers';
import { expect } from 'earl';
import fc from 'fast-check';
import type { JobStep } from '../../src/cells/job';
import { JobRunner } from '../../src/dispatcher/jobRunner';
import { StepRunner } from '../../src/dispatcher/stepRunner';
import type { JobOutcome } from '../../src/dispatcher/runningJob';
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
const SETTLE_MS = 2050;
const DEADLINE_MS = 9000;
/** Well after the leases of any owner and all waits of a job. */
const LONG_MS = 2 * DEADLINE_MS;
const DONE = { type: 'done' } as const;

/** Reads before sends take two turns of the event loop each, in real time; some follow one another. */
const TURNS = 12;

async function turnsOfTheLoop(): Promise<void> {
  for (let turn = 0; turn < TURNS; turn += 1) {
    // eslint-disable-next-line no-await-in-loop -- one turn after the other
    await turnEnd();
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

/** A submitter in virtual time, its cells, and the answer to its one job. */
class World {
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
    const parts = new StepRunner({
      cluster: this.cells,
      random: { next: () => 0.5 },
      prefix: 'a',
      lostRunsEndMs: SETTLE_MS,
      ...common,
    });
    this.runner = new JobRunner({ stepRunner: parts, ...common });
  }

  /** Hands a job in, and waits until its first batches are sent. */
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

  /** Lets time pass; before each timer, what follows from the one before is done. */
  async pass(durationMs: number): Promise<void> {
    let isOver = false;
    this.#clock.setTimeout(() => {
      isOver = true;
    }, durationMs);
    while (!isOver) {
      // eslint-disable-next-line no-await-in-loop -- one timer after the other
      await turnsOfTheLoop();
      this.#clock.next();
    }
    await turnsOfTheLoop();
    this.#clock.tick(0);
    await turnsOfTheLoop();
  }

  cell(name: string | undefined): FakeCell {
    const cell = this.#cells.find((one) => one.name === name);
    if (!cell) throw new Error(`no cell ${name}`);
    return cell;
  }

  /** Cells of all batches, in the order of sending. */
  get sentTo(): readonly string[] {
    return this.cells.sent.map(({ cell }) => cell);
  }
}

/** Another host takes over the cell that has the first batch; the submitter notices. */
async function changeOwner(world: World): Promise<void> {
  const cell = world.cell(world.sentTo[0]);
  cell.token += 1000;
  await world.pass(50);
}

describe('a job that has been answered', () => {
  let clock: FakeClock;

  beforeEach(() => {
    clock = install({ toFake: ['setTimeout', 'clearTimeout'] });
  });

  afterEach(() => clock.uninstall());

  // Guards against a batch that the next owner of a cell gets for a job that was answered 504 before.
  it('sends nothing to the next owner of a cell that a part waits for', async () => {
    const lostCell = fakeCell('a');
    const world = new World(clock, [lostCell, fakeCell('b')]);
    await world.submit([step(2)]);
    lostCell.isServing = false;
    world.cells.sent[0]?.answer(UNREACHABLE);
    await world.pass(100);
    world.cells.sent[1]?.answer(givenUp('deadline'));
    await world.pass(100);
    expect(world.outcome).toEqual({ type: 'lost', reason: 'deadline' });
    Object.assign(lostCell, { token: 2000, serves: true });
    await world.pass(LONG_MS);
    expect(world.sentTo).toEqual(['a', 'b']);
  });

  // Guards against parts that were withdrawn with the answer and start elsewhere after the leases.
  it('sends nothing after the leases of the parts that its answer has withdrawn', async () => {
    const world = new World(clock, [fakeCell('a'), fakeCell('b')]);
    await world.submit([step(2)]);
    world.cells.sent[1]?.answer(givenUp('deadline'));
    await world.pass(0);
    expect(world.outcome).toEqual({ type: 'lost', reason: 'deadline' });
    await world.pass(LONG_MS);
    expect(world.sentTo).toEqual(['a', 'b']);
  });

  // Guards against a part that was withdrawn before its start and is offered to the next cell.
  it('sends nothing to another cell when its answer withdraws a part that has not started', async () => {
    const world = new World(clock, [fakeCell('a', { isLocal: true }), fakeCell('b')]);
    await world.submit([step(2)]);
    world.cells.sent[1]?.answer(givenUp('deadline'));
    await world.pass(LONG_MS);
    expect(world.outcome).toEqual({ type: 'lost', reason: 'deadline' });
    expect(world.sentTo).toEqual(['a', 'b']);
  });

  // Guards against a part that waits to be queued late and is sent after another part ended the job.
  it('does not force a part that all cells have refused', async () => {
    const world = new World(clock, [fakeCell('a'), fakeCell('b')]);
    world.cells.onSend = (sent) => {
      if (sent.batch.tasks[0]?.name.endsWith('.0')) sent.answer(refused('overloaded'));
    };
    await world.submit([step(2)]);
    const refusals = world.cells.sent.filter(({ outcome }) => outcome?.type === 'refused').length;
    world.cells.sent.find(({ outcome }) => outcome === null)?.answer(givenUp('deadline'));
    await world.pass(LONG_MS);
    expect(world.outcome).toEqual({ type: 'lost', reason: 'deadline' });
    expect(world.cells.sent.length).toEqual(refusals + 1);
  });

  // Guards against a batch that is sent for a job whose caller left before any cell served.
  it('sends nothing when it was cancelled while it waited for a cell', async () => {
    const cell = fakeCell('a', { isServing: false });
    const world = new World(clock, [cell]);
    await world.submit([step(1)]);
    world.runner.cancel(JOB_ID);
    cell.isServing = true;
    await world.pass(LONG_MS);
    expect(world.outcome?.type).toEqual('refused');
    expect(world.sentTo).toEqual([]);
  });

  // Guards against a step that begins because its predecessor ended just when the job was given up.
  it('does not begin a step whose predecessors end with it', async () => {
    const world = new World(clock, [fakeCell('a', { room: 2 })]);
    await world.submit([step(1), step(1), step(1, [0])]);
    world.cells.sent[1]?.answer(givenUp('deadline'));
    world.cells.sent[0]?.answer({ type: 'done' });
    await world.pass(LONG_MS);
    expect(world.outcome).toEqual({ type: 'lost', reason: 'deadline' });
    expect(world.cells.sent.length).toEqual(2);
  });

  // Guards against callers that wait past their deadline because a part sleeps when it is reached.
  it('is answered at its deadline even if it waits for a cell', async () => {
    const world = new World(clock, [fakeCell('a', { isServing: false })]);
    const deadlineMs = 115;
    await world.submit([step(1)], deadlineMs);
    await world.pass(LONG_MS);
    expect(world.outcome?.type).toEqual('refused');
    expect(world.answeredAtMs).toBeLessThanOrEqual(deadlineMs);
  });
});

describe('a refused job', () => {
  let clock: FakeClock;

  beforeEach(() => {
    clock = install({ toFake: ['setTimeout', 'clearTimeout'] });
  });

  afterEach(() => clock.uninstall());

  // Guards against the answer "not run" for a job of which another step is at an owner.
  it('is answered as lost if a step finds no cell while another step is at an owner', async () => {
    const cell = fakeCell('a');
    const world = new World(clock, [cell]);
    world.cells.onSend = () => {
      cell.isServing = false;
    };
    await world.submit([step(1), step(1)]);
    await world.pass(LONG_MS);
    expect(world.sentTo).toEqual(['a']);
    expect(world.outcome).toEqual({ type: 'lost', reason: 'no-cell' });
    expect(world.answeredAtMs).toEqual(0);
  });

  // Guards against 504, after which clients come again, for a job of which surely nothing has started.
  it('is refused if all its parts were withdrawn before they started', async () => {
    const local = { isLocal: true };
    const world = new World(clock, [fakeCell('a', local), fakeCell('b', local)]);
    await world.submit([step(2)]);
    await world.pass(DEADLINE_MS);
    expect(world.outcome?.type).toEqual('refused');
    expect(world.sentTo).toEqual(['a', 'b']);
  });

  // Guards against a job that is refused as a whole because one part of it finds no room.
  it('is not refused while another of its parts may run; the part is queued late', async () => {
    const world = new World(clock, [fakeCell('a'), fakeCell('b')]);
    await world.submit([step(2)]);
    world.cells.sent[0]?.answer(refused('overloaded'));
    await world.pass(0);
    world.cells.onSend = ({ batch, answer }) => {
      answer(batch.begun ? { type: 'done' } : refused('overloaded'));
    };
    world.cells.sent.slice(2).forEach(({ answer }) => answer(refused('overloaded')));
    await world.pass(50);
    expect(world.cells.sent.at(-1)?.batch.begun).toEqual(true);
    expect(world.outcome).toEqual(null);
    world.cells.sent[1]?.answer({ type: 'done' });
    await world.pass(0);
    expect(world.outcome).toEqual({ type: 'completed' });
  });
});

describe('a part that cells refuse as not run', () => {
  let clock: FakeClock;

  beforeEach(() => {
    clock = install({ toFake: ['setTimeout', 'clearTimeout'] });
  });

  afterEach(() => clock.uninstall());

  // Guards against a job refused by its only cell because a reading of its clocks was out of date.
  it('is sent to the same cell once more, as a new batch, if it came too late', async () => {
    const world = new World(clock, [fakeCell('a'), fakeCell('b')]);
    const outcomes = [refused('expired'), DONE];
    world.cells.onSend = ({ answer }) => answer(outcomes.shift() ?? UNREACHABLE);
    await world.submit([step(1)]);
    expect(world.outcome).toEqual({ type: 'completed' });
    expect(new Set(world.sentTo).size).toEqual(1);
    expect(new Set(world.cells.sent.map(({ batch }) => batch.batchId)).size).toEqual(2);
  });

  // Guards against a cell whose connections are slow for long, tried without end.
  it('goes to another cell if it came too late twice', async () => {
    const world = new World(clock, [fakeCell('a'), fakeCell('b')]);
    const outcomes = [refused('expired'), refused('expired'), DONE];
    world.cells.onSend = ({ answer }) => answer(outcomes.shift() ?? UNREACHABLE);
    await world.submit([step(1)]);
    const [first, second, third] = world.sentTo;
    expect(world.outcome).toEqual({ type: 'completed' });
    expect([first === second, second === third]).toEqual([true, false]);
  });

  // Guards against an answer that tells the caller less than is known: nothing has run.
  it('is answered as not run if it came too late at all cells', async () => {
    const world = new World(clock, [fakeCell('a'), fakeCell('b')]);
    world.cells.onSend = ({ answer }) => answer(refused('expired'));
    await world.submit([step(1)]);
    expect(world.outcome).toEqual({ type: 'refused', reason: 'expired', retryAfterMs: 10 });
    expect(world.cells.sent.length).toEqual(4);
  });

  // Guards against a job answered as lost because the one cell asked in the end is no owner any more.
  it('is offered to all cells again if its job has begun', async () => {
    const world = new World(clock, [fakeCell('a'), fakeCell('b')]);
    await world.submit([step(1), step(1, [0])]);
    const last = [refused('overloaded'), refused('overloaded'), refused('not-owner'), DONE];
    world.cells.onSend = ({ answer }) => answer(last.shift() ?? DONE);
    world.cells.sent[0]?.answer(DONE);
    await world.pass(50);
    expect(world.outcome).toEqual({ type: 'completed' });
    expect(new Set(world.sentTo.slice(-2)).size).toEqual(2);
  });

  // Guards against a job answered as lost because the next owner of a cell did not take it at once.
  it('is sent to the next owner of its cell again', async () => {
    const world = new World(clock, [fakeCell('a')]);
    await world.submit([step(1)]);
    world.cells.sent[0]?.answer(UNREACHABLE);
    await changeOwner(world);
    world.cells.sent[1]?.answer(refused('not-owner'));
    await world.pass(50);
    world.cells.sent[2]?.answer(DONE);
    await world.pass(0);
    expect(world.outcome).toEqual({ type: 'completed' });
    expect(world.cells.sent[2]?.batch.mayRun).toEqual(true);
  });

  // Guards against runs that nobody claims where two owners had equal tokens and one gave the cell up.
  it('is sent to the owner that is left of two with equal tokens', async () => {
    const world = new World(clock, [fakeCell('a')]);
    await world.submit([step(1)]);
    world.cell('a').ownerId = 'a';
    world.cells.sent[0]?.answer(UNREACHABLE);
    await world.pass(50);
    expect(world.cells.sent[1]?.batch.mayRun).toEqual(true);
    world.cells.sent[1]?.answer(DONE);
    await world.pass(0);
    expect(world.outcome).toEqual({ type: 'completed' });
  });

  // Guards against a second run of a task whose first one the next owner has adopted.
  it('starts elsewhere only when the leases of the last owner that has refused it are over', async () => {
    const world = new World(clock, [fakeCell('a'), fakeCell('b')]);
    await world.submit([step(1)]);
    world.cells.sent[0]?.answer(UNREACHABLE);
    await world.pass(SETTLE_MS - 100);
    await changeOwner(world);
    const refusedAtMs = clock.now;
    const owners = world.sentTo[0];
    world.cells.sent[1]?.answer(refused('not-owner'));
    world.cell(owners).isServing = false;
    await world.pass(LONG_MS);
    const elsewhere = world.cells.sent.filter(({ cell }) => cell !== owners);
    expect(elsewhere.length).toEqual(1);
    expect((elsewhere[0]?.sentAtMs ?? 0) - refusedAtMs).toBeGreaterThanOrEqual(SETTLE_MS);
  });
});

/** What happens to the job next, and to whom. */
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
  'owner-goes',
  'owner-comes',
  'cancel',
];

const EVENTS = fc.array(
  fc.record({
    afterMs: fc.constantFrom(0, 0, 1, 9, 21, 150, 700, SETTLE_MS),
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

function apply(world: World, cells: readonly FakeCell[], { kind, pick }: Event): void {
  const open = world.cells.sent.filter(({ outcome }) => outcome === null);
  const sent = open[pick % Math.max(1, open.length)];
  const cell = cells[pick % cells.length];
  if (kind === 'done') sent?.answer({ type: 'done' });
  if (kind === 'failed') sent?.answer({ type: 'failed', task: '' });
  if (kind === 'refused') sent?.answer(refused('overloaded'));
  if (kind === 'not-owner') sent?.answer(refused('not-owner'));
  if (kind === 'expired') sent?.answer(refused('expired'));
  if (kind === 'unreachable') sent?.answer(UNREACHABLE);
  if (kind === 'given-up') sent?.answer(givenUp('deadline'));
  if (kind === 'owner-goes' && cell) cell.isServing = false;
  if (kind === 'owner-comes' && cell)
    Object.assign(cell, { serves: true, token: cell.token + 1000 });
  if (kind === 'cancel') world.runner.cancel(JOB_ID);
}

describe('a job whose client gave it up while its submitter stood still', () => {
  let clock: FakeClock;

  beforeEach(() => {
    clock = install({ toFake: ['setTimeout', 'clearTimeout'] });
  });

  afterEach(() => clock.uninstall());

  /** The end of the client's connection is read in the next turn of the event loop. */
  function leaveUnread(world: World): void {
    setImmediate(() => world.runner.cancel(JOB_ID));
  }

  // Guards against a step that starts because the end of the one before it was read first.
  it('sends no further step', async () => {
    const world = new World(clock, [fakeCell('a')]);
    await world.submit([step(1), step(1, [0])]);
    world.cells.sent[0]?.answer(DONE);
    leaveUnread(world);
    await world.pass(100);
    expect(world.sentTo).toEqual(['a']);
  });

  // Guards against a part that is offered elsewhere because a refusal was read first.
  it('is not offered to another cell after a refusal', async () => {
    const world = new World(clock, [fakeCell('a'), fakeCell('b')]);
    await world.submit([step(1)]);
    world.cells.sent[0]?.answer(refused('not-owner'));
    leaveUnread(world);
    await world.pass(100);
    expect(world.sentTo.length).toEqual(1);
  });

  // Guards against a part that the timer sends to the next owner before anything is read.
  it('is not sent to the next owner of its cell after a wait', async () => {
    const cell = fakeCell('a');
    const world = new World(clock, [cell]);
    await world.submit([step(1)]);
    cell.isServing = false;
    world.cells.sent[0]?.answer(UNREACHABLE);
    await world.pass(30);
    // When the process wakes, the cell has a new owner, and the timer of the wait runs first.
    Object.assign(cell, { serves: true, token: 2000 });
    clock.tick(20);
    leaveUnread(world);
    await world.pass(100);
    expect(world.sentTo).toEqual(['a']);
  });
});

describe('any course of a job', () => {
  // Guards against a state of a part in which it does not see that its job has ended.
  it('leaves no batch behind its answer, and refuses only what no cell has taken', async () => {
    await fc.assert(
      fc.asyncProperty(STEPS, EVENTS, fc.boolean(), async (steps, events, isLocal) => {
        const clock = install({ toFake: ['setTimeout', 'clearTimeout'] });
        try {
          const cells = [fakeCell('a', { isLocal }), fakeCell('b'), fakeCell('c', { room: 2 })];
          const world = new World(clock, cells);
          await world.submit(steps);
          // eslint-disable-next-line no-restricted-syntax -- one event after the other
          for (const event of events) {
            apply(world, cells, event);
            // eslint-disable-next-line no-await-in-loop -- one event after the other
            await world.pass(event.afterMs);
          }
          await world.pass(LONG_MS);
          const { outcome, answeredAtMs } = world;
          const { sent } = world.cells;
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
