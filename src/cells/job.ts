/**
 * Jobs as the cells run them: a job has steps, a step has tasks of one shape. Values are never changed
 * in place. Durations are in milliseconds, processors in thousandths of a core.
 */

/** What each task of a step needs, and where it may run. */
export interface TaskShape {
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  /** Label that the worker must carry; null if any worker will do. */
  readonly requiredLabel: string | null;
  /** Rack that holds the data; tasks run slower elsewhere. Null if it makes no difference. */
  readonly preferredRack: string | null;
  /** Most tasks of the step on one worker; null if there is no limit. */
  readonly tasksPerWorker: number | null;
}

/** One step of a job; `after` lists earlier steps that must have succeeded. */
export interface JobStep {
  readonly taskCount: number;
  readonly shape: TaskShape;
  readonly estimateMs: number;
  readonly after: readonly number[];
}

/** A job whose caller waits for its end. */
export interface Job {
  readonly id: string;
  /** Passed to the workers as it came. */
  readonly payload: string;
  readonly steps: readonly JobStep[];
}

/** How the operators want the jobs of one queue to be run. */
export interface QueuePolicy {
  readonly name: string;
  /** Workers of this service run the tasks. */
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** A task that has failed this often fails its job. */
  readonly maxAttempts: number;
  /** The objective is `slackFactor` times the longest chain of tasks, and `goalMs` more. */
  readonly slackFactor: number;
  readonly goalMs: number;
  readonly timeoutMs: number;
}
