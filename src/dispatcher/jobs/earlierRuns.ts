/**
 * Keeps a job that a client sends again from starting while runs of its earlier submission may
 * still be in progress. If submitter and owner of a cell are lost together, the new owner finds the
 * runs on its workers, but the job may be sent to another cell, which does not know of them. So
 * while a cell has changed owners recently, its new owner is asked before a job starts anywhere.
 */
import type { Clock } from '../../core/clock';
import { waitForPendingReads } from './caller';
import type { DispatchJournal } from '../journal';
import type { RunningJob } from './runningJob';

/** The members of the cluster that are needed to find earlier runs. */
export interface EarlierRunsCluster {
  /** Cells that changed owners so recently that runs of lost submitters may be in progress there. */
  recentlyTakenOver(): readonly string[];
  /**
   * True if a new owner is expected for some cell, so that nobody can tell what runs there. Only a
   * process that has just started reports this, and only for a short time.
   */
  readonly lacksOwner: boolean;
  /** True if the owner of the cell tracks runs of the job, or does not know yet what runs there. */
  mayRunJob(cell: string, jobId: string): Promise<boolean>;
}

/** Dependencies of `EarlierRuns`. */
export interface EarlierRunsParts {
  readonly cluster: EarlierRunsCluster;
  readonly clock: Clock;
  readonly journal: DispatchJournal;
  /** Time after which all runs of a lost owner have ended. */
  readonly lostRunsEndMs: number;
}

const POLL_MS = 20;
/** Longest wait for cells without an owner to get one. */
const OWNER_WAIT_MS = 300;

/** Waits for the end of runs that earlier submissions of a job have started. */
export class EarlierRuns {
  readonly #parts: EarlierRunsParts;

  constructor(parts: EarlierRunsParts) {
    this.#parts = parts;
  }

  /** Resolves when no earlier run of the job can be in progress, or when the job has ended. */
  async waitUntilOver(job: RunningJob): Promise<void> {
    const { clock, journal, lostRunsEndMs } = this.#parts;
    const startedAtMs = clock.nowMs();
    let cells = await this.#cellsToWaitFor(job, 0);
    if (cells.length === 0) return;
    journal.logDecision('earlier-runs', { jobId: job.request.job.id, cells });
    while (cells.length > 0 && !job.hasEnded && clock.nowMs() - startedAtMs < lostRunsEndMs) {
      // eslint-disable-next-line no-await-in-loop -- polls until the runs are over
      await job.wait(POLL_MS);
      // eslint-disable-next-line no-await-in-loop -- polls until the runs are over
      cells = await this.#cellsToWaitFor(job, clock.nowMs() - startedAtMs);
    }
    const waitedMs = Math.round(clock.nowMs() - startedAtMs);
    journal.logDecision('earlier-runs-over', { jobId: job.request.job.id, waitedMs, cells });
  }

  /** Cells in which runs of the job may be in progress; a cell without an owner is named `?`. */
  async #cellsToWaitFor(job: RunningJob, waitedMs: number): Promise<readonly string[]> {
    const { cluster } = this.#parts;
    const unknown = cluster.lacksOwner && waitedMs < OWNER_WAIT_MS ? ['?'] : [];
    const cells = cluster.recentlyTakenOver();
    if (cells.length === 0) return unknown;
    const mayRun = await Promise.all(
      cells.map((cell) => cluster.mayRunJob(cell, job.request.job.id)),
    );
    // The caller may have disconnected in the meantime, and sent the job elsewhere.
    await waitForPendingReads();
    return [...unknown, ...cells.filter((_, index) => mayRun[index])];
  }
}
