/**
 * Jobs as run by the cells. A job consists of steps, and a step of tasks with the same shape.
 * Values are immutable. Durations are in milliseconds, CPU in thousandths of a core.
 */

/** Resource needs and placement constraints of each task of a step. */
export interface TaskShape {
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  /** Label that the worker must have; null if any worker will do. */
  readonly requiredLabel: string | null;
  /** Rack that holds the task's data; tasks run slower on other racks. Null if there is none. */
  readonly preferredRack: string | null;
  /** Maximum number of the step's tasks on one worker; null if unlimited. */
  readonly tasksPerWorker: number | null;
}

/** One step of a job; `after` holds the indexes of earlier steps that must have succeeded. */
export interface JobStep {
  readonly taskCount: number;
  readonly shape: TaskShape;
  readonly estimateMs: number;
  readonly after: readonly number[];
}

/** A job whose caller waits for its outcome. */
export interface Job {
  readonly id: string;
  /** Passed to the workers unchanged. */
  readonly payload: string;
  readonly steps: readonly JobStep[];
}

/** Policy that operators set for the jobs of one queue. */
export interface QueuePolicy {
  readonly name: string;
  /** Workers of this service run the tasks. */
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** A job fails once one of its tasks has failed this many times. */
  readonly maxAttempts: number;
  /** The objective is `slackFactor` times the longest chain of tasks, plus `goalMs`. */
  readonly slackFactor: number;
  readonly goalMs: number;
  readonly timeoutMs: number;
}
