/**
 * A batch in its cell: which of its tasks are waiting, running or done, and the times by which it
 * should start and end.
 */
import type { BatchTask, TaskBatch } from './messages';
import type { SubmitterContact } from './submitterContact';

/** State of one task of a batch. */
export interface TaskEntry {
  readonly name: string;
  failures: number;
  /** Highest run number so far. */
  lastRun: number;
  done: boolean;
  /** Worker that runs the task; null while it waits. */
  workerId: string | null;
  /** The task is not started before this time, because an older run may still be in progress. */
  notBeforeMs: number;
  /** Workers on which the task has failed or been slow. */
  readonly avoided: Set<string>;
  /** Not started until it is known whether the workers that were lost under it have crashed. */
  isHeld: boolean;
  /** Time since which it could have started in isolation; null while it is not waiting for that. */
  isolatedSinceMs: number | null;
  /** A previous owner may have started it, and its run has not been found. */
  mayHaveRun: boolean;
}

/** An answer after this many times the objective is of no use to the caller. */
const USEFUL_OBJECTIVES = 3;

/** The objective, counted from the job's arrival. */
function totalObjectiveMs(spec: TaskBatch, expectedMs: number): number {
  const chainMs = expectedMs + spec.otherStepsMs;
  return spec.slackFactor * chainMs + spec.goalMs;
}

function createEntry(
  { name, failures, lastRun, mayRun }: BatchTask,
  previousRunsOverAtMs: number,
): TaskEntry {
  return {
    name,
    failures,
    lastRun,
    done: false,
    workerId: null,
    notBeforeMs: mayRun ? previousRunsOverAtMs : 0,
    avoided: new Set(),
    isHeld: false,
    isolatedSinceMs: null,
    mayHaveRun: mayRun,
  };
}

/** State of one batch. Times are on the clock of the cell's owner. */
export class Batch {
  readonly spec: TaskBatch;

  readonly tasks: readonly TaskEntry[];

  readonly contact: SubmitterContact;

  readonly arrivedAtMs: number;

  readonly objectiveAtMs: number;

  readonly deadlineAtMs: number;

  /** An answer after this time is of no use to the caller. */
  readonly usefulUntilMs: number;

  /** Set when it was admitted, or has stayed, to be served after its objective. */
  isDelayed = false;

  /** Expected run time of a task on an ordinary worker. */
  readonly expectedMs: number;

  #started: boolean;

  /** Runs of the previous owner are certain to have ended at `previousRunsOverAtMs`. */
  constructor(
    spec: TaskBatch,
    contact: SubmitterContact,
    expectedMs: number,
    previousRunsOverAtMs: number,
    nowMs: number,
  ) {
    this.spec = spec;
    this.contact = contact;
    this.arrivedAtMs = nowMs;
    const objectiveMs = totalObjectiveMs(spec, expectedMs);
    const jobArrivedAtMs = nowMs - spec.waitedMs;
    this.objectiveAtMs = jobArrivedAtMs + objectiveMs;
    this.deadlineAtMs = nowMs + spec.deadlineInMs;
    this.usefulUntilMs = Math.min(
      this.deadlineAtMs,
      jobArrivedAtMs + USEFUL_OBJECTIVES * objectiveMs,
    );
    this.expectedMs = expectedMs;
    this.#started = spec.mayRun;
    this.tasks = spec.tasks.map((task) => createEntry(task, previousRunsOverAtMs));
  }

  get id(): string {
    return this.spec.batchId;
  }

  /** Latest start that meets the objective. The batches of a queue are served in this order. */
  get latestStartMs(): number {
    return this.objectiveAtMs - this.expectedMs;
  }

  /** Latest start after which its answer is still of use to the caller. */
  get latestUsefulStartMs(): number {
    return this.usefulUntilMs - this.expectedMs;
  }

  /** True if a start of one of its tasks has been sent, possibly by the previous owner. */
  get started(): boolean {
    return this.#started;
  }

  markStarted(): void {
    this.#started = true;
  }

  get isDone(): boolean {
    return this.tasks.every(({ done }) => done);
  }

  /** True if its job has begun, so that it is queued even when it will miss its objective. */
  get isBegun(): boolean {
    return this.started || this.spec.begun;
  }

  task(name: string): TaskEntry | undefined {
    return this.tasks.find((task) => task.name === name);
  }

  /** True if its deadline has passed, so that its outcome is no longer awaited. */
  isPastDeadline(nowMs: number): boolean {
    return nowMs >= this.deadlineAtMs;
  }

  /** Failed runs of the tasks that have not succeeded; empty if there is none. */
  get failures(): Readonly<Record<string, number>> {
    const failed = this.tasks.filter(({ done, failures }) => !done && failures > 0);
    return Object.fromEntries(failed.map(({ name, failures }) => [name, failures]));
  }

  /** Names of the tasks that may be in progress and of those that have succeeded. */
  progress(nowMs: number): {
    readonly started: readonly string[];
    readonly succeeded: readonly string[];
  } {
    const running = this.tasks.filter(
      // A run that a previous owner started may be in progress until `notBeforeMs`.
      ({ done, workerId, notBeforeMs }) => !done && (workerId !== null || notBeforeMs > nowMs),
    );
    const succeeded = this.tasks.filter(({ done }) => done);
    return {
      started: running.map(({ name }) => name),
      succeeded: succeeded.map(({ name }) => name),
    };
  }

  /** Tasks that may be started now. */
  startableTasks(nowMs: number): readonly TaskEntry[] {
    return this.tasks.filter(
      ({ done, workerId, notBeforeMs, isHeld }) =>
        !done && workerId === null && !isHeld && notBeforeMs <= nowMs,
    );
  }

  /** Number of tasks that are neither done, nor running, nor held. */
  get waitingCount(): number {
    let count = 0;
    this.tasks.forEach(({ done, workerId, isHeld }) => {
      if (!done && workerId === null && !isHeld) count += 1;
    });
    return count;
  }
}
