/** A worker in virtual time that tracks its runs and the ends that it has yet to report. */
import { RunOutcome } from '../../src/cells/actions';
import type { WorkerEntry } from '../../src/cells/worker';

/** Start of the first process of a worker. */
export const FIRST_PROCESS_START_MS = 1;

/** Builds the entry of a worker in the list. */
export function workerEntry(id: string, cpuMillis = 64_000): WorkerEntry {
  return {
    id,
    address: `10.0.0.1:${id.length}`,
    domain: 'sofia-a',
    service: 'kiosk-dispatch',
    draining: false,
    cpuMillis,
    memoryMb: 262_144,
    accelerators: 0,
    labels: ['a', 'r1-1'],
    processStartMs: FIRST_PROCESS_START_MS,
  };
}

/** A run on a simulated worker. */
export interface SimulatedRun {
  readonly task: string;
  readonly run: number;
  readonly cpuMillis: number;
  readonly startedAtMs: number;
  readonly endsAtMs: number;
  readonly end: RunOutcome;
}

/** Faults of one worker, set by tests. */
export interface WorkerFaults {
  /** Factor on run times. */
  slowness: number;
  /** All runs fail. */
  fails: boolean;
  /** Runs make no progress. */
  hangs: boolean;
  /** Messages to and from the worker are lost; runs continue until their lease expires. */
  silent: boolean;
  /** Starts are carried out, but their answers are lost. */
  losesStartAnswers: boolean;
}

/** State of one worker; `CellSimulation` advances it. */
export class SimulatedWorker {
  entry: WorkerEntry;

  readonly faults: WorkerFaults = {
    slowness: 1,
    fails: false,
    hangs: false,
    silent: false,
    losesStartAnswers: false,
  };

  readonly runs = new Map<string, SimulatedRun>();

  readonly ended: { task: string; run: number; end: RunOutcome; sequence: number }[] = [];

  /** True between a crash of its process and the start of the next one. */
  isDown = false;

  leaseEndsAtMs = 0;

  reportedCount = 0;

  nextRenewalMs = 0;

  silentSinceMs: number | null = null;

  constructor(entry: WorkerEntry) {
    this.entry = entry;
  }

  get processStartMs(): number {
    return this.entry.processStartMs;
  }

  get usedCpuMillis(): number {
    return [...this.runs.values()].reduce((sum, { cpuMillis }) => sum + cpuMillis, 0);
  }

  /** Ends the process with all its runs. */
  crash(): void {
    this.isDown = true;
    this.runs.clear();
    this.ended.length = 0;
    this.reportedCount = 0;
    this.leaseEndsAtMs = 0;
  }

  /**
   * Starts the next process, which knows nothing of the previous one. Its entry is the same but for
   * the start of the process.
   */
  restart(nowMs: number): void {
    this.isDown = false;
    this.entry = { ...this.entry, processStartMs: nowMs };
  }

  finish(key: string, end: RunOutcome): void {
    const run = this.runs.get(key);
    if (!run) return;
    this.runs.delete(key);
    this.ended.push({ task: run.task, run: run.run, end, sequence: this.ended.length + 1 });
  }
}
