/**
 * Tracks the runs of a cell: where each was started and what its worker has reported of it. The
 * lists of a worker are authoritative. A run counts as over only when its worker reports that, when
 * the worker has restarted, or when every lease granted to the worker has expired. Until then its
 * task is not started elsewhere.
 */
import {
  RunOutcome,
  StartAnswer,
  type CellAction,
  type EndedRun,
  type RunningEntry,
  type WorkerReport,
} from './actions';
import { CellWorkers, type EntryRules, type ListedWorkers } from './cellWorkers';
import type { TaskShape } from './job';
import { createRun, Isolation, runKey, RunState, type Run } from './run';
import {
  adoptionDecision,
  outdatedEntryDecision,
  stopDecision,
  StopReason,
  unansweredStartsDecision,
  unclaimedEndDecision,
} from './runDecisions';
import { TaskRuns } from './taskRuns';
import type { RunId } from './unansweredStarts';
import { UnclaimedEnds, type UnclaimedEnd } from './unclaimedEnds';
import type { CellWorker } from './worker';

/** Notifications about runs. */
export interface RunEvents {
  runStarted(run: Run): void;
  runEnded(run: Run, outcome: RunOutcome, worker: CellWorker, nowMs: number): void;
  /**
   * A worker has listed a run of this task, in progress or ended, that no batch here has claimed.
   */
  runFound(task: string): void;
  /** The run has not been executed and never will be. */
  startRefused(run: Run, answer: StartAnswer, nowMs: number): void;
}

/** Time after which an unconfirmed stop is sent again if the worker still lists the run. */
const STOP_RESEND_MS = 200;
/** Minimum time between two stops of a run, because a worker may reject each one immediately. */
const MIN_STOP_INTERVAL_MS = 50;
/**
 * Shape of a run found on a worker, whose list does not state resource needs. Counting it as zero
 * is safe because the worker itself refuses a start that does not fit.
 */
const UNKNOWN_SHAPE: TaskShape = {
  cpuMillis: 0,
  memoryMb: 0,
  accelerators: 0,
  requiredLabel: null,
  preferredRack: null,
  tasksPerWorker: null,
};
/** Time in which a worker gets no starts after it has refused one, by its answer. */
const BACKOFF_MS: Partial<Record<StartAnswer, number>> = {
  [StartAnswer.noRoom]: 20,
  [StartAnswer.late]: 50,
  [StartAnswer.unhealthy]: 300,
  [StartAnswer.unsent]: 50,
  [StartAnswer.restarted]: 50,
};

/** True if the worker has neither confirmed the start nor confirmed a stop, which rules it out. */
function isUnclearStart({ confirmedAtMs, stopConfirmedAtMs }: Run): boolean {
  return confirmedAtMs === null && stopConfirmedAtMs === null;
}

/** Runs of one cell, by worker. */
export class RunTracker {
  readonly #cellWorkers: CellWorkers;

  readonly #taskRuns = new TaskRuns();

  readonly #leaseMs: number;

  readonly #events: RunEvents;

  readonly #push: (action: CellAction) => void;

  readonly #unclaimedEnds = new UnclaimedEnds();

  /** `leaseMs` is the longest time from granting a lease to its expiry. */
  constructor(
    leaseMs: number,
    rules: EntryRules,
    events: RunEvents,
    push: (action: CellAction) => void,
  ) {
    this.#leaseMs = leaseMs;
    this.#events = events;
    this.#push = push;
    const onMoved = (id: string, nowMs: number) => this.workerRestarted(id, nowMs);
    this.#cellWorkers = new CellWorkers(rules, push, onMoved);
  }

  /** Workers of the cell by id. */
  get workers(): ReadonlyMap<string, CellWorker> {
    return this.#cellWorkers.byId;
  }

  /** Updates the workers from the platform's list. */
  setWorkers(listed: ListedWorkers, nowMs: number): void {
    this.#cellWorkers.update(listed, nowMs);
  }

  /** Removes workers that have been missing from the list for `graceMs` and have no runs. */
  removeMissingWorkers(graceMs: number, nowMs: number): void {
    this.#cellWorkers.removeMissing(graceMs, nowMs);
  }

  add(run: Run): void {
    const worker = this.workers.get(run.workerId);
    if (!worker) return;
    worker.runs.set(runKey(run.task, run.run), run);
    this.#taskRuns.add(run);
  }

  /** Number of runs that may be in progress. */
  get runCount(): number {
    return [...this.workers.values()].reduce((sum, { runs }) => sum + runs.size, 0);
  }

  /** Runs of a task that may be in progress, including those being stopped. */
  runsOf(task: string): readonly Run[] {
    return this.#taskRuns.of(task);
  }

  /** Returns and removes the unclaimed end of a task's run, so that it can be claimed only once. */
  takeUnclaimedEnd(task: string): UnclaimedEnd | null {
    return this.#unclaimedEnds.take(task);
  }

  /** Sends a stop for a run; `reason` is written to the log. */
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

