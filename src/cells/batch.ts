/**
 * A batch in its cell: which of its tasks wait, run or have succeeded, and until when its end is of use.
 */
import type { BatchTask, TaskBatch } from './messages';
import type { SubmitterContact } from './submitterContact';

/** State of one task of a batch. */
export interface TaskEntry {
  readonly name: string;
  failures: number;
  lastRun: number;
  done: boolean;
  /** Worker that runs it, or null while it waits. */
  workerId: string | null;
  /** Nothing is started before this time, because an older run may still be in progress. */
  notBeforeMs: number;
  /** Workers on which it has failed or been slow. */
  readonly avoided: Set<string>;
}

/** The longest task of a step takes about this much longer than the mean. */
const LONGEST_TASK_FACTOR = 1.1;

function objectiveInMs(order: TaskBatch, expectedMs: number): number {
  const chainMs = expectedMs * LONGEST_TASK_FACTOR + order.otherStepsMs;
  return order.slackFactor * chainMs + order.goalMs - order.waitedMs;
}

function entryOf({ name, failures, lastRun, mayRun }: BatchTask, settledAtMs: number): TaskEntry {
  return {
    name,
    failures,
    lastRun,
    done: false,
    workerId: null,
    notBeforeMs: mayRun ? settledAtMs : 0,
    avoided: new Set(),
  };
}

/** One batch. Times are on the clock of the cell's owner. */
export class Batch {
  readonly order: TaskBatch;

  readonly tasks: readonly TaskEntry[];

  readonly contact: SubmitterContact;

  readonly arrivedAtMs: number;

  readonly objectiveAtMs: number;

  readonly deadlineAtMs: number;

  /** Expected run time of a task on an ordinary worker. */
  readonly expectedMs: number;

  #started: boolean;

  /** `settledAtMs` is when runs of the previous owner are surely over. */
  constructor(
    order: TaskBatch,
    contact: SubmitterContact,
    expectedMs: number,
    settledAtMs: number,
    nowMs: number,
  ) {
    this.order = order;
    this.contact = contact;
    this.arrivedAtMs = nowMs;
    this.objectiveAtMs = nowMs + objectiveInMs(order, expectedMs);
    this.deadlineAtMs = nowMs + order.deadlineInMs;
    this.expectedMs = expectedMs;
    this.#started = order.mayRun;
    this.tasks = order.tasks.map((task) => entryOf(task, settledAtMs));
  }

  get id(): string {
    return this.order.batchId;
  }

  /** Latest start with which the objective can be kept; batches are served in this order. */
  get latestStartMs(): number {
    return this.objectiveAtMs - this.expectedMs;
  }

  /** True once a start of it has been sent. */
  get started(): boolean {
    return this.#started;
  }

  markStarted(): void {
    this.#started = true;
  }

  get isDone(): boolean {
    return this.tasks.every(({ done }) => done);
  }

  /** True if the batch must be queued even when it will be late. */
  get isBegun(): boolean {
    return this.started || this.order.begun;
  }

  task(name: string): TaskEntry | undefined {
    return this.tasks.find((task) => task.name === name);
  }

  /** True if nobody waits for its end any more. */
  isOver(nowMs: number): boolean {
    return nowMs >= this.deadlineAtMs;
  }

  /** How far its tasks have come, for the next owner of the cell. */
  progress(nowMs: number): {
    readonly started: readonly string[];
    readonly succeeded: readonly string[];
  } {
    const running = this.tasks.filter(
      // A run of an owner before this one may be in progress until `notBeforeMs`.
      ({ done, workerId, notBeforeMs }) => !done && (workerId !== null || notBeforeMs > nowMs),
    );
    const succeeded = this.tasks.filter(({ done }) => done);
    return {
      started: running.map(({ name }) => name),
      succeeded: succeeded.map(({ name }) => name),
    };
  }

  /** Tasks that could be started now. */
  waiting(nowMs: number): readonly TaskEntry[] {
    return this.tasks.filter(
      ({ done, workerId, notBeforeMs }) => !done && workerId === null && notBeforeMs <= nowMs,
    );
  }

  /** Number of tasks without a run. */
  get waitingCount(): number {
    return this.tasks.filter(({ done, workerId }) => !done && workerId === null).length;
  }
}
