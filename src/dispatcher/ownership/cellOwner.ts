/**
 * Runs one cell while this host owns it: performs the cell's actions, keeps a session with each
 * worker, and returns the outcomes of batches to their submitters.
 */
import { Cell } from '../../cells/cell';
import type { CrashHistory } from '../../cells/crashHistory';
import type { CellOptions } from '../../cells/cellState';
import type { ListedWorkers } from '../../cells/cellWorkers';
import type { CellAction, StartAnswer } from '../../cells/actions';
import type {
  BatchOutcome,
  BatchReason,
  CellRoom,
  CellSummary,
  TaskBatch,
} from '../../cells/messages';
import type { SubmitterContact } from '../../cells/submitterContact';
import type { DispatchJournal } from '../journal';
import { latestLeaseEndMs } from './leaseTimes';
import { PauseDetector } from './pauseDetector';
import type { HostClock } from '../peers/peerClocks';
import type { RunsReply } from '../peers/peerMessages';
import type { WorkerClient } from './workerClient';
import { StopAnswer } from './workerClient';
import { WorkerSession, type SessionOptions } from './workerSession';

/** Dependencies of a `CellOwner`. */
export interface CellOwnerParts {
  readonly cell: string;
  readonly fencingToken: number;
  readonly workerClient: WorkerClient;
  readonly options: CellOptions & SessionOptions;
  readonly crashes: CrashHistory;
  /** See `CellOptions`. */
  readonly guardsRoom: (service: string) => boolean;
  /** True if the operators have drained the cell's failure domain. */
  readonly drained: boolean;
  readonly clock: HostClock;
  readonly journal: DispatchJournal;
  /**
   * Called when a worker has seen a higher fencing token, so that this host must release the cell.
   */
  readonly onFenced: (workerId: string) => void;
  /** Called when the entry of a worker is out of date, to have the list of workers read soon. */
  readonly onOutdatedEntry: () => void;
}

/** Period of the cell's timer. */
const TICK_MS = 20;
/** A worker that is alive lists its runs to a new owner within this time. */
const FIRST_LISTS_MS = 150;

type OutcomeCallback = (outcome: BatchOutcome) => void;

/** Owner of one cell. */
export class CellOwner {
  readonly #parts: CellOwnerParts;

  readonly #cell: Cell;

  readonly #sessions = new Map<string, WorkerSession>();

  readonly #outcomeCallbacks = new Map<string, OutcomeCallback>();

  readonly #pauseDetector: PauseDetector;

  readonly #timer: NodeJS.Timeout;

  readonly #openedAtMs: number;

  #closed = false;

