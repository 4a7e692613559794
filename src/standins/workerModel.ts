/**
 * The task logic of a stand-in worker without I/O (docs/design.md, section 8), for a server on real
 * time and for benches on virtual time. It keeps the worker contract: an attempt id starts at most
 * once, a revoked one never, and a task whose lease lapses stops.
 */
import type { Clock } from '../core/clock';
import type { Resources } from '../core/job';
import type { WorkerStatus } from '../workers/workers';
import { WorkerTask } from './workerTask';
import { DEFAULT_WORKER_MODEL } from './workerTypes';
import type {
  ModelFaults,
  StartRecord,
  TimerScheduler,
  WorkerAnswer,
  WorkerModelOptions,
  WorkerStart,
} from './workerTypes';

type OnAnswer = (answer: WorkerAnswer) => void;

const REVOKED: WorkerAnswer = { state: 'neverStarted' };
const UNKNOWN: WorkerAnswer = { state: 'unknown' };

interface Payload {
  readonly runMs?: unknown;
  readonly error?: unknown;
}

function runMsOf(payload: Payload): number {
  return typeof payload.runMs === 'number' && payload.runMs >= 0 ? payload.runMs : 0;
}

function payloadOf(payload: unknown): Payload {
  return typeof payload === 'object' && payload !== null ? payload : {};
}

function refusal(reason: 'full' | 'leaving' | 'incarnation' | 'revoked'): WorkerAnswer {
  return { state: 'refused', reason };
}

/** One worker. Answers go to callbacks; a worker that is frozen answers after it thaws. */
export class WorkerModel {
  readonly faults: ModelFaults = {
    refuseAll: false,
    leaving: false,
    failAll: false,
    slowFactor: 1,
  };

  /** All starts that took effect, over all incarnations, in order. */
  readonly record: StartRecord[] = [];

  readonly #options: WorkerModelOptions;

  readonly #clock: Clock;

  readonly #timers: TimerScheduler;

  /** Attempts of this incarnation, running and ended; null stands for a revoked one. */
  readonly #attempts = new Map<string, WorkerTask | null>();

  readonly #running = new Set<WorkerTask>();

  /** Attempts that are forgotten later, oldest first. */
  readonly #settled: { readonly attemptId: string; readonly atMs: number }[] = [];

  /** Number of running tasks after each change, back to the age of the status report. */
  #usage: { readonly atMs: number; readonly running: number }[] = [];

  /** Requests that arrived while the worker was frozen; null when it is not. */
  #held: (() => void)[] | null = null;

  #restarts = 1;

  constructor(options: Partial<WorkerModelOptions>, clock: Clock, timers: TimerScheduler) {
    this.#options = { ...DEFAULT_WORKER_MODEL, ...options };
    this.#clock = clock;
    this.#timers = timers;
  }

  get id(): string {
    return this.#options.id;
  }

  get incarnation(): string {
    return `${this.#options.id}-${this.#restarts}`;
  }

  get running(): number {
    return this.#running.size;
  }

