/**
 * Which workers were lost under which tasks, and what follows for the next start of a task. A task
 * that crashes its workers must not go on to the next one for as long as its deadline allows, and a
 * task that only shared a worker with it must not be given up for that. So a task that was on a lost
 * worker is isolated when it starts again, which tells the two apart: the second loss concerns one
 * such task only. The records outlive batches, jobs and owners; hosts exchange them.
 */
import { crashKey, CrashState, jobIdOf, parseCrashRecord, type CrashRecord } from './crashRecord';

/** How a task may be started. */
export const CrashVerdict = {
  /** No worker was lost under it. */
  none: 'none',
  /** It may have crashed a worker, and is kept apart from other tasks. */
  isolate: 'isolate',
  /** Two workers were lost under it, and it is not known yet whether they crashed. */
  wait: 'wait',
  /** It has crashed as many workers as a task may; its job fails. */
  giveUp: 'give-up',
} as const;
export type CrashVerdict = (typeof CrashVerdict)[keyof typeof CrashVerdict];

/** Number of workers that may crash under a task before it is given up. */
const MAX_CRASHES = 2;
/**
 * A worker whose process has crashed answers again within some seconds. One that does not is lost
 * for good or cut off for long, which no longer keeps a task from being started.
 */
const UNRESOLVED_MS = 10_000;
/** Records kept at most; the oldest are dropped first. */
const MAX_RECORDS = 2000;

/** A run on a worker that was lost. */
export interface LostRun {
  readonly task: string;
  readonly run: number;
}

interface Stored {
  readonly record: CrashRecord;
  /** Revision of the history at the last change of the record. */
  readonly revision: number;
  /** True if this host has made or changed the record itself. */
  readonly isOwn: boolean;
}

function supersedes(record: CrashRecord, known: CrashRecord): boolean {
  if (record.version !== known.version) return record.version > known.version;
  return record.state !== CrashState.suspected && known.state === CrashState.suspected;
}

function addTo(index: Map<string, Set<string>>, key: string, value: string): void {
  const values = index.get(key) ?? new Set<string>();
  values.add(value);
  index.set(key, values);
}

function removeFrom(index: Map<string, Set<string>>, key: string, value: string): void {
  const values = index.get(key);
  if (!values?.delete(value)) return;
  if (values.size === 0) index.delete(key);
}

/** Lost workers by task, as known to one host. */
export class CrashHistory {
  readonly #timeOfDayMs: () => number;

  readonly #retentionMs: number;

  /** Records by task and `crashKey`. Tasks are in the order of their first record. */
  readonly #tasks = new Map<string, Map<string, Stored>>();

  /** Tasks with suspected records, by worker. */
  readonly #suspectedOn = new Map<string, Set<string>>();

  /** Tasks with records, by job. */
  readonly #tasksOfJob = new Map<string, Set<string>>();

  #size = 0;

  #revision = 0;

  #ownRevision = 0;

  #ownChangeListener: (() => void) | null = null;

  /** Records are kept for `retentionMs`, the time for which callers may ask for a job's state. */
  constructor(timeOfDayMs: () => number, retentionMs: number) {
    this.#timeOfDayMs = timeOfDayMs;
    this.#retentionMs = retentionMs;
  }

  /** Number of records. */
  get size(): number {
    return this.#size;
  }

  /** Increases with each change. */
  get revision(): number {
    return this.#revision;
  }

  /** Revision of the last change that this host has made itself. */
  get ownRevision(): number {
    return this.#ownRevision;
  }

  /** Sets the listener that is called after each change that this host has made itself. */
  onOwnChange(listener: () => void): void {
    this.#ownChangeListener = listener;
  }

