/** What a run leaves behind: the oracle and the figures read nothing else. */
import type { JobAnswer, Resources } from '../core/job';
import type { Decision } from '../observe/observer';

/** One task of a planned job; `runMs` is its run time on a worker at full speed. */
export interface PlannedTask {
  readonly runMs: number;
  readonly declaredMs: number;
}

/** A job as a caller submits it. */
export interface JobPlan {
  readonly team: string;
  readonly kind: string;
  readonly deadlineMs: number;
  readonly tasks: readonly PlannedTask[];
  readonly resources: Resources;
  /** Whether the caller asks for an issued key first. */
  readonly keyed: boolean;
  /** Belongs to the extra load of a flood or burst. */
  readonly flood: boolean;
}

/** Payload of a task; the fake worker runs it for `runMs`. */
export interface TaskPayload {
  readonly jobId: number;
  readonly runMs: number;
}

/** The result that a task of a job must have in a complete answer. */
export function resultOf(jobId: number, taskId: string): string {
  return `${jobId}/${taskId}`;
}

/** One job; submissions with one key are one job. */
export interface JobRecord {
  readonly jobId: number;
  readonly plan: JobPlan;
  readonly key: string | null;
  /** Host that issued the key. */
  readonly issuerId: string | null;
  readonly issuerIncarnation: string | null;
}

/** One call of a caller. Times are null until they happen. */
export interface CallRecord {
  readonly callId: number;
  readonly jobId: number;
  readonly type: 'submit' | 'cancel';
  readonly sentAtMs: number;
  entryId: string | null;
  /** Host whose core takes the call. */
  ownerId: string | null;
  arrivedAtMs: number | null;
  decidedAtMs: number | null;
  answeredAtMs: number | null;
  /** The answer that reached the caller. */
  answer: JobAnswer | null;
  /** Every answer that a core gave to this call. */
  readonly coreAnswers: JobAnswer[];
  /** The connection broke before an answer. */
  lost: boolean;
}

/** How an attempt ended on the worker; `lost` means that the worker died or restarted. */
export type AttemptEnd = 'succeeded' | 'failed' | 'stopped' | 'lost';

/** One start on a worker, by the worker's own record. */
export interface StartRecord {
  readonly jobId: number;
  readonly taskId: string;
  readonly attemptId: string;
  readonly workerId: string;
  readonly startedAtMs: number;
  endedAtMs: number | null;
  end: AttemptEnd | null;
}

/** Messages by name, counted in the network. */
export type MessageCount =
  | 'startsSent'
  | 'startsRefused'
  | 'startsUnreachable'
  | 'startsUnclear'
  | 'taskRetries'
  | 'unwantedResults'
  | 'revokes'
  | 'inquiries'
  | 'probesWithoutEffect'
  | 'polls'
  | 'pollsFailed'
  | 'peerBatches'
  | 'peerMessages';

/** A decision of a core, kept when the trace is on. */
export interface TracedDecision extends Decision {
  readonly hostId: string;
  readonly atMs: number;
}

/** A fault or another action of the scenario. */
export interface FaultRecord {
  readonly atMs: number;
  readonly name: string;
  readonly target: string;
}

/** Everything a run leaves behind. */
export class RunRecord {
  readonly jobs: JobRecord[] = [];

  readonly calls: CallRecord[] = [];

  readonly starts: StartRecord[] = [];

  readonly faults: FaultRecord[] = [];

  readonly decisions: TracedDecision[] = [];

  /** Jobs with an answer; results that come later are unwanted. */
  readonly answeredJobs = new Set<number>();

  /** Sums of the cores' own counters. */
  readonly coreCounts = new Map<string, number>();

  /** How often each of the cores' counters was raised, by any value. */
  readonly coreCountings = new Map<string, number>();

  #startsCounted: number | null = null;

  readonly #messages = new Map<MessageCount, number>();

  /** Attempts sent per task, to count retries. */
  readonly #attempts = new Map<string, number>();

  /** Ends the counting of messages, at the end of the measured window. */
  stopCounting(): void {
    this.#startsCounted = this.starts.length;
  }

  /** Starts on workers while messages were counted. */
  get startsCounted(): number {
    return this.#startsCounted ?? this.starts.length;
  }

  count(name: MessageCount, value = 1): void {
    if (this.#startsCounted !== null) return;
    this.#messages.set(name, this.messages(name) + value);
  }

  messages(name: MessageCount): number {
    return this.#messages.get(name) ?? 0;
  }

  /** Counts a start that left a host. */
  startSent(jobId: number, taskId: string): void {
    const task = resultOf(jobId, taskId);
    const before = this.#attempts.get(task) ?? 0;
    this.#attempts.set(task, before + 1);
    this.count('startsSent');
    if (before > 0) {
      this.count('taskRetries');
    }
  }

  countOfCore(name: string, value: number): void {
    if (this.#startsCounted !== null) return;
    this.coreCounts.set(name, (this.coreCounts.get(name) ?? 0) + value);
    this.coreCountings.set(name, (this.coreCountings.get(name) ?? 0) + 1);
  }

  job(jobId: number): JobRecord {
    const job = this.jobs[jobId];
    if (job === undefined) {
      throw new Error(`no job ${jobId}`);
    }
    return job;
  }

  call(callId: number): CallRecord {
    const call = this.calls[callId];
    if (call === undefined) {
      throw new Error(`no call ${callId}`);
    }
    return call;
  }
}