  startAnswered(id: RunId, workerId: string, answer: StartAnswer, nowMs: number): void {
    const worker = this.workers.get(workerId);
    if (!worker) return;
    const run = worker.runs.get(runKey(id.task, id.run));
    const isListed = run?.listed ?? false;
    if (answer === StartAnswer.unclear && !isListed) worker.unansweredStarts.add(id, nowMs);
    if (!run) return;
    if (answer === StartAnswer.accepted) {
      this.#confirmStart(run, nowMs);
    } else if (answer === StartAnswer.unclear) {
      if (run.state === RunState.starting) run.state = RunState.unclear;
    } else if (answer === StartAnswer.fenced) {
      this.#push({ type: 'stepDown', workerId });
    } else {
      this.#remove(worker, run);
      worker.backoffUntilMs = Math.max(worker.backoffUntilMs, nowMs + (BACKOFF_MS[answer] ?? 0));
      this.#events.startRefused(run, answer, nowMs);
    }
  }

  /** A worker has confirmed a stop. It refuses the start of that run from then on. */
  stopConfirmed(key: string, workerId: string, nowMs: number): void {
    const run = this.workers.get(workerId)?.runs.get(key);
    if (run) run.stopConfirmedAtMs ??= nowMs;
    this.workers.get(workerId)?.unansweredStarts.stopConfirmed(key);
  }

  /** A stop had no answer and may not have reached the worker; it is sent again. */
  stopUnanswered(key: string, workerId: string): void {
    const run = this.workers.get(workerId)?.runs.get(key);
    if (run && run.stopConfirmedAtMs === null) run.stopUnanswered = true;
  }

  report(workerId: string, report: WorkerReport, nowMs: number): void {
    const worker = this.workers.get(workerId);
    if (!worker) return;
    worker.reachable = true;
    this.#setProcess(worker, report.processStartMs, nowMs);
    worker.isReplaced = false;
    report.ended.forEach((entry) => this.#recordEnd(worker, entry, nowMs));
    const listed = new Set(report.running.map(({ task, run }) => runKey(task, run)));
    report.running.forEach((entry) => this.#updateRun(worker, entry, nowMs));
    // The end of an unlisted run may be among those that the worker has not reported yet.
    if (!report.hasMoreEnded) this.#checkUnlistedRuns(worker, listed, report.sentAtMs, nowMs);
  }

  /** The worker does not answer. Its runs may continue until its leases expire. */
  workerSilent(workerId: string, nowMs: number): void {
    const worker = this.workers.get(workerId);
    if (!worker) return;
    worker.reachable = false;
    worker.silentAtMs = nowMs;
  }

  /**
   * Another process answers in the worker's place, so the runs that the previous process listed are
   * over. A start that no list has shown yet may have reached the new process; its next list
   * decides.
   */
  workerRestarted(workerId: string, nowMs: number): void {
    const worker = this.workers.get(workerId);
    if (!worker) return;
    const listedRuns = [...worker.runs.values()].filter(({ listed }) => listed);
    worker.restart();
    // The process that answers now may not be the worker at all, so nothing is started before its
    // first list.
    worker.reachable = false;
    listedRuns.forEach((run) => this.#remove(worker, run));
    listedRuns.forEach((run) => this.#events.runEnded(run, RunOutcome.lapsed, worker, nowMs));
  }

  renewed(workerId: string, leasesEndMs: number): void {
    const worker = this.workers.get(workerId);
    if (worker) worker.leasesEndMs = Math.max(worker.leasesEndMs, leasesEndMs);
  }

  /**
   * Ends the runs of unreachable workers whose leases have expired, and removes expired entries.
   */
  tick(nowMs: number): void {
    this.#cellWorkers.tick(nowMs);
    this.workers.forEach((worker) => {
      worker.health.tick(nowMs);
      if (!worker.reachable && worker.runs.size > 0 && nowMs >= worker.leasesEndMs) {
        this.#lapseRuns(worker, nowMs);
      }
      if (worker.reachable) {
        this.#resendStops(worker, nowMs);
        this.#sendDueStops(worker, nowMs);
      }
      worker.removeExpiredStarts(nowMs);
    });
    this.#unclaimedEnds.removeExpired(nowMs);
  }

  #resendStops(worker: CellWorker, nowMs: number): void {
    worker.runs.forEach((run) => {
      const unconfirmed = run.stopUnanswered && run.stopConfirmedAtMs === null;
      const intervalOver = nowMs - (run.stopSentAtMs ?? 0) >= MIN_STOP_INTERVAL_MS;
      if (unconfirmed && intervalOver) this.stop(run, StopReason.stopUnanswered, nowMs);
    });
  }

  /** Records which process answers. None is used before its own entry has been read. */
  #setProcess(worker: CellWorker, processStartMs: number, nowMs: number): void {
    if (worker.processStartMs === processStartMs) return;
    const answering = worker;
    answering.processStartMs = processStartMs;
    if (!worker.hasCurrentEntry) {
      this.#push(outdatedEntryDecision(worker));
      this.#push({ type: 'readWorkers' });
    }
    this.#stopUnansweredStarts(worker, nowMs);
  }

  /**
   * Stops the starts that earlier processes have left without an answer, because the network may
   * still deliver them to this one.
   */
  #stopUnansweredStarts(worker: CellWorker, nowMs: number): void {
    const { runs, unansweredStarts } = worker;
    runs.forEach((run) => {
      if (run.confirmedAtMs === null && !run.listed) unansweredStarts.add(run, run.startedAtMs);
    });
    unansweredStarts.processChanged();
    if (unansweredStarts.mayArrive) this.#push(unansweredStartsDecision(worker));
    this.#sendDueStops(worker, nowMs);
  }

  #sendDueStops({ entry, unansweredStarts }: CellWorker, nowMs: number): void {
    unansweredStarts.takeDueStops(nowMs).forEach(({ task, run }) => {
      this.#push({ type: 'stop', workerId: entry.id, task, run });
    });
  }

