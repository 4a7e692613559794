/** Lines of the decision log about single runs. */
import type { CellAction, EndedRun, RunningEntry } from './actions';
import type { Run } from './run';
import type { CellWorker } from './worker';

type Decision = Extract<CellAction, { type: 'decision' }>;

/** Why a stop is sent; a batch that ends gives the reason of its outcome. */
export const StopReason = {
  /** No submitter has claimed a run that a previous owner started. */
  unclaimed: 'unclaimed',
  /** It goes on elsewhere, because its worker slows it down. */
  moved: 'moved',
  /** Its start had no answer, and the worker does not list it. */
  notListed: 'not-listed',
  /** The stop before had no answer, or the worker lists the run without having confirmed one. */
  stopUnanswered: 'stop-unanswered',
} as const;

/** A stop, with the age of what led to it and the time for which the run may go on without it. */
export function stopDecision(
  run: Run,
  reason: string,
  leasesEndMs: number,
  nowMs: number,
): Decision {
  return {
    type: 'decision',
    decision: 'run-stop',
    fields: {
      jobId: run.jobId,
      task: run.task,
      run: run.run,
      worker: run.workerId,
      reason,
      knownForMs: Math.round(nowMs - run.startedAtMs),
      reportedAgoMs: Math.round(nowMs - run.reportedAtMs),
      stopSentAgoMs: run.stopSentAtMs === null ? null : Math.round(nowMs - run.stopSentAtMs),
      leaseLeftMs: Math.round(leasesEndMs - nowMs),
    },
  };
}

/** A run that a previous owner started. */
export function adoptionDecision(worker: CellWorker, { task, run }: RunningEntry): Decision {
  return {
    type: 'decision',
    decision: 'run-adopted',
    fields: { task, run, worker: worker.entry.id },
  };
}

/** An end that no batch of this owner waits for; `run` is missing if it was never seen in progress. */
export function unclaimedEndDecision(
  worker: CellWorker,
  { task, run: number, end }: Omit<EndedRun, 'sequence'>,
  run: Run | undefined,
  nowMs: number,
): Decision {
  return {
    type: 'decision',
    decision: 'run-end-unclaimed',
    fields: {
      task,
      run: number,
      worker: worker.entry.id,
      end,
      knownForMs: run ? Math.round(nowMs - run.startedAtMs) : null,
    },
  };
}
