/**
 * The runs of a cell: what was started where, and what the workers say became of it. A worker's lists
 * are the truth; a run is only held to be over when the worker says so, when it has started anew, or
 * when every lease that its worker was ever given has ended. Until then its task starts nowhere else.
 */
import {
  RunOutcome,
  StartAnswer,
  type CellAction,
  type EndedRun,
  type RunningEntry,
  type WorkerReport,
} from './actions';
import type { TaskShape } from './job';
import { createRun, runKey, RunState, type Run } from './run';
import { adoptionDecision, stopDecision, StopReason, unclaimedEndDecision } from './runDecisions';
import { TaskRuns } from './taskRuns';
import { UnclaimedEnds, type UnclaimedEnd } from './unclaimedEnds';
import { CellWorker, type WorkerEntry } from './worker';

/** What a run's batch hears. */
export interface RunEvents {
  started(run: Run): void;
  ended(run: Run, end: RunOutcome, worker: CellWorker, nowMs: number): void;
  /** A run that the previous owner started is in progress, or has ended, on a worker. */
  found(task: string): void;
  /** It has provably not been executed and never will be. */
  notStarted(run: Run, answer: StartAnswer, nowMs: number): void;
}

/** A stop that is not confirmed is sent again after this time if the worker still lists the run. */
const STOP_AGAIN_MS = 200;
/** Least time between two stops of a run: a worker may refuse them at once. */
const STOP_PAUSE_MS = 50;
/** The list of runs does not tell what a run needs; the worker refuses what does not fit beside it. */
const UNKNOWN_SHAPE: TaskShape = {
  cpuMillis: 0,
  memoryMb: 0,
  accelerators: 0,
  requiredLabel: null,
  preferredRack: null,
  tasksPerWorker: null,
};
/** Pause after a worker had no room, was late, or called itself unhealthy. */
const REST_MS: Partial<Record<StartAnswer, number>> = {
  [StartAnswer.noRoom]: 20,
  [StartAnswer.late]: 50,
  [StartAnswer.unhealthy]: 300,
  [StartAnswer.restarted]: 50,
};

/** True if the worker has said neither that it carried the start out nor that it never will. */
function isUnclearStart({ confirmedAtMs, stopConfirmedAtMs }: Run): boolean {
  return confirmedAtMs === null && stopConfirmedAtMs === null;
}

/** Runs of one cell, by worker. */
export class RunLedger {
  readonly workers = new Map<string, CellWorker>();

  readonly #taskRuns = new TaskRuns();

  readonly #leaseMs: number;

  readonly #events: RunEvents;

  readonly #push: (action: CellAction) => void;

  readonly #unclaimedEnds = new UnclaimedEnds();

  /** `leaseMs` is the longest time from the giving of a lease to its end. */
  constructor(leaseMs: number, events: RunEvents, push: (action: CellAction) => void) {
    this.#leaseMs = leaseMs;
    this.#events = events;
    this.#push = push;
  }

