/** Simulated worker in virtual time with one lease for all its runs, as on the platform. */
import { RunOutcome, StartAnswer, type EndedRun } from '../../src/cells/actions';
import type {
  RenewAnswer,
  RenewRequest,
  StartRequest,
  StopRequest,
} from '../../src/dispatcher/ownership/workerClient';

const MAX_LEASE_MS = 1000;
const STOP_MS = 20;

/** End of a run, and its time. */
export interface FinishedRun {
  readonly end: RunOutcome;
  readonly atMs: number;
}

/** Waits in the virtual time of the test. */
export function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** Simulated worker with one lease that covers all its runs. */
export class LeasedWorker {
  /** Number of stops that are lost, beginning with the next one. */
  lostStops = 0;

  silent = false;

  /** Number of renewals whose answers are lost, beginning with the next one. */
  lostRenewals = 0;

  /**
   * Delays of starts that are not answered, beginning with the next one; each is executed after its
   * delay.
   */
  startDelaysMs: number[] = [];

  /** True if a start is accepted by its own lease, not by the worker's, which renewals extend. */
  usesStartLease = false;

  leaseEndsAtMs = 0;

  readonly id: string;

  readonly outcomes = new Map<string, FinishedRun>();

  readonly starts: { readonly task: string; readonly run: number; readonly atMs: number }[] = [];

  readonly #runs = new Map<
    string,
    { readonly run: number; readonly startedAtMs: number; readonly endsAtMs: number }
  >();

  readonly #ended: EndedRun[] = [];

  /** Highest number of a stopped or ended run, by task. */
  readonly #highestRuns = new Map<string, number>();

  #sequence = 0;

  #nowMs = 0;

  #fencingToken = 0;

  #incarnation = 1;

  constructor(id: string) {
    this.id = id;
  }

  /** Adds a run that the previous owner started. */
  addRun(task: string, runMs: number): void {
    this.#begin(task, 1, runMs);
  }

  step(nowMs: number): void {
    this.#nowMs = nowMs;
    this.#runs.forEach(({ endsAtMs }, task) => {
      if (endsAtMs <= nowMs) this.#finish(task, RunOutcome.succeeded);
      else if (this.leaseEndsAtMs <= nowMs) this.#finish(task, RunOutcome.lapsed);
    });
  }

  /** Number of the worker's process; increases with each restart. */
  get incarnation(): number {
    return this.#incarnation;
  }

  /** Replaces the worker's process by a new one without state. */
  restart(): void {
    this.#incarnation += 1;
    this.#runs.clear();
    this.#highestRuns.clear();
    this.#ended.length = 0;
    this.#sequence = 0;
    this.#fencingToken = 0;
    this.leaseEndsAtMs = 0;
  }

  /** Names of the tasks of all runs in progress. */
  get tasks(): readonly string[] {
    return [...this.#runs.keys()];
  }

  start({ task, run, payload, leaseEndClockMs, fencingToken }: StartRequest): StartAnswer {
    if (!this.#acceptsToken(fencingToken)) return StartAnswer.fenced;
    if (this.#runs.get(task)?.run === run) return StartAnswer.accepted;
    this.#extend(leaseEndClockMs);
    if (run <= (this.#highestRuns.get(task) ?? 0)) return StartAnswer.stale;
    const leaseEndMs = this.usesStartLease ? leaseEndClockMs : this.leaseEndsAtMs;
    if (this.#nowMs >= leaseEndMs) return StartAnswer.late;
    this.starts.push({ task, run, atMs: this.#nowMs });
    this.#begin(task, run, Number(payload));
    return StartAnswer.accepted;
  }

  async stop({ task, run, fencingToken }: StopRequest): Promise<void> {
    if (!this.#acceptsToken(fencingToken)) return;
    const incarnation = this.#incarnation;
    this.#refuseUpTo(task, run);
    await sleep(STOP_MS);
    const isHere = this.#incarnation === incarnation && this.#runs.get(task)?.run === run;
    if (isHere) this.#finish(task, RunOutcome.stopped);
  }

  async renew(request: RenewRequest): Promise<RenewAnswer> {
    const { leaseEndClockMs, acknowledged, waitMs, fencingToken } = request;
    if (!this.#acceptsToken(fencingToken)) return { type: 'fenced' };
    const incarnation = this.#incarnation;
    if (leaseEndClockMs !== null) this.#extend(leaseEndClockMs);
    const untilMs = this.#nowMs + waitMs;
    const newEnds = () => this.#ended.filter(({ sequence }) => sequence > acknowledged);
    while (newEnds().length === 0 && this.#nowMs < untilMs) {
      // eslint-disable-next-line no-await-in-loop -- waits for a run to end
      await sleep(1);
    }
    // A restart of the process breaks the connection.
    if (incarnation !== this.#incarnation) return { type: 'silent', error: 'reset' };
    const running = [...this.#runs].map(([task, { run, startedAtMs, endsAtMs }]) => {
      const share = (this.#nowMs - startedAtMs) / (endsAtMs - startedAtMs);
      return { task, run, percent: Math.floor(100 * share) };
    });
    return {
      type: 'listed',
      clockMs: this.#nowMs,
      processStartMs: this.#incarnation,
      running,
      ended: newEnds(),
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
    this.#refuseUpTo(task, run);
    this.outcomes.set(task, { end, atMs: this.#nowMs });
    this.#sequence += 1;
    this.#ended.push({ sequence: this.#sequence, task, run, end });
  }

  #acceptsToken(fencingToken: number): boolean {
    if (fencingToken < this.#fencingToken) return false;
    this.#fencingToken = fencingToken;
    return true;
  }

  /** Refuses runs of a task up to this number from now on. */
  #refuseUpTo(task: string, run: number): void {
    this.#highestRuns.set(task, Math.max(run, this.#highestRuns.get(task) ?? 0));
  }
}