  #confirmStart(run: Run, nowMs: number): void {
    const confirmed = run;
    confirmed.confirmedAtMs ??= nowMs;
    if (run.state === RunState.stopping) return;
    const first = run.state !== RunState.running;
    confirmed.state = RunState.running;
    if (first) this.#events.runStarted(run);
  }

  #updateRun(worker: CellWorker, entry: RunningEntry, nowMs: number): void {
    const key = runKey(entry.task, entry.run);
    worker.unansweredStarts.delivered(key);
    const run = worker.runs.get(key);
    if (!run || run.released) {
      this.#adopt(worker, entry, nowMs);
      return;
    }
    run.listed = true;
    this.#confirmStart(run, nowMs);
    const stopLost = run.state === RunState.stopping && run.stopConfirmedAtMs === null;
    if (stopLost && nowMs - (run.stopSentAtMs ?? 0) > STOP_RESEND_MS) {
      this.stop(run, StopReason.stopUnanswered, nowMs);
    }
    if (entry.percent !== run.percent) run.progressAtMs = nowMs;
    run.percent = entry.percent;
    run.reportedAtMs = nowMs;
  }

  /** Starts tracking a run that a previous owner started, so that a submitter can claim it. */
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
        isolation: Isolation.none,
      },
      nowMs,
    );
    run.listed = true;
    this.add(run);
    // The previous owner may have renewed the lease up to the moment when the worker accepted this
    // one.
    this.renewed(worker.entry.id, nowMs + this.#leaseMs);
    this.#confirmStart(run, nowMs);
    this.#events.runFound(run.task);
  }

  #recordEnd(
    worker: CellWorker,
    { task, run: number, end: outcome }: EndedRun,
    nowMs: number,
  ): void {
    const key = runKey(task, number);
    worker.unansweredStarts.delivered(key);
    const run = worker.runs.get(key);
    if (run) this.#remove(worker, run);
    if (run && run.batchId !== null) {
      this.#events.runEnded(run, outcome, worker, nowMs);
      return;
    }
    this.#push(unclaimedEndDecision(worker, { task, run: number, end: outcome }, run, nowMs));
    this.#unclaimedEnds.add(task, { outcome, run: number, seenAtMs: nowMs });
    this.#events.runFound(task);
  }

  /**
   * Handles runs that are missing from a list. If the list was requested after the worker had
   * confirmed the start or a stop, the run is over, because the worker refuses that start from then
   * on. A start without an answer may still be carried out late, as long as the worker holds any
   * lease.
   */
  #checkUnlistedRuns(
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
        const outcome = run.state === RunState.stopping ? RunOutcome.stopped : RunOutcome.lapsed;
        if (!run.released) this.#events.runEnded(run, outcome, worker, nowMs);
      } else if (sentAtMs > leasesEndMs) {
        this.#releaseTask(worker, run, nowMs);
      } else if (run.state === RunState.unclear) {
        // The start may still arrive; after a stop the worker refuses it.
        this.stop(run, StopReason.notListed, nowMs);
      }
    });
  }

  /**
   * Allows the task of an unclear start to be started elsewhere once all leases granted to the
   * worker have expired. The worker gets no further lease until it has confirmed a stop, because it
   * might still carry the start out under that lease.
   */
  #releaseTask(worker: CellWorker, run: Run, nowMs: number): void {
    if (run.released) return;
    this.#remove(worker, run);
    worker.retainReleased(run);
    this.#events.runEnded(run, RunOutcome.lapsed, worker, nowMs);
  }

  #remove(worker: CellWorker, run: Run): void {
    worker.runs.delete(runKey(run.task, run.run));
    this.#taskRuns.delete(run);
  }

  #lapseRuns(worker: CellWorker, nowMs: number): void {
    const runs = [...worker.runs.values()];
    runs.forEach((run) => this.#remove(worker, run));
    runs.filter(isUnclearStart).forEach((run) => worker.retainReleased(run));
    runs.forEach((run) => {
      if (!run.released) this.#events.runEnded(run, RunOutcome.lapsed, worker, nowMs);
    });
  }
}