  /** How the task may be started now. */
  verdict(task: string): CrashVerdict {
    if (!this.#tasks.has(task)) return CrashVerdict.none;
    const nowMs = this.#timeOfDayMs();
    const records = this.#live(task, nowMs);
    if (records.length === 0) return CrashVerdict.none;
    const confirmed = records.filter(({ state }) => state === CrashState.confirmed);
    const pending = records.filter(
      ({ state, observedAtMs }) =>
        state === CrashState.suspected && nowMs - observedAtMs < UNRESOLVED_MS,
    );
    const crashes = new Set(confirmed.map(({ workerId }) => workerId));
    const isAttributed = confirmed.some(({ isAttributable }) => isAttributable);
    if (crashes.size >= MAX_CRASHES && isAttributed) return CrashVerdict.giveUp;
    const losses = new Set([...confirmed, ...pending].map(({ workerId }) => workerId));
    if (pending.length > 0 && losses.size >= MAX_CRASHES) return CrashVerdict.wait;
    return CrashVerdict.isolate;
  }

  /** A task of the job that is given up; null if there is none. */
  givenUpTaskOf(jobId: string): string | null {
    const tasks = [...(this.#tasksOfJob.get(jobId) ?? [])];
    return tasks.find((task) => this.verdict(task) === CrashVerdict.giveUp) ?? null;
  }

  /** Records that a worker with these runs does not answer any more; returns the records. */
  workerLost(
    workerId: string,
    processStartMs: number,
    runs: readonly LostRun[],
  ): readonly CrashRecord[] {
    const nowMs = this.#timeOfDayMs();
    const isKnown = ({ task }: LostRun) =>
      this.#live(task, nowMs).some((record) => record.workerId !== workerId);
    const known = runs.filter(isKnown);
    return runs.map((run) => {
      const isOnlyOne = runs.length === 1 || (known.length === 1 && known[0] === run);
      return this.#suspect({ ...run, workerId, processStartMs }, isOnlyOne, nowMs);
    });
  }

  /**
   * Records that a previous owner may have started the task on a worker that does not answer;
   * `workerId` is empty if there are several such workers.
   */
  runNotFound(task: string, workerId: string): CrashRecord {
    const run = { task, run: 0, workerId, processStartMs: 0 };
    return this.#suspect(run, false, this.#timeOfDayMs());
  }

  /** Another process answers in the worker's place; returns the records that this changed. */
  workerReplaced(workerId: string): readonly CrashRecord[] {
    return this.#resolve(workerId, () => CrashState.confirmed);
  }

  /** A process of the worker answers; returns the records that this changed. */
  workerAnswered(workerId: string, processStartMs: number): readonly CrashRecord[] {
    return this.#resolve(workerId, (record) => {
      const lostStartMs = record.processStartMs;
      if (lostStartMs === 0) {
        const isNew = processStartMs > record.observedAtMs;
        return isNew ? CrashState.confirmed : CrashState.refuted;
      }
      if (processStartMs === lostStartMs) return CrashState.refuted;
      return processStartMs > lostStartMs ? CrashState.confirmed : null;
    });
  }

  /** A worker lists the run, so that the process that was lost did not have it. */
  runListed({ task, run }: LostRun, workerId: string): void {
    const stored = this.#tasks.get(task)?.get(crashKey({ run, workerId }));
    if (stored && stored.record.state !== CrashState.refuted) {
      this.#change(stored.record, CrashState.refuted);
    }
  }

  /** Records changed after a revision; those of other hosts too unless `ownOnly` is true. */
  changedSince(revision: number, ownOnly = false): readonly CrashRecord[] {
    if (revision >= this.#revision) return [];
    return [...this.#tasks.values()].flatMap((records) =>
      [...records.values()]
        .filter((stored) => stored.revision > revision && (stored.isOwn || !ownOnly))
        .map(({ record }) => record),
    );
  }

  /**
   * Stores records of another host, or of an earlier process of this one (`isOwn`). Values that are
   * not valid records are ignored. Returns the number of records that were new or newer.
   */
  merge(values: readonly unknown[], isOwn = false): number {
    let merged = 0;
    values.forEach((value) => {
      const record = parseCrashRecord(value);
      if (!record) return;
      const known = this.#tasks.get(record.task)?.get(crashKey(record));
      if (known && !supersedes(record, known.record)) return;
      this.#store(record, isOwn);
      merged += 1;
    });
    return merged;
  }

  /** Removes records that have been kept for the retention time. */
  removeExpired(): void {
    const sinceMs = this.#timeOfDayMs() - this.#retentionMs;
    this.#tasks.forEach((records, task) => {
      records.forEach(({ record }) => {
        if (record.observedAtMs <= sinceMs) this.#delete(task, record);
      });
    });
  }

