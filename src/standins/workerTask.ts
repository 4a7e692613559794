/**
 * One task that runs on a stand-in worker, driven by injected time. It ends once: by its run time,
 * by its lease, or by a stop. While it is frozen it makes no progress, but its lease goes on.
 */
import type { Clock } from '../core/clock';
import type { Resources } from '../core/job';
import type { StartRecord, TaskEnd, TimerScheduler, WorkerAnswer } from './workerTypes';

type AnswerListener = (answer: WorkerAnswer) => void;

/** What a task is made of. */
export interface TaskPlan {
  readonly record: StartRecord;
  readonly resources: Resources;
  readonly runMs: number;
  readonly leaseMs: number;
  /** The answer at the end of the run time, less the run time itself. */
  readonly outcome:
    | { readonly state: 'succeeded'; readonly result: unknown }
    | { readonly state: 'failed'; readonly error: string };
}

/** Calls `onEnd` when the task has ended by itself or was stopped, not when the worker dies. */
export class WorkerTask {
  readonly plan: TaskPlan;

  readonly #clock: Clock;

  readonly #timers: TimerScheduler;

  readonly #onEnd: (task: WorkerTask) => void;

  readonly #listeners = new Set<AnswerListener>();

  /** Run time left at full speed, as of `#progressAtMs`. */
  #leftMs: number;

  #progressAtMs: number;

  #speed = 1;

  #leaseEndsAtMs: number;

  #cancelRun: (() => void) | null = null;

  #cancelLease: (() => void) | null = null;

  #answer: WorkerAnswer = { state: 'running' };

  constructor(
    plan: TaskPlan,
    clock: Clock,
    timers: TimerScheduler,
    onEnd: (task: WorkerTask) => void,
  ) {
    this.plan = plan;
    this.#clock = clock;
    this.#timers = timers;
    this.#onEnd = onEnd;
    this.#leftMs = plan.runMs;
    this.#progressAtMs = clock.nowMs();
    this.#leaseEndsAtMs = clock.nowMs() + plan.leaseMs;
    this.#schedule();
  }

  get answer(): WorkerAnswer {
    return this.#answer;
  }

  /** Calls `listener` with the final answer, at once if there is one. Returns its removal. */
  whenEnded(listener: AnswerListener): () => void {
    if (this.#answer.state !== 'running') {
      listener(this.#answer);
      return () => undefined;
    }
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  renew(leaseMs: number): void {
    this.#leaseEndsAtMs = this.#clock.nowMs() + leaseMs;
    this.#schedule();
  }

  checkpoint(): void {
    this.plan.record.checkpoints += 1;
  }

  /** Runs at `fraction` of full speed from now on. */
  throttle(fraction: number): void {
    this.#advance();
    this.#speed = fraction;
    this.#schedule();
  }

  stop(end: TaskEnd = 'stopped'): void {
    this.#finish(end, { state: 'stopped', runTimeMs: this.#elapsedMs() });
  }

  /** Ends without an answer, as when the process is killed. */
  die(): void {
    this.#listeners.clear();
    this.#close('died');
  }

  freeze(): void {
    this.#advance();
    this.#cancelTimers();
  }

  /** Goes on after `freeze`; a lease that has lapsed meanwhile stops the task. */
  thaw(): void {
    this.#progressAtMs = this.#clock.nowMs();
    if (this.#leaseEndsAtMs <= this.#clock.nowMs()) this.stop('lapsed');
    else this.#schedule();
  }

  #elapsedMs(): number {
    return this.#clock.nowMs() - this.plan.record.startedAtMs;
  }

  #advance(): void {
    const nowMs = this.#clock.nowMs();
    this.#leftMs = Math.max(0, this.#leftMs - (nowMs - this.#progressAtMs) * this.#speed);
    this.#progressAtMs = nowMs;
  }

  #schedule(): void {
    this.#cancelTimers();
    this.#advance();
    if (this.#speed > 0) {
      const delayMs = this.#leftMs / this.#speed;
      this.#cancelRun = this.#timers.after(delayMs, () => this.#complete());
    }
    const leaseLeftMs = this.#leaseEndsAtMs - this.#clock.nowMs();
    this.#cancelLease = this.#timers.after(leaseLeftMs, () => this.stop('lapsed'));
  }

  #cancelTimers(): void {
    this.#cancelRun?.();
    this.#cancelLease?.();
  }

  #complete(): void {
    const { outcome } = this.plan;
    this.#finish(outcome.state, { ...outcome, runTimeMs: this.#elapsedMs() });
  }

  #finish(end: TaskEnd, answer: WorkerAnswer): void {
    if (this.plan.record.end !== null) return;
    this.#answer = answer;
    this.#close(end);
    this.#onEnd(this);
    const listeners = [...this.#listeners];
    this.#listeners.clear();
    listeners.forEach((listener) => listener(answer));
  }

  #close(end: TaskEnd): void {
    this.#cancelTimers();
    this.plan.record.end = end;
    this.plan.record.endedAtMs = this.#clock.nowMs();
  }
}
