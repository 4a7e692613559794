/** Questions to the new owners of cells, for jobs that may have run before. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { FoundRuns, type RunsQuestion } from '../../src/dispatcher/jobs/foundRuns';
import type { RunsReply } from '../../src/dispatcher/peers/peerMessages';

const JOB = '00000000000000aa';
const OTHER_JOB = '00000000000000bb';
const COMPLETE: RunsReply = { mayRun: false, foundJobs: [], areAllListed: true };
const PARTIAL: RunsReply = {
  mayRun: true,
  foundJobs: [],
  areAllListed: false,
  mayRunOthers: true,
};

function questionFor(jobId: string, incarnation = '1', token = 1000): RunsQuestion {
  return { cell: 'a', address: '10.0.0.1:7000', incarnation, token, jobId };
}

/** An owner that gives `replies` in turn, the last one again and again. */
class Owner {
  asked = 0;

  nowMs = 0;

  readonly found: FoundRuns;

  constructor(replies: readonly (RunsReply | null)[]) {
    this.found = new FoundRuns(
      async () => {
        this.asked += 1;
        return replies[Math.min(this.asked, replies.length) - 1] ?? null;
      },
      { nowMs: () => this.nowMs },
    );
  }

  async mayRun(jobId: string, afterMs = 0, incarnation = '1', token = 1000): Promise<boolean> {
    this.nowMs += afterMs;
    return this.found.mayRunJob(questionFor(jobId, incarnation, token));
  }
}

describe('an owner that has found runs', () => {
  // Guards against owners that answer thousands of calls when the clients of all hosts send their
  // jobs at once, right after they have taken over.
  it('is asked once by each host, however many jobs wait for the answer', async () => {
    const owner = new Owner([COMPLETE]);
    const jobs = Array.from({ length: 100 }, (_, index) => String(index));
    const together = await Promise.all(jobs.map((jobId) => owner.mayRun(jobId)));
    expect(together.includes(true)).toEqual(false);
    expect(await owner.mayRun('later', 1000)).toEqual(false);
    expect(owner.asked).toEqual(1);
  });

  // Guards against a second run of a task beside one that its worker has not listed yet.
  it('is asked again while workers have not listed their runs', async () => {
    const owner = new Owner([PARTIAL, { ...COMPLETE, foundJobs: [JOB], mayRun: true }]);
    expect(await owner.mayRun(OTHER_JOB)).toEqual(true);
    expect(await owner.mayRun(JOB, 20)).toEqual(true);
    expect(await owner.mayRun(OTHER_JOB, 20)).toEqual(false);
  });

  // Guards against a job that waits for runs that have ended.
  it('is asked again for a job that it has found runs of', async () => {
    const owner = new Owner([{ ...COMPLETE, foundJobs: [JOB], mayRun: true }, COMPLETE]);
    expect(await owner.mayRun(JOB)).toEqual(true);
    expect(await owner.mayRun(OTHER_JOB, 20)).toEqual(false);
    expect(owner.asked).toEqual(1);
    expect(await owner.mayRun(JOB, 20)).toEqual(false);
  });

  // Guards against the use of what an owner before has found.
  it('is asked again when another process owns the cell', async () => {
    const owner = new Owner([COMPLETE, { ...COMPLETE, foundJobs: [JOB], mayRun: true }]);
    expect(await owner.mayRun(JOB)).toEqual(false);
    expect(await owner.mayRun(JOB, 0, '2')).toEqual(true);
  });

  // Guards against the use of an answer from before another owner had the cell for a while.
  it('is asked again when it has got the cell back', async () => {
    const owner = new Owner([COMPLETE, { ...COMPLETE, foundJobs: [JOB], mayRun: true }]);
    expect(await owner.mayRun(JOB)).toEqual(false);
    expect(await owner.mayRun(JOB, 0, '1', 3000)).toEqual(true);
  });

  // Guards against an answer of an earlier version, for one job, that is used for all.
  it('is asked for each job if it names none', async () => {
    const owner = new Owner([{ mayRun: false }, { mayRun: true }]);
    const both = await Promise.all([owner.mayRun(JOB), owner.mayRun(OTHER_JOB)]);
    expect(both).toEqual([false, true]);
  });

  it('that does not answer holds no job back', async () => {
    const owner = new Owner([null]);
    expect(await owner.mayRun(JOB)).toEqual(false);
  });
});
