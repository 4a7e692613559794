/**
 * Session of a cell owner with one worker. Renews the worker's leases by long polling: a renewal is
 * answered when a run ends or its wait is over, and the next one follows. The answers list running
 * and ended runs and tell the worker's clock. A worker that does not answer is retried at short
 * intervals.
 */
import { StartAnswer, type WorkerReport } from '../../cells/actions';
import type { Clock } from '../../core/clock';
import { latestLeaseEndMs, longestLeaseMs, WorkerClock } from './leaseTimes';
import { StopAnswer, type RenewAnswer, type WorkerClient, type WorkerTarget } from './workerClient';

/** Timing parameters of a session, in milliseconds. */
export interface SessionOptions {
  readonly leaseMs: number;
  /**
   * Longest time that a renewal waits at the worker for a run to end, in a small cell. It bounds
   * the age of the known state.
   */
  readonly renewWaitMs: number;
}

/**
 * Largest number of workers that are renewed at the period of a small cell. With more workers the
 * period grows, so that the total rate of renewals stays the same.
 */
const SMALL_CELL_WORKERS = 16;
/** Longest wait of a renewal, as a fraction of the lease. */
const MAX_WAIT_LEASE_FRACTION = 0.35;

/** Time that a renewal may wait at the worker, in a cell with this many workers. */
export function renewWaitMs(options: SessionOptions, workers: number): number {
  const scaledMs = options.renewWaitMs * Math.max(1, workers / SMALL_CELL_WORKERS);
  return Math.round(Math.min(scaledMs, options.leaseMs * MAX_WAIT_LEASE_FRACTION));
}

/** State of the cell that a session needs. */
export interface SessionContext {
  /** Number of workers of the cell. */
  workerCount(): number;
  /** True while nothing runs on the worker. */
  isIdle(): boolean;
  /** Time from now on at which the next run on the worker is overdue; Infinity if none will be. */
  nextOverdueAtMs(): number;
  /** Longest permitted duration of a lease given now; 0 or less if none may be given. */
  leaseLimitMs(): number;
}

/** A run, and the process that it was placed on. */
export interface PlacedRun {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  /** Start of the process, in Unix milliseconds. */
  readonly processStartMs: number;
}

/** Events that a session reports to the owner of the cell. */
export interface SessionEvents {
  reported(workerId: string, report: WorkerReport): void;
  silent(workerId: string, error: string): void;
  restarted(workerId: string): void;
  /** A run should have ended, and the renewal sent `renewalAgeMs` ago has not been answered. */
  overdue(workerId: string, renewalAgeMs: number): void;
  fenced(workerId: string): void;
  /** All leases given so far end by `leasesEndMs` on this host's clock. */
  renewed(workerId: string, leasesEndMs: number): void;
}

const SILENT_RETRY_MS = 120;
/**
 * Unanswered renewals after which a worker counts as silent. One may be due to a broken connection
 * alone.
 */
const SILENT_AFTER_FAILURES = 2;
/**
 * Longest wait of a renewal while nothing runs on the worker, in milliseconds. No lease depends on
 * it. If the worker is lost without a connection reset, the loss goes unnoticed for this long, or
 * until a start is not answered.
 */
const IDLE_WAIT_MS = 600;
/**
 * Fraction of the usual wait while leases may not be extended. A short wait lets them be extended
 * soon after this becomes permitted.
 */
const WITHHELD_WAIT_FRACTION = 0.2;

/** Answers to a start after which the worker may be lost or replaced. */
const MAY_BE_LOST: ReadonlySet<StartAnswer> = new Set([
  StartAnswer.unclear,
  StartAnswer.unsent,
  StartAnswer.restarted,
]);

/** Stops that are confirmed within this time of each other share one list of the worker's runs. */
const LIST_DELAY_MS = 2;

/** Session with one worker, under one fencing token. */
export class WorkerSession {
  readonly #target: WorkerTarget;

  readonly #workerClient: WorkerClient;

  readonly #fencingToken: number;

  readonly #options: SessionOptions;

  readonly #context: SessionContext;

  readonly #events: SessionEvents;

  readonly #clock: Clock;

  #workerClock: WorkerClock | null = null;

  #acknowledged = 0;

  #failures = 0;

  /** True while another process answers at the worker's address, from its first answer. */
  #isReplaced = false;

  #closed = false;

  /** Number of the last renewal sent. Only the answer to this one triggers the next renewal. */
  #latestRenewal = 0;

  #renewedAtMs = 0;

  /** Time until which the last renewal may wait at the worker. */
  #pendingUntilMs = 0;

  #timer: NodeJS.Timeout | null = null;