  constructor(parts: CellOwnerParts) {
    this.#parts = parts;
    this.#openedAtMs = parts.clock.nowMs();
    this.#pauseDetector = new PauseDetector(parts.clock);
    const leaseMs = latestLeaseEndMs(parts.options.leaseMs, 0);
    const options = { ...parts.options, leaseMs, guardsRoom: parts.guardsRoom };
    this.#cell = new Cell(parts.cell, options, parts.crashes);
    if (parts.drained) this.setDrained(true);
    this.#timer = setInterval(() => {
      this.#cell.tick(this.#now());
      this.#performActions();
    }, TICK_MS);
  }

  get cell(): string {
    return this.#parts.cell;
  }

  get fencingToken(): number {
    return this.#parts.fencingToken;
  }

  summary(): CellSummary {
    return this.#cell.summary(this.#now());
  }

  /** The cell's state, for metrics. */
  get cellState(): Cell {
    return this.#cell;
  }

  /** Begins or ends the drain of the cell. */
  setDrained(drained: boolean): void {
    this.#cell.setDrained(drained, this.#now());
    this.#performActions();
  }

  setWorkers(listed: ListedWorkers): void {
    this.#cell.setWorkers(listed, this.#now());
    this.#performActions();
  }

  /** Whether runs of the job, and of which other ones, may be in progress in the cell. */
  runsOf(jobId: string): RunsReply {
    // Before the list of workers has been read, nothing is known of any of them.
    const areAllListed = this.#cell.workers.size > 0 && !this.#cell.hasUnlistedWorkers;
    const isNew = this.#now() - this.#openedAtMs < FIRST_LISTS_MS;
    const mayRunOthers = isNew && !areAllListed;
    const found = this.#cell.jobsWithRuns();
    const mayRun = found.has(jobId) || mayRunOthers;
    return { mayRun, foundJobs: [...found], areAllListed, mayRunOthers };
  }

  /** How many tasks of a batch the cell would admit now. */
  roomFor(batch: TaskBatch, namesWorker = false): CellRoom {
    return this.#cell.roomFor(batch, this.#now(), namesWorker);
  }

  /** Runs a batch and resolves with its outcome. */
  run(batch: TaskBatch, contact?: SubmitterContact): Promise<BatchOutcome> {
    return new Promise((resolve) => {
      this.#outcomeCallbacks.set(batch.batchId, resolve);
      this.#cell.offer(batch, this.#now(), contact);
      this.#performActions();
    });
  }

  withdraw(batchId: string, reason: BatchReason): void {
    this.#cell.withdraw(batchId, reason, this.#now());
    this.#performActions();
  }

  /**
   * Hands the cell over: answers all batches and sends no more requests to workers. Runs in
   * progress end with their leases unless the next owner adopts them.
   */
  close(): void {
    if (this.#closed) return;
    this.#closed = true;
    clearInterval(this.#timer);
    this.#cell.handOver(this.#now());
    this.#performActions();
    this.#sessions.forEach((session) => session.close());
    this.#sessions.clear();
  }

  /**
   * Current time for an event of the cell. Reports a pause that has just ended to the cell first.
   */
  #now(): number {
    const gapMs = this.#pauseDetector.check();
    const nowMs = this.#parts.clock.nowMs();
    if (gapMs > 0) this.#cell.ownerResumed(gapMs, nowMs);
    return nowMs;
  }

  #performActions(): void {
    let actions = this.#cell.takeActions();
    while (actions.length > 0) {
      actions.forEach((action) => this.#perform(action));
      actions = this.#cell.takeActions();
    }
  }

  #perform(action: CellAction): void {
    switch (action.type) {
      case 'start':
        this.#start(action);
        break;
      case 'stop':
        this.#stop(action);
        break;
      case 'end':
        this.#outcomeCallbacks.get(action.batchId)?.(action.outcome);
        this.#outcomeCallbacks.delete(action.batchId);
        break;
      case 'follow':
        this.#follow(action.workerId, action.address);
        break;
      case 'unfollow':
        this.#unfollow(action.workerId);
        break;
      case 'readWorkers':
        this.#parts.onOutdatedEntry();
        break;
      case 'stepDown':
        this.#reportFenced(action.workerId);
        break;
      default:
        this.#parts.journal.logDecision(action.decision, action.fields);
    }
  }

  #start(action: Extract<CellAction, { type: 'start' }>): void {
    const { workerId, task, run } = action;
    const session = this.#sessions.get(workerId);
    if (!session) return;
    session.start(action).then((answer: StartAnswer) => {
      if (this.#closed) return;
      this.#cell.startAnswered(task, run, workerId, answer, this.#now());
      this.#performActions();
    });
  }

  #stop({ workerId, task, run }: Extract<CellAction, { type: 'stop' }>): void {
    const session = this.#sessions.get(workerId);
    if (!session) return;
    session.stop(task, run).then((answer) => {
      if (this.#closed) return;
      if (answer === StopAnswer.fenced) this.#reportFenced(workerId);
      if (answer === StopAnswer.unclear) this.#cell.stopUnanswered(task, run, workerId);
      if (answer !== StopAnswer.confirmed) return;
      this.#cell.stopConfirmed(task, run, workerId, this.#now());
      if (this.#cell.awaitsList(task, run, workerId)) session.requestList();
      this.#performActions();
    });
  }

  #reportFenced(workerId: string): void {
    if (!this.#closed) this.#parts.onFenced(workerId);
  }

  #follow(workerId: string, address: string): void {
    const { workerClient, fencingToken, options, clock, journal } = this.#parts;
    const { cell } = this.#parts;
    const performActions = () => this.#performActions();
    const session = new WorkerSession(
      { id: workerId, address },
      workerClient,
      fencingToken,
      options,
      {
        workerCount: () => this.#sessions.size,
        isIdle: () => this.#cell.workers.get(workerId)?.runs.size === 0,
        nextOverdueAtMs: () =>
          this.#cell.workers.get(workerId)?.nextOverdueAtMs(clock.nowMs()) ?? Infinity,
        leaseLimitMs: () => this.#cell.leaseLimitMs(workerId),
      },
      {
        reported: (id, report) => {
          this.#cell.report(id, report, this.#now());
          performActions();
        },
        silent: (id, error) => {
          journal.logDecision('worker-unanswered', { cell, worker: id, error });
          this.#cell.workerSilent(id, this.#now());
          performActions();
        },
        restarted: (id) => {
          this.#cell.workerRestarted(id, this.#now());
          performActions();
        },
        overdue: (id, renewalAgeMs) =>
          journal.logDecision('run-overdue', {
            cell,
            worker: id,
            runs: this.#cell.workers.get(id)?.runs.size ?? 0,
            renewalAgeMs: Math.round(renewalAgeMs),
          }),
        fenced: (id) => this.#reportFenced(id),
        renewed: (id, leasesEndMs) => this.#cell.renewed(id, leasesEndMs),
      },
      clock,
    );
    this.#sessions.set(workerId, session);
    journal.logDecision('worker-followed', { cell, worker: workerId, address });
    session.open();
  }

  #unfollow(workerId: string): void {
    const session = this.#sessions.get(workerId);
    session?.close();
    if (session) this.#parts.workerClient.disconnect(session.target);
    this.#sessions.delete(workerId);
    this.#parts.journal.logDecision('worker-unfollowed', {
      cell: this.#parts.cell,
      worker: workerId,
    });
  }
}
