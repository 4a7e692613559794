/**
 * An unattainable reference: all slots in one pool without delays or faults in its knowledge, tasks
 * in the order of urgency and arrival. Its record shows what a fleet can deliver at best, which tells
 * a shortfall of a policy from one of the load.
 */
import TinyQueue from 'tinyqueue';
import type { CallRecord, JobRecord, StartRecord } from './records';
import { resultOf, RunRecord } from './records';
import { Timeline } from './timeline';
import type { Arrival, WorkloadModel } from './workload';

/** Slots that go away or come back. */
export interface CapacityChange {
  readonly atMs: number;
  readonly slots: number;
}

interface Waiting {
  readonly job: JobRecord;
  readonly call: CallRecord;
  readonly index: number;
  readonly runMs: number;
  readonly urgency: number;
  readonly sequence: number;
}

class Pool {
  readonly record = new RunRecord();

  readonly #timeline = new Timeline();

  readonly #model: WorkloadModel;

  readonly #clientMs: number;

  readonly #queue = new TinyQueue<Waiting>(
    [],
    (left, right) => left.urgency - right.urgency || left.sequence - right.sequence,
  );

  readonly #left = new Map<number, number>();

  #free: number;

  #sequence = 0;

  constructor(model: WorkloadModel, slots: number, clientMs: number) {
    this.#model = model;
    this.#free = slots;
    this.#clientMs = clientMs;
  }

  run(arrivals: readonly Arrival[], changes: readonly CapacityChange[], untilMs: number): void {
    arrivals.forEach((arrival) =>
      this.#timeline.at(arrival.atMs + this.#clientMs, () => this.#arrive(arrival)),
    );
    changes.forEach(({ atMs, slots }) =>
      this.#timeline.at(atMs, () => {
        this.#free += slots;
        this.#fill();
      }),
    );
    this.#timeline.runUntil(untilMs);
  }

  #arrive({ atMs, plan }: Arrival): void {
    const jobId = this.record.jobs.length;
    const job: JobRecord = { jobId, plan, key: null, issuerId: null, issuerIncarnation: null };
    const call: CallRecord = {
      callId: jobId,
      jobId,
      type: 'submit',
      sentAtMs: atMs,
      entryId: 'pool',
      ownerId: 'pool',
      arrivedAtMs: this.#timeline.nowMs(),
      decidedAtMs: null,
      answeredAtMs: null,
      answer: null,
      coreAnswers: [],
      lost: false,
    };
    this.record.jobs.push(job);
    this.record.calls.push(call);
    this.#left.set(jobId, plan.tasks.length);
    const urgency = this.#model.kinds.find(({ kind }) => kind === plan.kind)?.urgency ?? 0;
    const longestFirst = plan.tasks
      .map(({ runMs }, index) => ({ runMs, index }))
      .sort((left, right) => right.runMs - left.runMs);
    longestFirst.forEach(({ runMs, index }) => {
      this.#sequence += 1;
      this.#queue.push({ job, call, index, runMs, urgency, sequence: this.#sequence });
    });
    this.#fill();
  }

  #fill(): void {
    while (this.#free > 0 && this.#queue.length > 0) {
      const next = this.#queue.pop();
      if (next !== undefined && !this.#expired(next)) {
        this.#start(next);
      }
    }
  }

  /** Refuses a job that has not begun by half of its deadline. */
  #expired({ job, call }: Waiting): boolean {
    const begun = this.#left.get(job.jobId) !== job.plan.tasks.length || this.#begun.has(job.jobId);
    const agedMs = this.#timeline.nowMs() - (call.arrivedAtMs ?? 0);
    return !begun && agedMs > job.plan.deadlineMs / 2;
  }

  readonly #begun = new Set<number>();

  #start({ job, call, index, runMs }: Waiting): void {
    this.#free -= 1;
    this.#begun.add(job.jobId);
    const taskId = `t${index}`;
    const start: StartRecord = {
      jobId: job.jobId,
      taskId,
      attemptId: resultOf(job.jobId, taskId),
      workerId: 'pool',
      startedAtMs: this.#timeline.nowMs(),
      endedAtMs: null,
      end: null,
    };
    this.record.starts.push(start);
    this.#timeline.after(runMs, () => {
      start.endedAtMs = this.#timeline.nowMs();
      start.end = 'succeeded';
      this.#free += 1;
      this.#taskDone(job, call);
      this.#fill();
    });
  }

  #taskDone(job: JobRecord, target: CallRecord): void {
    const call = target;
    const left = (this.#left.get(job.jobId) ?? 0) - 1;
    this.#left.set(job.jobId, left);
    if (left === 0) {
      call.decidedAtMs = this.#timeline.nowMs();
      call.answeredAtMs = call.decidedAtMs + this.#clientMs;
      const tasks = job.plan.tasks.map((_, index) => ({
        id: `t${index}`,
        state: 'succeeded' as const,
        result: resultOf(job.jobId, `t${index}`),
      }));
      call.answer = { outcome: 'complete', key: '', notRun: false, tasks };
    }
  }
}

/** Runs arrivals through the pool. */
export function runPool(
  model: WorkloadModel,
  slots: number,
  clientMs: number,
  arrivals: readonly Arrival[],
  changes: readonly CapacityChange[],
  untilMs: number,
): RunRecord {
  const pool = new Pool(model, slots, clientMs);
  pool.run(arrivals, changes, untilMs);
  return pool.record;
}
