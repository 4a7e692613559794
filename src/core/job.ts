/**
 * Jobs, tasks and answers, as submitted and received by callers. A job is the unit of submission
 * and of the answer. Its answer is either complete, with the result of every task exactly once, or
 * gives the state of each task as far as it is known.
 */

/** Resources that one task uses on a worker while it runs, in addition to one slot. */
export interface Resources {
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** One task of a job. `declaredMs` is the caller's estimate of its run time. */
export interface TaskSpec {
  readonly id: string;
  readonly payload: unknown;
  readonly declaredMs?: number;
}

/** A validated job. `deadlineMs` is the caller's time budget, counted from arrival. */
export interface JobSpec {
  readonly team: string;
  readonly kind: string;
  readonly deadlineMs: number;
  readonly resources: Resources;
  readonly tasks: readonly TaskSpec[];
}

/** State of one task. See docs/design.md, section 6. */
export const TaskState = {
  queued: 'queued',
  started: 'started',
  succeeded: 'succeeded',
  failed: 'failed',
  notRun: 'notRun',
  unknown: 'unknown',
  stopped: 'stopped',
} as const;
export type TaskState = (typeof TaskState)[keyof typeof TaskState];

/** Final state of one task in an answer. */
export interface TaskReport {
  readonly id: string;
  readonly state: TaskState;
  readonly result?: unknown;
  readonly error?: string;
}

/** How a submission ended. */
export const Outcome = {
  complete: 'complete',
  failed: 'failed',
  refused: 'refused',
  cancelled: 'cancelled',
  unknown: 'unknown',
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** Why a submission was refused or failed. Also the reason in the decision log. */
export const Reason = {
  overloaded: 'overloaded',
  teamOverLimit: 'team-over-limit',
  impossibleJob: 'impossible-job',
  draining: 'draining',
  unknownTeam: 'unknown-team',
  unknownKind: 'unknown-kind',
  keyRequired: 'key-required',
  invalidKey: 'invalid-key',
  keyExpired: 'key-expired',
  keyReused: 'key-reused',
  deadline: 'deadline',
  taskFailed: 'task-failed',
  taskUnknown: 'task-unknown',
  cancelled: 'cancelled',
  issuerUnreachable: 'issuer-unreachable',
  noConfiguration: 'no-configuration',
  answerDropped: 'answer-dropped',
} as const;
export type Reason = (typeof Reason)[keyof typeof Reason];

/**
 * The answer to one submission. `notRun` is true only if no task of it has started or ever will.
 * `retryAfterMs` tells the caller when to submit again.
 */
export interface JobAnswer {
  readonly outcome: Outcome;
  readonly key: string;
  readonly notRun: boolean;
  readonly reason?: Reason;
  readonly retryAfterMs?: number;
  readonly tasks: readonly TaskReport[];
}