  /** Records of a task that were not refuted and are not expired. */
  #live(task: string, nowMs: number): readonly CrashRecord[] {
    const records = this.#tasks.get(task);
    if (!records) return [];
    const sinceMs = nowMs - this.#retentionMs;
    return [...records.values()]
      .map(({ record }) => record)
      .filter(({ state, observedAtMs }) => state !== CrashState.refuted && observedAtMs > sinceMs);
  }

  #suspect(
    lost: Pick<CrashRecord, 'task' | 'run' | 'workerId' | 'processStartMs'>,
    isAttributable: boolean,
    observedAtMs: number,
  ): CrashRecord {
    const known = this.#tasks.get(lost.task)?.get(crashKey(lost))?.record;
    if (known && known.state !== CrashState.refuted) return known;
    const version = (known?.version ?? 0) + 1;
    const state = CrashState.suspected;
    const record = { ...lost, isAttributable, state, observedAtMs, version };
    this.#store(record, true);
    return record;
  }

  #resolve(
    workerId: string,
    stateOf: (record: CrashRecord) => CrashState | null,
  ): readonly CrashRecord[] {
    const tasks = [...(this.#suspectedOn.get(workerId) ?? [])];
    const suspected = tasks
      .flatMap((task) => [...(this.#tasks.get(task)?.values() ?? [])])
      .map(({ record }) => record)
      .filter((record) => record.workerId === workerId && record.state === CrashState.suspected);
    return suspected.flatMap((record) => {
      const state = stateOf(record);
      return state === null ? [] : [this.#change(record, state)];
    });
  }

  #change(record: CrashRecord, state: CrashState): CrashRecord {
    const changed = { ...record, state, version: record.version + 1 };
    this.#store(changed, true);
    return changed;
  }

  #store(record: CrashRecord, isOwn: boolean): void {
    const { task } = record;
    const records = this.#tasks.get(task) ?? new Map<string, Stored>();
    const key = crashKey(record);
    const known = records.get(key);
    if (!known) this.#size += 1;
    this.#revision += 1;
    const revision = this.#revision;
    records.set(key, { record, revision, isOwn: isOwn || (known?.isOwn ?? false) });
    this.#tasks.set(task, records);
    addTo(this.#tasksOfJob, jobIdOf(task), task);
    this.#indexSuspected(record);
    this.#dropOldest();
    if (!isOwn) return;
    this.#ownRevision = revision;
    this.#ownChangeListener?.();
  }

  #indexSuspected({ task, workerId, state }: CrashRecord): void {
    if (state === CrashState.suspected) addTo(this.#suspectedOn, workerId, task);
    else removeFrom(this.#suspectedOn, workerId, task);
  }

  #dropOldest(): void {
    while (this.#size > MAX_RECORDS) {
      const oldest = this.#tasks.entries().next().value;
      if (!oldest) return;
      const [task, records] = oldest;
      records.forEach(({ record }) => this.#delete(task, record));
    }
  }

  #delete(task: string, record: CrashRecord): void {
    const records = this.#tasks.get(task);
    if (!records?.delete(crashKey(record))) return;
    this.#size -= 1;
    removeFrom(this.#suspectedOn, record.workerId, task);
    if (records.size > 0) return;
    this.#tasks.delete(task);
    removeFrom(this.#tasksOfJob, jobIdOf(task), task);
  }
}