  /** Adds, updates and drops workers by the platform's list. One that has runs stays until they end. */
  setWorkers(entries: readonly WorkerEntry[], nowMs: number): void {
    const listed = new Set(entries.map(({ id }) => id));
    entries.forEach((entry) => this.#listWorker(entry, nowMs));
    this.workers.forEach((worker, id) => {
      if (listed.has(id)) return;
      const missing = worker;
      missing.missingSinceMs ??= nowMs;
    });
  }

  /** Drops workers that have been missing from the list for `graceMs` and run nothing. */
  dropMissing(graceMs: number, nowMs: number): void {
    this.workers.forEach((worker, id) => {
      const { missingSinceMs } = worker;
      const missing = worker;
      missing.gone = missingSinceMs !== null && nowMs - missingSinceMs >= graceMs;
      if (!worker.gone || worker.runs.size > 0) return;
      this.workers.delete(id);
      this.#push({ type: 'unfollow', workerId: id });
    });
  }

  add(run: Run): void {
    const worker = this.workers.get(run.workerId);
    if (!worker) return;
    worker.runs.set(runKey(run.task, run.run), run);
    this.#taskRuns.add(run);
  }

  /** Runs of a task that may be in progress, also those that are being stopped. */
  runsOf(task: string): readonly Run[] {
    return this.#taskRuns.of(task);
  }

  /** The end of a task that a previous owner started; it can be claimed once. */
  takeUnclaimedEnd(task: string): UnclaimedEnd | null {
    return this.#unclaimedEnds.take(task);
  }

  /** Stops a run; `reason` is for the log. */
  stop(run: Run, reason: string, nowMs: number): void {
    const stopped = run;
    const leasesEndMs = this.workers.get(run.workerId)?.leasesEndMs ?? nowMs;
    this.#push(stopDecision(run, reason, leasesEndMs, nowMs));
    stopped.state = RunState.stopping;
    stopped.stopSentAtMs = nowMs;
    stopped.stopUnanswered = false;
    const { workerId, task, run: number } = run;
    this.#push({ type: 'stop', workerId, task, run: number });
  }

  startAnswered(key: string, workerId: string, answer: StartAnswer, nowMs: number): void {
    const worker = this.workers.get(workerId);
    const run = worker?.runs.get(key);
    if (!worker || !run) return;
    if (answer === StartAnswer.accepted) {
      this.#confirm(run, nowMs);
    } else if (answer === StartAnswer.unclear) {
      if (run.state === RunState.starting) run.state = RunState.unclear;
    } else if (answer === StartAnswer.fenced) {
      this.#push({ type: 'stepDown', workerId });
    } else {
      this.#remove(worker, run);
      worker.restUntilMs = Math.max(worker.restUntilMs, nowMs + (REST_MS[answer] ?? 0));
      this.#events.notStarted(run, answer, nowMs);
    }
  }

  /** A worker has confirmed a stop: a start that comes later is refused. */
  stopConfirmed(key: string, workerId: string, nowMs: number): void {
    const run = this.workers.get(workerId)?.runs.get(key);
    if (run) run.stopConfirmedAtMs ??= nowMs;
  }

  /** A stop may not have reached the worker; it is sent again. */
  stopUnanswered(key: string, workerId: string): void {
    const run = this.workers.get(workerId)?.runs.get(key);
    if (run && run.stopConfirmedAtMs === null) run.stopUnanswered = true;
  }

  report(workerId: string, report: WorkerReport, nowMs: number): void {
    const worker = this.workers.get(workerId);
    if (!worker) return;
    worker.reachable = true;
    report.ended.forEach((entry) => this.#end(worker, entry, nowMs));
    const listed = new Set(report.running.map(({ task, run }) => runKey(task, run)));
    report.running.forEach((entry) => this.#progress(worker, entry, nowMs));
    // The end of a run that is missing may be among those that the worker has yet to list.
    if (!report.hasMoreEnded) this.#checkAbsent(worker, listed, report.sentAtMs, nowMs);
  }

  /** The worker does not answer. Its runs may go on until its leases end. */
  silent(workerId: string): void {
    const worker = this.workers.get(workerId);
    if (worker) worker.reachable = false;
  }

  /**
   * Another process has taken the worker's place: what it was seen to run before is over. A start that
   * no list has shown may have reached the new process, whose list will tell.
   */
  restarted(workerId: string, nowMs: number): void {
    const worker = this.workers.get(workerId);
    if (!worker) return;
    const over = [...worker.runs.values()].filter(({ listed }) => listed);
    worker.restart();
    // Whether the process that answers now is the worker at all, its list will tell.
    worker.reachable = false;
    over.forEach((run) => this.#remove(worker, run));
    over.forEach((run) => this.#events.ended(run, RunOutcome.lapsed, worker, nowMs));
  }

  renewed(workerId: string, leasesEndMs: number): void {
    const worker = this.workers.get(workerId);
    if (worker) worker.leasesEndMs = Math.max(worker.leasesEndMs, leasesEndMs);
  }

  /** Ends the runs of unreachable workers whose leases are over, and forgets old unclaimed ends. */
  tick(nowMs: number): void {
    this.workers.forEach((worker) => {
      worker.health.tick(nowMs);
      if (!worker.reachable && worker.runs.size > 0 && nowMs >= worker.leasesEndMs) {
        this.#lapseAll(worker, nowMs);
      }
      if (worker.reachable) this.#stopAgain(worker, nowMs);
      worker.forgetReleased(nowMs);
    });
    this.#unclaimedEnds.forgetOld(nowMs);
  }

  #stopAgain(worker: CellWorker, nowMs: number): void {
    worker.runs.forEach((run) => {
      const unconfirmed = run.stopUnanswered && run.stopConfirmedAtMs === null;
      const paused = nowMs - (run.stopSentAtMs ?? 0) >= STOP_PAUSE_MS;
      if (unconfirmed && paused) this.stop(run, StopReason.stopUnanswered, nowMs);
    });
  }

  #listWorker(entry: WorkerEntry, nowMs: number): void {
    const known = this.workers.get(entry.id);
    if (!known) {
      this.workers.set(entry.id, new CellWorker(entry));
      this.#push({ type: 'follow', workerId: entry.id, address: entry.address });
      return;
    }
    known.missingSinceMs = null;
    const moved = known.entry.address !== entry.address;
    known.entry = entry;
    if (moved) {
      this.restarted(entry.id, nowMs);
      this.#push({ type: 'unfollow', workerId: entry.id });
      this.#push({ type: 'follow', workerId: entry.id, address: entry.address });
    }
  }

  #confirm(run: Run, nowMs: number): void {
    const confirmed = run;
    confirmed.confirmedAtMs ??= nowMs;
    if (run.state === RunState.stopping) return;
    const first = run.state !== RunState.running;
    confirmed.state = RunState.running;
    if (first) this.#events.started(run);
  }

  #progress(worker: CellWorker, entry: RunningEntry, nowMs: number): void {
    const run = worker.runs.get(runKey(entry.task, entry.run));
    if (!run || run.released) {
      this.#adopt(worker, entry, nowMs);
      return;
    }
    run.listed = true;
    this.#confirm(run, nowMs);
    const stopLost = run.state === RunState.stopping && run.stopConfirmedAtMs === null;
    if (stopLost && nowMs - (run.stopSentAtMs ?? 0) > STOP_AGAIN_MS) {
      this.stop(run, StopReason.stopUnanswered, nowMs);
    }
    if (entry.percent !== run.percent) run.progressAtMs = nowMs;
    run.percent = entry.percent;
    run.reportedAtMs = nowMs;
  }

  /** Takes over a run that a previous owner started; a submitter may claim it. */
  #adopt(worker: CellWorker, entry: RunningEntry, nowMs: number): void {
    this.#push(adoptionDecision(worker, entry));
    const run = createRun(
      {
        task: entry.task,
        run: entry.run,
        workerId: worker.entry.id,
        shape: UNKNOWN_SHAPE,
        queue: '',
        jobId: entry.task.split('.')[0] ?? '',
        batchId: null,
        expectedMs: 0,
        startExpiresMs: nowMs,
      },
      nowMs,
    );
    run.listed = true;
    this.add(run);
    // The previous owner may have renewed its lease until the worker obeyed this one.
    this.renewed(worker.entry.id, nowMs + this.#leaseMs);
    this.#confirm(run, nowMs);
    this.#events.found(run.task);
  }

  #end(worker: CellWorker, { task, run: number, end }: EndedRun, nowMs: number): void {
    const run = worker.runs.get(runKey(task, number));
    if (run) this.#remove(worker, run);
    if (run && run.batchId !== null) {
      this.#events.ended(run, end, worker, nowMs);
      return;
    }
    this.#push(unclaimedEndDecision(worker, { task, run: number, end }, run, nowMs));
    this.#unclaimedEnds.note(task, { end, run: number, seenAtMs: nowMs });
    this.#events.found(task);
  }