  /** Answers when the task has ended or at once with a refusal; a repeated start joins the first. */
  start(request: WorkerStart, onAnswer: OnAnswer): void {
    this.#awake(() => {
      const known = this.#attempts.get(request.attemptId);
      if (known) {
        known.whenEnded(onAnswer);
        return;
      }
      const refused = known === null ? refusal('revoked') : this.#refusalOf(request);
      if (refused !== null) onAnswer(refused);
      else this.#run(request).whenEnded(onAnswer);
    });
  }

  /** After `neverStarted`, the attempt will not start on this incarnation. */
  revoke(attemptId: string, incarnation: string, onAnswer: OnAnswer): void {
    this.#awake(() => {
      if (incarnation !== this.incarnation) {
        onAnswer(refusal('incarnation'));
        return;
      }
      if (!this.#attempts.has(attemptId)) {
        this.#attempts.set(attemptId, null);
        this.#settle(attemptId);
      }
      onAnswer(this.#attempts.get(attemptId)?.answer ?? REVOKED);
    });
  }

  /** Answers at the end of the attempt, or with its state after `waitMs`. */
  inquire(attemptId: string, waitMs: number, onAnswer: OnAnswer): void {
    this.#awake(() => {
      const task = this.#attempts.get(attemptId);
      if (!task || task.answer.state !== 'running' || waitMs <= 0) {
        onAnswer(this.#answerFor(attemptId));
        return;
      }
      let cancelWait: () => void = () => undefined;
      const forget = task.whenEnded((answer) => {
        cancelWait();
        onAnswer(answer);
      });
      cancelWait = this.#timers.after(waitMs, () => {
        forget();
        this.#awake(() => {
          if (this.#attempts.get(attemptId) === task) onAnswer(task.answer);
        });
      });
    });
  }

  /** Calls back with the attempts that were running and now have the new lease. */
  renew(
    attemptIds: readonly string[],
    leaseMs: number,
    onRenewed: (renewed: readonly string[]) => void,
  ): void {
    this.#awake(() => {
      const renewed = attemptIds.filter(
        (attemptId) => this.#attempts.get(attemptId)?.answer.state === 'running',
      );
      renewed.forEach((attemptId) => this.#attempts.get(attemptId)?.renew(leaseMs));
      onRenewed(renewed);
    });
  }

  /** Stops a running attempt; answers its final state. */
  stop(attemptId: string, onAnswer: OnAnswer): void {
    this.#command(attemptId, (task) => task.stop(), onAnswer);
  }

  checkpoint(attemptId: string, onAnswer: OnAnswer): void {
    this.#command(attemptId, (task) => task.checkpoint(), onAnswer);
  }

  /** Runs the attempt at `fraction` of full speed from now on. */
  throttle(attemptId: string, fraction: number, onAnswer: OnAnswer): void {
    this.#command(attemptId, (task) => task.throttle(fraction), onAnswer);
  }

  status(onStatus: (status: WorkerStatus) => void): void {
    this.#awake(() => {
      const { reportLagMs, memoryOfAttemptsMs, ...fields } = this.#options;
      onStatus({
        ...fields,
        incarnation: this.incarnation,
        running: this.#reportedRunning(),
        reportAgeMs: reportLagMs,
      });
    });
  }

  /** Stops all progress and all answers until `thaw`; leases go on. */
  freeze(): void {
    if (this.#held !== null) return;
    this.#held = [];
    this.#running.forEach((task) => task.freeze());
  }

  thaw(): void {
    const held = this.#held ?? [];
    this.#held = null;
    [...this.#running].forEach((task) => task.thaw());
    held.forEach((run) => run());
  }

  /** Kills all tasks without an answer, forgets all attempts and takes a new incarnation. */
  restart(): void {
    this.#running.forEach((task) => task.die());
    this.#running.clear();
    this.#attempts.clear();
    this.#settled.length = 0;
    this.#usage = [];
    this.#held = null;
    this.#restarts += 1;
  }

  #awake(run: () => void): void {
    if (this.#held === null) run();
    else this.#held.push(run);
  }

  #answerFor(attemptId: string): WorkerAnswer {
    const task = this.#attempts.get(attemptId);
    if (task === undefined) return UNKNOWN;
    return task?.answer ?? REVOKED;
  }

  #command(attemptId: string, run: (task: WorkerTask) => void, onAnswer: OnAnswer): void {
    this.#awake(() => {
      const task = this.#attempts.get(attemptId);
      if (task?.answer.state === 'running') run(task);
      onAnswer(this.#answerFor(attemptId));
    });
  }

  #refusalOf(request: WorkerStart): WorkerAnswer | null {
    if (request.incarnation !== this.incarnation) return refusal('incarnation');
    if (this.faults.leaving) return refusal('leaving');
    return this.faults.refuseAll || !this.#fits(request.resources) ? refusal('full') : null;
  }

  #fits(wanted: Resources): boolean {
    const { slots, cores, memoryMb, accelerators } = this.#options;
    const used = { ...wanted };
    this.#running.forEach(({ plan: { resources } }) => {
      used.cores += resources.cores;
      used.memoryMb += resources.memoryMb;
      used.accelerators += resources.accelerators;
    });
    return (
      this.#running.size < slots &&
      used.cores <= cores &&
      used.memoryMb <= memoryMb &&
      used.accelerators <= accelerators
    );
  }

  #run(request: WorkerStart): WorkerTask {
    const { attemptId, submission, task: taskId, kind, resources, leaseMs } = request;
    const record: StartRecord = {
      attemptId,
      submission,
      task: taskId,
      kind,
      incarnation: this.incarnation,
      startedAtMs: this.#clock.nowMs(),
      endedAtMs: null,
      end: null,
      checkpoints: 0,
    };
    this.record.push(record);
    const payload = payloadOf(request.payload);
    const { failAll, slowFactor } = this.faults;
    const error = failAll ? 'the worker fails every task' : payload.error;
    const plan = {
      record,
      resources,
      leaseMs,
      runMs: failAll ? 0 : runMsOf(payload) * slowFactor,
      outcome:
        error === undefined
          ? ({ state: 'succeeded', result: request.payload } as const)
          : ({ state: 'failed', error: String(error) } as const),
    };
    const task = new WorkerTask(plan, this.#clock, this.#timers, (ended) => this.#ended(ended));
    this.#attempts.set(attemptId, task);
    this.#running.add(task);
    this.#noteUsage();
    return task;
  }

  #ended(task: WorkerTask): void {
    this.#running.delete(task);
    this.#noteUsage();
    this.#settle(task.plan.record.attemptId);
  }

  #settle(attemptId: string): void {
    const atMs = this.#clock.nowMs();
    this.#settled.push({ attemptId, atMs });
    const limitMs = atMs - this.#options.memoryOfAttemptsMs;
    while (this.#settled[0] !== undefined && this.#settled[0].atMs < limitMs) {
      this.#attempts.delete(this.#settled.shift()?.attemptId ?? '');
    }
  }

  #noteUsage(): void {
    this.#usage.push({ atMs: this.#clock.nowMs(), running: this.#running.size });
    this.#pruneUsage();
  }

  #reportedRunning(): number {
    this.#pruneUsage();
    const first = this.#usage[0];
    const reportAtMs = this.#clock.nowMs() - this.#options.reportLagMs;
    return first !== undefined && first.atMs <= reportAtMs ? first.running : 0;
  }

  /** Leaves the entry in force when the report was taken, if there is one, as the first. */
  #pruneUsage(): void {
    const reportAtMs = this.#clock.nowMs() - this.#options.reportLagMs;
    while (this.#usage[1] !== undefined && this.#usage[1].atMs <= reportAtMs) this.#usage.shift();
  }
}
