/**
 * Runs one cell on this host for as long as it owns it: carries out the cell's actions, keeps a session
 * with each worker, and answers those who handed in batches.
 */
import { Cell } from '../cells/cell';
import type { CellOptions } from '../cells/cellState';
import type { CellAction, StartAnswer } from '../cells/actions';
import type { BatchOutcome, BatchReason, CellSummary, TaskBatch } from '../cells/messages';
import type { SubmitterContact } from '../cells/submitterContact';
import type { WorkerEntry } from '../cells/worker';
import type { DispatchJournal } from './journal';
import { PauseWatch } from './pauseWatch';
import type { HostClock } from './peerClocks';
import type { WorkerClient } from './workerClient';
import { StopAnswer } from './workerClient';
import { latestLeaseEndMs, WorkerSession, type SessionOptions } from './workerSession';

/** What an owner is built from. */
export interface CellOwnerParts {
  readonly cell: string;
  readonly fencingToken: number;
  readonly workerClient: WorkerClient;
  readonly options: CellOptions & SessionOptions;
  readonly clock: HostClock;
  readonly journal: DispatchJournal;
  /** A worker obeys a newer owner, so this host must stop giving orders. */
  readonly onFenced: (workerId: string) => void;
}

/** Period of the cell's timer. */
const TICK_MS = 20;

type Answer = (outcome: BatchOutcome) => void;

/** Owner of one cell. */
export class CellOwner {
  readonly #parts: CellOwnerParts;

  readonly #cell: Cell;

  readonly #sessions = new Map<string, WorkerSession>();

  readonly #answers = new Map<string, Answer>();

  readonly #pauses: PauseWatch;

  readonly #timer: NodeJS.Timeout;

  #closed = false;

  constructor(parts: CellOwnerParts) {
    this.#parts = parts;
    this.#pauses = new PauseWatch(parts.clock);
    this.#cell = new Cell(parts.cell, {
      ...parts.options,
      leaseMs: latestLeaseEndMs(parts.options.leaseMs, 0),
    });
    this.#timer = setInterval(() => {
      this.#cell.tick(this.#now());
      this.#act();
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

  /** State of the cell for metrics. */
  get inner(): Cell {
    return this.#cell;
  }

  setWorkers(entries: readonly WorkerEntry[]): void {
    this.#cell.setWorkers(entries, this.#now());
    this.#act();
  }

  /** Runs a batch; resolves with its outcome. */
  run(batch: TaskBatch, contact?: SubmitterContact): Promise<BatchOutcome> {
    return new Promise((resolve) => {
      this.#answers.set(batch.batchId, resolve);
      this.#cell.offer(batch, this.#now(), contact);
      this.#act();
    });
  }

  withdraw(batchId: string, reason: BatchReason): void {
    this.#cell.withdraw(batchId, reason, this.#now());
    this.#act();
  }

  /** Answers all batches and stops giving orders; runs in progress end with their leases. */
  close(): void {
    if (this.#closed) return;
    this.#closed = true;
    clearInterval(this.#timer);
    this.#cell.handOver(this.#now());
    this.#act();
    this.#sessions.forEach((session) => session.close());
    this.#sessions.clear();
  }

  /** Time of an event for the cell, which hears first of a pause that the event ends. */
  #now(): number {
    const gapMs = this.#pauses.look();
    const nowMs = this.#parts.clock.nowMs();
    if (gapMs > 0) this.#cell.ownerResumed(gapMs, nowMs);
    return nowMs;
  }

  #act(): void {
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
        this.#answers.get(action.batchId)?.(action.outcome);
        this.#answers.delete(action.batchId);
        break;
      case 'follow':
        this.#follow(action.workerId, action.address);
        break;
      case 'unfollow':
        this.#unfollow(action.workerId);
        break;
      case 'stepDown':
        this.#fenced(action.workerId);
        break;
      default:
        this.#parts.journal.logDecision(action.decision, action.fields);
    }
  }

  #start({ workerId, task, run, payload }: Extract<CellAction, { type: 'start' }>): void {
    const session = this.#sessions.get(workerId);
    if (!session) return;
    session.start(task, run, payload).then((answer: StartAnswer) => {
      if (this.#closed) return;
      this.#cell.startAnswered(task, run, workerId, answer, this.#now());
      this.#act();
    });
  }

  #stop({ workerId, task, run }: Extract<CellAction, { type: 'stop' }>): void {
    const session = this.#sessions.get(workerId);
    if (!session) return;
    session.stop(task, run).then((answer) => {
      if (this.#closed) return;
      if (answer === StopAnswer.fenced) this.#fenced(workerId);
      if (answer === StopAnswer.unclear) this.#cell.stopUnanswered(task, run, workerId);
      if (answer !== StopAnswer.confirmed) return;
      this.#cell.stopConfirmed(task, run, workerId, this.#now());
      this.#act();
    });
  }

  #fenced(workerId: string): void {
    if (!this.#closed) this.#parts.onFenced(workerId);
  }

  #follow(workerId: string, address: string): void {
    const { workerClient: control, fencingToken, options, clock, journal } = this.#parts;
    const { cell } = this.#parts;
    const act = () => this.#act();
    const session = new WorkerSession(
      { id: workerId, address },
      control,
      fencingToken,
      options,
      {
        workerCount: () => this.#sessions.size,
        isIdle: () => this.#cell.workers.get(workerId)?.runs.size === 0,
        leaseLimitMs: () => this.#cell.leaseLimitMs(workerId),
      },
      {
        reported: (id, report) => {
          this.#cell.report(id, report, this.#now());
          act();
        },
        silent: (id, error) => {
          journal.logDecision('worker-unanswered', { cell, worker: id, error });
          this.#cell.workerSilent(id, this.#now());
          act();
        },
        restarted: (id) => {
          this.#cell.workerRestarted(id, this.#now());
          act();
        },
        fenced: (id) => this.#fenced(id),
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