  /**
   * Deals with runs that a list lacks although it was asked for after their start. One that the worker
   * had confirmed, or whose stop it has confirmed, is over: it refuses the start from then on. A start
   * without an answer may be carried out late, as long as the worker has a lease by any order.
   */
  #checkAbsent(
    worker: CellWorker,
    listed: ReadonlySet<string>,
    sentAtMs: number,
    nowMs: number,
  ): void {
    [...worker.runs.entries()].forEach(([key, run]) => {
      if (listed.has(key)) return;
      const overSinceMs = Math.min(
        run.stopConfirmedAtMs ?? Infinity,
        run.confirmedAtMs ?? Infinity,
      );
      const leasesEndMs = Math.max(run.startExpiresMs, worker.leasesEndMs);
      if (sentAtMs > overSinceMs) {
        this.#remove(worker, run);
        const end = run.state === RunState.stopping ? RunOutcome.stopped : RunOutcome.lapsed;
        if (!run.released) this.#events.ended(run, end, worker, nowMs);
      } else if (sentAtMs > leasesEndMs) {
        this.#release(worker, run, nowMs);
      } else if (run.state === RunState.unclear) {
        // The start may still arrive; a stop makes the worker refuse it.
        this.stop(run, StopReason.notListed, nowMs);
      }
    });
  }

  /**
   * Lets the task of an unclear start go on when all leases given to its worker are over. The worker
   * gets no other lease before it has confirmed a stop, because it may carry the start out under it.
   */
  #release(worker: CellWorker, run: Run, nowMs: number): void {
    if (run.released) return;
    this.#remove(worker, run);
    worker.keepReleased(run);
    this.#events.ended(run, RunOutcome.lapsed, worker, nowMs);
  }

  #remove(worker: CellWorker, run: Run): void {
    worker.runs.delete(runKey(run.task, run.run));
    this.#taskRuns.delete(run);
  }

  #lapseAll(worker: CellWorker, nowMs: number): void {
    const runs = [...worker.runs.values()];
    runs.forEach((run) => this.#remove(worker, run));
    runs.filter(isUnclearStart).forEach((run) => worker.keepReleased(run));
    runs.forEach((run) => {
      if (!run.released) this.#events.ended(run, RunOutcome.lapsed, worker, nowMs);
    });
  }
}
