/** State of the decision code as shown to operators. Plain JSON values. */

/** Waiting and running tasks of one kind at the scheduler of a domain. */
export interface QueueState {
  readonly team: string;
  readonly kind: string;
  readonly urgency: number;
  readonly queuedTasks: number;
  readonly usedSlots: number;
  readonly meanRunTimeMs: number;
  /**
   * When the request that is next in the queue arrived, on the scheduler's clock; null if none
   * waits.
   */
  readonly oldestArrivalMs: number | null;
}

/** State of one worker at the scheduler of its domain. */
export interface WorkerCondition {
  readonly id: string;
  readonly rack: string;
  readonly address: string;
  readonly state: string;
  readonly slots: number;
  readonly usedSlots: number;
  readonly freeSlots: number;
  readonly runTimeRatio: number;
}

/** State of a scheduler. Only an active one grants slots. */
export interface SchedulerView {
  readonly domain: string;
  readonly active: boolean;
  readonly suspended: boolean;
  readonly grantsInUse: number;
  readonly queues: readonly QueueState[];
  readonly workers: readonly WorkerCondition[];
}

/** State of a submitter. */
export interface SubmitterView {
  readonly submissions: number;
  readonly pending: number;
  readonly attemptsInProgress: number;
  readonly waitingRequests: number;
  readonly draining: boolean;
}

/** State of one host's core. */
export interface HostView {
  readonly submitter: SubmitterView;
  readonly scheduler: SchedulerView;
}
