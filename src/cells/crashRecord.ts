/** Records of workers that were lost while a run of a task was in progress on them. */

/** What is known of the loss of a worker. */
export const CrashState = {
  /** The worker does not answer: it has crashed, is cut off or is paused. */
  suspected: 'suspected',
  /** Another process answers in the worker's place, so that the process with the run is gone. */
  confirmed: 'confirmed',
  /** The process with the run answers again. */
  refuted: 'refuted',
} as const;
export type CrashState = (typeof CrashState)[keyof typeof CrashState];

/** The loss of one worker process under one run of a task. */
export interface CrashRecord {
  readonly task: string;
  readonly run: number;
  readonly workerId: string;
  /** Start of the worker's process, in Unix milliseconds; 0 if it is not known. */
  readonly processStartMs: number;
  /**
   * True if the task was the only one on the worker, or the only one there that had been on a lost
   * worker before.
   */
  readonly isAttributable: boolean;
  readonly state: CrashState;
  /** Time of day at which the loss was noticed first, in Unix milliseconds. */
  readonly observedAtMs: number;
  /** Increases with each change of the record. */
  readonly version: number;
}

/** Key of a record among those of its task. */
export function crashKey({ run, workerId }: Pick<CrashRecord, 'run' | 'workerId'>): string {
  return `${run}@${workerId}`;
}

/** Id of the job to which a task belongs. */
export function jobIdOf(task: string): string {
  return task.split('.')[0] ?? '';
}

const STATES: ReadonlySet<unknown> = new Set(Object.values(CrashState));

function isTime(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

/** Returns the value if it is a valid record; null otherwise. */
export function parseCrashRecord(value: unknown): CrashRecord | null {
  if (typeof value !== 'object' || value === null) return null;
  const { task, run, workerId, processStartMs, isAttributable, state, observedAtMs, version } =
    value as Partial<Record<keyof CrashRecord, unknown>>;
  if (typeof task !== 'string' || typeof workerId !== 'string') return null;
  if (!isTime(run) || !isTime(processStartMs) || !isTime(observedAtMs)) return null;
  if (!isTime(version) || typeof isAttributable !== 'boolean' || !STATES.has(state)) return null;
  return {
    task,
    run,
    workerId,
    processStartMs,
    isAttributable,
    state: state as CrashState,
    observedAtMs,
    version,
  };
}
