/** Decision log lines about single runs. */
import type { CellAction, EndedRun, RunningEntry } from './actions';
import type { Run } from './run';
import type { CellWorker } from './worker';

type Decision = Extract<CellAction, { type: 'decision' }>;

/** Why a stop is sent. For a run whose batch ends, the reason of its outcome is used instead. */
export const StopReason = {
  /** No submitter has claimed a run that a previous owner started. */
  unclaimed: 'unclaimed',
  /** The run's worker slows it down, so its task is moved to another worker. */
  moved: 'moved',
  /** The start had no answer, and the worker does not list the run. */
  notListed: 'not-listed',
  /** The last stop had no answer, or the worker lists the run and has not confirmed a stop. */
  stopUnanswered: 'stop-unanswered',
} as const;

/** A stop, with the age of the information behind it and the time left on the worker's leases. */
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

/** Adoption of a run that a previous owner started. */
export function adoptionDecision(worker: CellWorker, { task, run }: RunningEntry): Decision {
  return {
    type: 'decision',
    decision: 'run-adopted',
    fields: { task, run, worker: worker.entry.id },
  };
}

/** A worker's process answers, and the entry that is known was written by another one. */
export function outdatedEntryDecision({ entry, processStartMs }: CellWorker): Decision {
  return {
    type: 'decision',
    decision: 'worker-entry-outdated',
    fields: {
      worker: entry.id,
      answeringProcessStartMs: processStartMs,
      entryProcessStartMs: entry.processStartMs,
    },
  };
}

/**
 * Workers that do not guard their room are no longer used, or are used again, because of the time
 * since their entries were read.
 */
export function entryAgeDecision(workers: number, isOutdated: boolean, ageMs: number): Decision {
  const decision = isOutdated ? 'worker-entries-too-old' : 'worker-entries-current';
  return { type: 'decision', decision, fields: { workers, ageMs } };
}

/** A new process of a worker answers, and starts that had no answer may still reach it. */
export function unansweredStartsDecision(worker: CellWorker): Decision {
  const { entry, processStartMs, unansweredStarts } = worker;
  return {
    type: 'decision',
    decision: 'unanswered-starts-stopped',
    fields: { worker: entry.id, processStartMs, starts: unansweredStarts.unstoppedCount },
  };
}

/** An end that no batch of this owner waits for; `run` is undefined if it was not being tracked. */
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
