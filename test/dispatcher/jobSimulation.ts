/** A submitter in virtual time with fake cells. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { Clock as FakeClock } from '@sinonjs/fake-timers';
import type { JobStep } from '../../src/cells/job';
import type { BatchOutcome } from '../../src/cells/messages';
import { JobRunner } from '../../src/dispatcher/jobs/jobRunner';
import { StepRunner } from '../../src/dispatcher/jobs/stepRunner';
import type { JobOutcome } from '../../src/dispatcher/jobs/runningJob';
import { FakeCells, PRESENT_CALLER, TASK_CPU_MILLIS, type FakeCell } from './fakeCells';

/** Id of the job of a simulation. */
export const JOB_ID = '00000000000000aa';
/** Time after which all runs of a lost owner have ended. */
export const LOST_RUNS_END_MS = 2050;
/** Deadline of a job unless a test sets one. */
export const DEADLINE_MS = 9000;
/** Longer than the leases of any owner and all waits of a job. */
export const LONG_MS = 2 * DEADLINE_MS;
/** Answer of a cell that has run all tasks. */
export const DONE = { type: 'done' } as const;
/** Answer of a drained cell in which tasks have run, and none has succeeded. */
export const RETURNED: BatchOutcome = {
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

/** A step of tasks that take 100 ms. */
export function step(taskCount: number, after: readonly number[] = []): JobStep {
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
export class JobSimulation {
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
export async function changeOwner(simulation: JobSimulation): Promise<void> {
  const cell = simulation.cell(simulation.sentTo[0]);
  cell.token += 1000;
  await simulation.pass(50);
}
