/** A worker in virtual time with one lease for all its runs, as the platform promises. */
import { RunOutcome, StartAnswer, type EndedRun } from '../../src/cells/actions';
import type {
  RenewAnswer,
  RenewRequest,
  StartRequest,
  StopRequest,
} from '../../src/dispatcher/workerClient';

const MAX_LEASE_MS = 1000;
const STOP_MS = 20;

/** How a run ended, and when. */
export interface FinishedRun {
  readonly end: RunOutcome;
  readonly atMs: number;
}

/** Waits in the time of the test. */
export function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** One worker with a lease that covers all its runs. */
export class LeasedWorker {
  /** Stops that get lost, from the next one on. */
  lostStops = 0;

  silent = false;

  /** Starts that have no answer, from the next one on; each is carried out after this time. */
  lateStartsMs: number[] = [];

  /** Judges a start by its own lease, not by that of the worker, which renewals extend. */
  judgesOwnLease = false;

  leaseEndsAtMs = 0;

  readonly id: string;

  readonly outcomes = new Map<string, FinishedRun>();

  readonly starts: { readonly task: string; readonly run: number; readonly atMs: number }[] = [];

  readonly #runs = new Map<
    string,
    { readonly run: number; readonly startedAtMs: number; readonly endsAtMs: number }
  >();

  readonly #ended: EndedRun[] = [];

  /** Highest run of each task that was stopped or has ended here. */
  readonly #highestRuns = new Map<string, number>();

  #sequence = 0;

  #nowMs = 0;

  #fencingToken = 0;

  #life = 1;

  constructor(id: string) {
    this.id = id;
  }

  /** A run that the previous owner started. */
  hold(task: string, runMs: number): void {
    this.#begin(task, 1, runMs);
  }

  step(nowMs: number): void {
    this.#nowMs = nowMs;
    this.#runs.forEach(({ endsAtMs }, task) => {
      if (endsAtMs <= nowMs) this.#finish(task, RunOutcome.succeeded);
      else if (this.leaseEndsAtMs <= nowMs) this.#finish(task, RunOutcome.lapsed);
    });
  }

  /** Tells this process of the worker from those after it. */
  get life(): number {
    return this.#life;
  }

  /** Another process takes its place, which knows nothing of before. */
  restart(): void {
    this.#life += 1;
    this.#runs.clear();
    this.#highestRuns.clear();
    this.#ended.length = 0;
    this.#sequence = 0;
    this.#fencingToken = 0;
    this.leaseEndsAtMs = 0;
  }

  /** Names of the tasks in progress. */
  get tasks(): readonly string[] {
    return [...this.#runs.keys()];
  }

  start({ task, run, payload, leaseEndClockMs, fencingToken }: StartRequest): StartAnswer {
    if (!this.#obeys(fencingToken)) return StartAnswer.fenced;
    if (this.#runs.get(task)?.run === run) return StartAnswer.accepted;
    this.#extend(leaseEndClockMs);
    if (run <= (this.#highestRuns.get(task) ?? 0)) return StartAnswer.stale;
    const leaseEndMs = this.judgesOwnLease ? leaseEndClockMs : this.leaseEndsAtMs;
    if (this.#nowMs >= leaseEndMs) return StartAnswer.late;
    this.starts.push({ task, run, atMs: this.#nowMs });
    this.#begin(task, run, Number(payload));
    return StartAnswer.accepted;
  }

  async stop({ task, run, fencingToken }: StopRequest): Promise<void> {
    if (!this.#obeys(fencingToken)) return;
    const life = this.#life;
    this.#retire(task, run);
    await sleep(STOP_MS);
    const isHere = this.#life === life && this.#runs.get(task)?.run === run;
    if (isHere) this.#finish(task, RunOutcome.stopped);
  }

  async renew(order: RenewRequest): Promise<RenewAnswer> {
    const { leaseEndClockMs, acknowledged, waitMs, fencingToken } = order;
    if (!this.#obeys(fencingToken)) return { type: 'fenced' };
    const life = this.#life;
    if (leaseEndClockMs !== null) this.#extend(leaseEndClockMs);
    const untilMs = this.#nowMs + waitMs;
    const news = () => this.#ended.filter(({ sequence }) => sequence > acknowledged);
    while (news().length === 0 && this.#nowMs < untilMs) {
      // eslint-disable-next-line no-await-in-loop -- waits for an end
      await sleep(1);
    }
    // The connection ends with the process.
    if (life !== this.#life) return { type: 'silent', error: 'reset' };
    const running = [...this.#runs].map(([task, { run, startedAtMs, endsAtMs }]) => {
      const share = (this.#nowMs - startedAtMs) / (endsAtMs - startedAtMs);
      return { task, run, percent: Math.floor(100 * share) };
    });
    return {
      type: 'listed',
      clockMs: this.#nowMs,
      processStartMs: this.#life,
      running,
      ended: news(),
    };
  }

  #begin(task: string, run: number, runMs: number): void {
    this.#runs.set(task, { run, startedAtMs: this.#nowMs, endsAtMs: this.#nowMs + runMs });
  }

  #extend(leaseEndClockMs: number): void {
    const endMs = Math.min(this.#nowMs + MAX_LEASE_MS, leaseEndClockMs);
    this.leaseEndsAtMs = Math.max(this.leaseEndsAtMs, endMs);
  }

  #finish(task: string, end: RunOutcome): void {
    const run = this.#runs.get(task)?.run ?? 0;
    this.#runs.delete(task);
    this.#retire(task, run);
    this.outcomes.set(task, { end, atMs: this.#nowMs });
    this.#sequence += 1;
    this.#ended.push({ sequence: this.#sequence, task, run, end });
  }

  #obeys(fencingToken: number): boolean {
    if (fencingToken < this.#fencingToken) return false;
    this.#fencingToken = fencingToken;
    return true;
  }

  /** Runs up to this one are refused from now on. */
  #retire(task: string, run: number): void {
    this.#highestRuns.set(task, Math.max(run, this.#highestRuns.get(task) ?? 0));
  }
}