  #listTimer: NodeJS.Timeout | null = null;

  #overdueTimer: NodeJS.Timeout | null = null;

  constructor(
    target: WorkerTarget,
    workerClient: WorkerClient,
    fencingToken: number,
    options: SessionOptions,
    context: SessionContext,
    events: SessionEvents,
    clock: Clock,
  ) {
    this.#target = target;
    this.#workerClient = workerClient;
    this.#fencingToken = fencingToken;
    this.#options = options;
    this.#context = context;
    this.#events = events;
    this.#clock = clock;
  }

  get target(): WorkerTarget {
    return this.#target;
  }

  open(): void {
    this.#renew(0);
  }

  /** Starts a run, unless another process answers by now than the one it was placed on. */
  async start(placed: PlacedRun): Promise<StartAnswer> {
    if (placed.processStartMs !== this.#workerClock?.processStartMs) return StartAnswer.restarted;
    this.#renewWithin(this.#busyWaitMs());
    const leaseMs = this.#leaseMs();
    const leaseEndClockMs = this.#leaseEndClockMs(leaseMs) ?? 0;
    this.#reportLease(leaseMs);
    this.#awaitOverdueRun();
    const { task, run, payload, processStartMs } = placed;
    const answer = await this.#workerClient.start(this.#target, {
      task,
      run,
      payload,
      processStartMs,
      leaseEndClockMs,
      fencingToken: this.#fencingToken,
    });
    // Renew at once: the pending renewal may wait long before it shows that the worker is lost.
    if (MAY_BE_LOST.has(answer)) this.#renewWithin(0);
    return answer;
  }

  /** Stops a run. Only a confirmation by the process that answers now counts. */
  async stop(task: string, run: number): Promise<StopAnswer> {
    const processStartMs = this.#workerClock?.processStartMs;
    if (processStartMs === undefined) return StopAnswer.unclear;
    const request = { task, run, processStartMs, fencingToken: this.#fencingToken };
    const answer = await this.#workerClient.stop(this.#target, request);
    const isReplaced = processStartMs !== this.#workerClock?.processStartMs;
    return isReplaced && answer === StopAnswer.confirmed ? StopAnswer.restarted : answer;
  }

  /**
   * Requests a list of the worker's runs, instead of waiting for the pending renewal. After a
   * confirmed stop only a list that was requested later shows that a start without an answer has
   * not been carried out.
   */
  requestList(): void {
    if (this.#closed) return;
    this.#listTimer ??= setTimeout(() => {
      this.#listTimer = null;
      this.#renew(0);
    }, LIST_DELAY_MS);
  }

  /** Ends the session. Leases that it gave expire. */
  close(): void {
    this.#closed = true;
    this.#cancelTimer();
    if (this.#listTimer) clearTimeout(this.#listTimer);
    if (this.#overdueTimer) clearTimeout(this.#overdueTimer);
  }

  /**
   * Requests a list when a run should have ended for some time and the pending renewal may wait
   * longer, in case its answer is lost.
   */
  #awaitOverdueRun(): void {
    if (this.#overdueTimer) clearTimeout(this.#overdueTimer);
    this.#overdueTimer = null;
    const atMs = this.#context.nextOverdueAtMs();
    if (this.#closed || atMs >= this.#pendingUntilMs) return;
    this.#overdueTimer = setTimeout(() => {
      this.#events.overdue(this.#target.id, this.#clock.nowMs() - this.#renewedAtMs);
      this.requestList();
    }, atMs - this.#clock.nowMs());
  }

  #busyWaitMs(): number {
    return renewWaitMs(this.#options, this.#context.workerCount());
  }

  #cancelTimer(): void {
    if (this.#timer) clearTimeout(this.#timer);
    this.#timer = null;
  }

  /** Sends another renewal within `waitMs` if the pending one may wait longer than that. */
  #renewWithin(waitMs: number): void {
    if (this.#closed || this.#pendingUntilMs <= this.#clock.nowMs() + waitMs) return;
    if (waitMs === 0) this.#renew(0);
    else this.#timer ??= setTimeout(() => this.#renew(this.#busyWaitMs()), waitMs);
  }

  #renew(longestWaitMs: number): void {
    this.#cancelTimer();
    this.#latestRenewal += 1;
    const renewal = this.#latestRenewal;
    const sentAtMs = this.#clock.nowMs();
    // Give no lease after a renewal without an answer: the next process of the worker may be the one
    // that gets it, and could then carry out a start for the one before. Besides, any unanswered
    // renewal may have arrived and extended the leases, and each one would postpone the time at which
    // the runs are known to have ended.
    const leaseMs = this.#failures > 0 ? 0 : this.#leaseMs();
    const mayExtend = leaseMs > 0;
    const leaseEndClockMs = mayExtend ? this.#leaseEndClockMs(leaseMs) : null;
    const waitMs = Math.round(longestWaitMs * (mayExtend ? 1 : WITHHELD_WAIT_FRACTION));
    if (leaseEndClockMs !== null) this.#reportLease(leaseMs);
    this.#renewedAtMs = sentAtMs;
    this.#pendingUntilMs = sentAtMs + waitMs;
    this.#awaitOverdueRun();
    const acknowledged = this.#acknowledged;
    const request = { fencingToken: this.#fencingToken, acknowledged, leaseEndClockMs, waitMs };
    this.#workerClient.renew(this.#target, request).then((answer) => {
      if (!this.#closed) this.#handleAnswer(answer, sentAtMs, renewal === this.#latestRenewal);
    });
  }

  /** Handles an answer. Only the last renewal's triggers the next one or a report of silence. */
  #handleAnswer(answer: RenewAnswer, sentAtMs: number, isLast: boolean): void {
    if (answer.type === 'fenced') {
      this.#events.fenced(this.#target.id);
      return;
    }
    const isNewProcess =
      answer.type === 'listed' && this.#workerClock?.processStartMs !== answer.processStartMs;
    // If a later renewal went unanswered, a late answer to an earlier one does not end the silence.
    const isUsable = isLast || this.#failures === 0;
    if (answer.type === 'listed' && isUsable) this.#applyListing(answer, sentAtMs);
    if (!isLast || this.#closed) return;
    this.#cancelTimer();
    if (answer.type === 'silent') {
      this.#handleSilence(answer.error);
    } else if (answer.type === 'restarted') {
      if (!this.#isReplaced) this.#resetProcess();
      this.#isReplaced = true;
      this.#scheduleRetry();
    } else {
      // The first answer of a worker process only tells its clock. Renew again at once, to extend
      // its leases and to find starts that were in transit when the process started.
      this.#renew(isNewProcess || answer.hasMoreEnded ? 0 : this.#nextWaitMs());
    }
  }

  #nextWaitMs(): number {
    const busyMs = this.#busyWaitMs();
    return this.#context.isIdle() ? Math.max(IDLE_WAIT_MS, busyMs) : busyMs;
  }

  #handleSilence(error: string): void {
    this.#failures += 1;
    if (this.#failures < SILENT_AFTER_FAILURES) {
      this.#renew(0);
      return;
    }
    this.#events.silent(this.#target.id, error);
    this.#scheduleRetry();
  }

  #scheduleRetry(): void {
    this.#timer = setTimeout(() => this.#renew(0), SILENT_RETRY_MS);
  }

  /** Applies a listing, unless a more recent one of the worker has already arrived. */
  #applyListing(answer: Extract<RenewAnswer, { type: 'listed' }>, sentAtMs: number): void {
    const { clockMs, processStartMs, running, hasMoreEnded = false } = answer;
    this.#failures = 0;
    this.#isReplaced = false;
    const known = this.#workerClock;
    if (known?.isAfter(processStartMs, clockMs)) return;
    if (known && known.processStartMs !== processStartMs) this.#resetProcess();
    this.#workerClock = new WorkerClock(processStartMs, clockMs, this.#clock.nowMs());
    const ended = answer.ended.filter(({ sequence }) => sequence > this.#acknowledged);
    this.#acknowledged = ended.reduce(
      (highest, { sequence }) => Math.max(highest, sequence),
      this.#acknowledged,
    );
    // Report before the next renewal: whether leases may be extended depends on the listed runs.
    const report = { sentAtMs, processStartMs, running, ended, hasMoreEnded };
    this.#events.reported(this.#target.id, report);
  }

  #resetProcess(): void {
    this.#workerClock = null;
    this.#acknowledged = 0;
    this.#events.restarted(this.#target.id);
  }

  /** Duration of a lease given now; 0 or less if none may be given. */
  #leaseMs(): number {
    return Math.min(this.#options.leaseMs, longestLeaseMs(this.#context.leaseLimitMs()));
  }

  #leaseEndClockMs(leaseMs: number): number | null {
    if (!this.#workerClock) return null;
    return Math.floor(this.#workerClock.timeMs(this.#clock.nowMs()) + leaseMs);
  }

  #reportLease(leaseMs: number): void {
    const endMs = latestLeaseEndMs(leaseMs, this.#clock.nowMs());
    this.#events.renewed(this.#target.id, endMs);
  }
}
