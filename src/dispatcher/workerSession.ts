/**
 * Keeps up with one worker: renews its leases without a break, hears of ends, and knows its clock. A
 * worker that does not answer is asked again at short intervals.
 */
import { StartAnswer, type WorkerReport } from '../cells/actions';
import type { Clock } from '../core/clock';
import { StopAnswer, type RenewAnswer, type WorkerClient, type WorkerTarget } from './workerClient';

/** Figures of a session, in milliseconds. */
export interface SessionOptions {
  readonly leaseMs: number;
  /** Longest wait of a renewal for an end in a small cell; it bounds the age of what is known. */
  readonly renewWaitMs: number;
}

/** Workers that are asked at the period of a small cell; more are asked at the same rate in all. */
const SMALL_CELL_WORKERS = 16;
/** Share of a lease after which it is renewed at the latest. */
const RENEW_SHARE = 0.35;

/** Wait of renewals in a cell of so many workers. */
export function renewWaitMs(options: SessionOptions, workers: number): number {
  const scaledMs = options.renewWaitMs * Math.max(1, workers / SMALL_CELL_WORKERS);
  return Math.round(Math.min(scaledMs, options.leaseMs * RENEW_SHARE));
}

/** What a session asks the owner of the cell. */
export interface SessionQuestions {
  /** Workers of the cell. */
  workerCount(): number;
  /** True while nothing runs on the worker. */
  isIdle(): boolean;
  /** Longest time that a lease given now may last; 0 or less if none may be given. */
  leaseLimitMs(): number;
}

/** What a session tells the owner of the cell. */
export interface SessionEvents {
  reported(workerId: string, report: WorkerReport): void;
  silent(workerId: string, error: string): void;
  restarted(workerId: string): void;
  fenced(workerId: string): void;
  /** Leases given by now are over by `leasesEndMs` on this host's clock. */
  renewed(workerId: string, leasesEndMs: number): void;
}

/** A worker's clock may run this much slower than ours. */
const CLOCK_DRIFT = 0.02;
/** Covers rounding and the way of an order that is held up on the network. */
const LEASE_MARGIN_MS = 30;
const ASK_AGAIN_MS = 120;
/** One broken connection says little; the second call without an answer does. */
const SILENT_AFTER_FAILURES = 2;
/**
 * Longest wait of a renewal while nothing runs on the worker, in milliseconds. No lease depends on it; a
 * loss of the worker without a reset goes unnoticed for as long, or until a start there has no answer.
 */
const IDLE_WAIT_MS = 600;
/** Share of the usual wait of a renewal while leases are not extended, so that they are soon after. */
const WITHHELD_SHARE = 0.2;

/** Latest end, on this host's clock, of a lease of `leaseMs` that is given at `nowMs`. */
export function latestLeaseEndMs(leaseMs: number, nowMs: number): number {
  return nowMs + leaseMs * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS;
}

/** Longest lease, on the worker's clock, that is over within `limitMs` on this host's. */
function leaseWithinMs(limitMs: number): number {
  return (limitMs - LEASE_MARGIN_MS) / (1 + CLOCK_DRIFT);
}

interface WorkerClock {
  readonly clockMs: number;
  readonly readAtMs: number;
  readonly bornMs: number;
}

/** Session with one worker under one fencing token. */
export class WorkerSession {
  readonly #target: WorkerTarget;

  readonly #control: WorkerClient;

  readonly #fencingToken: number;

  readonly #options: SessionOptions;

  readonly #questions: SessionQuestions;

  readonly #events: SessionEvents;

  readonly #clock: Clock;

  #workerClock: WorkerClock | null = null;

  #acknowledged = 0;

  #failures = 0;

  #closed = false;

  /** Number of the renewal that was sent last; its answer is followed by the next one. */
  #latest = 0;

  /** Until then the last renewal may wait at the worker. */
  #waitsUntilMs = 0;

  #timer: NodeJS.Timeout | null = null;

  constructor(
    target: WorkerTarget,
    control: WorkerClient,
    fencingToken: number,
    options: SessionOptions,
    questions: SessionQuestions,
    events: SessionEvents,
    clock: Clock,
  ) {
    this.#target = target;
    this.#control = control;
    this.#fencingToken = fencingToken;
    this.#options = options;
    this.#questions = questions;
    this.#events = events;
    this.#clock = clock;
  }

  get target(): WorkerTarget {
    return this.#target;
  }

  open(): void {
    this.#renew(0);
  }

  async start(task: string, run: number, payload: string): Promise<StartAnswer> {
    this.#renewWithin(this.#busyWaitMs());
    const leaseMs = this.#leaseMs();
    const leaseEndClockMs = this.#leaseEndClockMs(leaseMs) ?? 0;
    this.#noteLease(leaseMs);
    const answer = await this.#control.start(this.#target, {
      task,
      run,
      payload,
      leaseEndClockMs,
      fencingToken: this.#fencingToken,
    });
    // Whether the worker is there at all should not wait for the end of a long renewal.
    if (answer === StartAnswer.unclear) this.#renewWithin(0);
    return answer;
  }

  async stop(task: string, run: number): Promise<StopAnswer> {
    const fencingToken = this.#fencingToken;
    return this.#control.stop(this.#target, { task, run, fencingToken });
  }

  /** Ends the session; leases that it gave run out. */
  close(): void {
    this.#closed = true;
    this.#cancelNext();
  }

  #busyWaitMs(): number {
    return renewWaitMs(this.#options, this.#questions.workerCount());
  }

  #cancelNext(): void {
    if (this.#timer) clearTimeout(this.#timer);
    this.#timer = null;
  }

  /** Sends another renewal if the last one may wait for longer than `waitMs` from now on. */
  #renewWithin(waitMs: number): void {
    if (this.#closed || this.#waitsUntilMs <= this.#clock.nowMs() + waitMs) return;
    if (waitMs === 0) this.#renew(0);
    else this.#timer ??= setTimeout(() => this.#renew(this.#busyWaitMs()), waitMs);
  }

  #renew(longestWaitMs: number): void {
    this.#cancelNext();
    this.#latest += 1;
    const number = this.#latest;
    const sentAtMs = this.#clock.nowMs();
    // A renewal without an answer may have given a lease, whose end the next one would push on.
    const isSilent = this.#failures >= SILENT_AFTER_FAILURES;
    const leaseMs = isSilent ? 0 : this.#leaseMs();
    const mayExtend = leaseMs > 0;
    const leaseEndClockMs = mayExtend ? this.#leaseEndClockMs(leaseMs) : null;
    const waitMs = Math.round(longestWaitMs * (mayExtend ? 1 : WITHHELD_SHARE));
    if (leaseEndClockMs !== null) this.#noteLease(leaseMs);
    this.#waitsUntilMs = sentAtMs + waitMs;
    const acknowledged = this.#acknowledged;
    const order = { fencingToken: this.#fencingToken, acknowledged, leaseEndClockMs, waitMs };
    this.#control.renew(this.#target, order).then((answer) => {
      if (!this.#closed) this.#answered(answer, sentAtMs, number === this.#latest);
    });
  }

  /** Only the answer to the last renewal is followed by another, and tells that the worker is silent. */
  #answered(answer: RenewAnswer, sentAtMs: number, isLast: boolean): void {
    if (answer.type === 'fenced') {
      this.#events.fenced(this.#target.id);
      return;
    }
    const isNewProcess =
      answer.type === 'listed' && this.#workerClock?.bornMs !== answer.processStartMs;
    // A worker that has left a later renewal unanswered is no less silent for an earlier one.
    const isNews = isLast || this.#failures === 0;
    if (answer.type === 'listed' && isNews) this.#read(answer, sentAtMs);
    if (!isLast || this.#closed) return;
    this.#cancelNext();
    if (answer.type === 'silent') {
      this.#unanswered(answer.error);
    } else if (answer.type === 'restarted') {
      this.#forgetProcess();
      this.#askAgain();
    } else {
      // The first answer of a process only tells its clock; it is asked again at once, so that leases
      // are renewed, and starts that were on the way when it began are found.
      this.#renew(isNewProcess || answer.hasMoreEnded ? 0 : this.#usualWaitMs());
    }
  }

  #usualWaitMs(): number {
    const busyMs = this.#busyWaitMs();
    return this.#questions.isIdle() ? Math.max(IDLE_WAIT_MS, busyMs) : busyMs;
  }

  #unanswered(error: string): void {
    this.#failures += 1;
    if (this.#failures < SILENT_AFTER_FAILURES) {
      this.#renew(0);
      return;
    }
    this.#events.silent(this.#target.id, error);
    this.#askAgain();
  }

  #askAgain(): void {
    this.#timer = setTimeout(() => this.#renew(0), ASK_AGAIN_MS);
  }

  /** Takes a list, unless one that the worker gave later has come before it. */
  #read(answer: Extract<RenewAnswer, { type: 'listed' }>, sentAtMs: number): void {
    const { clockMs, processStartMs: bornMs, running, hasMoreEnded: moreEnds = false } = answer;
    this.#failures = 0;
    const known = this.#workerClock;
    const isOlder =
      known?.bornMs === bornMs ? clockMs < known.clockMs : bornMs < (known?.bornMs ?? 0);
    if (isOlder) return;
    if (known && known.bornMs !== bornMs) this.#forgetProcess();
    this.#workerClock = { clockMs, readAtMs: this.#clock.nowMs(), bornMs };
    const ended = answer.ended.filter(({ sequence }) => sequence > this.#acknowledged);
    this.#acknowledged = ended.reduce(
      (highest, { sequence }) => Math.max(highest, sequence),
      this.#acknowledged,
    );
    // Whether leases may be extended depends on what the worker has just listed.
    this.#events.reported(this.#target.id, { sentAtMs, running, ended, hasMoreEnded: moreEnds });
  }

  #forgetProcess(): void {
    this.#workerClock = null;
    this.#acknowledged = 0;
    this.#events.restarted(this.#target.id);
  }

  /** Length of a lease that is given now; 0 or less if none may be given. */
  #leaseMs(): number {
    return Math.min(this.#options.leaseMs, leaseWithinMs(this.#questions.leaseLimitMs()));
  }

  #leaseEndClockMs(leaseMs: number): number | null {
    if (!this.#workerClock) return null;
    const { clockMs, readAtMs } = this.#workerClock;
    return Math.floor(clockMs + this.#clock.nowMs() - readAtMs + leaseMs);
  }

  #noteLease(leaseMs: number): void {
    const endMs = latestLeaseEndMs(leaseMs, this.#clock.nowMs());
    this.#events.renewed(this.#target.id, endMs);
  }
}
