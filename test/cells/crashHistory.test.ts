/** The history of lost workers: what it concludes for a task, and how hosts' records combine. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { CrashHistory, CrashVerdict } from '../../src/cells/crashHistory';

const RETENTION_MS = 120_000;
const RUN = { task: 'job.0.0.0', run: 1 };
const NEXT_RUN = { task: 'job.0.0.0', run: 2 };
const OTHER = { task: 'other.0.0.0', run: 1 };
const THIRD = { task: 'third.0.0.0', run: 1 };

class Clock {
  nowMs = 1_000_000;

  readonly history = new CrashHistory(() => this.nowMs, RETENTION_MS);

  verdict(task = RUN.task): CrashVerdict {
    return this.history.verdict(task);
  }
}

describe('the history of lost workers', () => {
  it('isolates each task that was on a lost worker', () => {
    const { history } = new Clock();
    history.workerLost('w0', 1, [RUN, OTHER]);
    expect(history.verdict(RUN.task)).toEqual(CrashVerdict.isolate);
    expect(history.verdict(OTHER.task)).toEqual(CrashVerdict.isolate);
    expect(history.verdict(THIRD.task)).toEqual(CrashVerdict.none);
  });

  it('holds a task under which two workers were lost until they are known to have crashed', () => {
    const { history } = new Clock();
    history.workerLost('w0', 1, [RUN]);
    history.workerLost('w1', 1, [NEXT_RUN]);
    expect(history.verdict(RUN.task)).toEqual(CrashVerdict.wait);
    history.workerReplaced('w0');
    expect(history.verdict(RUN.task)).toEqual(CrashVerdict.wait);
    history.workerAnswered('w1', 500);
    expect(history.verdict(RUN.task)).toEqual(CrashVerdict.giveUp);
    expect(history.givenUpTaskOf('job')).toEqual(RUN.task);
    expect(history.givenUpTaskOf('other')).toEqual(null);
  });

  // Guards against a task that is given up because its workers were cut off or paused.
  it('forgets a loss when the process with the run answers again', () => {
    const { history } = new Clock();
    history.workerLost('w0', 1, [RUN]);
    history.workerAnswered('w0', 1);
    expect(history.verdict(RUN.task)).toEqual(CrashVerdict.none);
    history.workerLost('w0', 1, [RUN]);
    expect(history.verdict(RUN.task)).toEqual(CrashVerdict.isolate);
  });

  // Guards against a task that is given up for the one that it shared both workers with.
  it('does not give up a task that met another suspect on each lost worker', () => {
    const { history } = new Clock();
    history.workerLost('w0', 1, [RUN, OTHER]);
    history.workerLost('w1', 1, [NEXT_RUN, { ...OTHER, run: 2 }]);
    ['w0', 'w1'].forEach((worker) => history.workerReplaced(worker));
    expect(history.verdict(RUN.task)).toEqual(CrashVerdict.isolate);
    expect(history.verdict(OTHER.task)).toEqual(CrashVerdict.isolate);
  });

  // Guards against a task that shares its second worker with fresh tasks and is never told apart.
  it('attributes a second loss to the only task on the worker that was on a lost one before', () => {
    const { history } = new Clock();
    history.workerLost('w0', 1, [RUN, OTHER]);
    history.workerLost('w1', 1, [NEXT_RUN, THIRD]);
    ['w0', 'w1'].forEach((worker) => history.workerReplaced(worker));
    expect(history.verdict(RUN.task)).toEqual(CrashVerdict.giveUp);
    expect(history.verdict(OTHER.task)).toEqual(CrashVerdict.isolate);
    expect(history.verdict(THIRD.task)).toEqual(CrashVerdict.isolate);
  });

  // Guards against tasks that are held for ever by workers that are gone for good.
  it('no longer holds a task when its workers have stayed away for 10 s', () => {
    const clock = new Clock();
    clock.history.workerLost('w0', 1, [RUN]);
    clock.history.workerLost('w1', 1, [NEXT_RUN]);
    clock.nowMs += 9_999;
    expect(clock.verdict()).toEqual(CrashVerdict.wait);
    clock.nowMs += 1;
    expect(clock.verdict()).toEqual(CrashVerdict.isolate);
  });

  it('takes a run that a worker lists for one that was not lost', () => {
    const { history } = new Clock();
    history.workerLost('w0', 1, [RUN]);
    history.workerReplaced('w0');
    history.runListed(RUN, 'w0');
    expect(history.verdict(RUN.task)).toEqual(CrashVerdict.none);
  });

  it('counts a worker that a former owner may have lost, once another process answers there', () => {
    const clock = new Clock();
    clock.history.runNotFound(RUN.task, 'w0');
    clock.history.workerLost('w1', 1, [NEXT_RUN]);
    expect(clock.verdict()).toEqual(CrashVerdict.wait);
    clock.history.workerAnswered('w0', clock.nowMs + 3000);
    clock.history.workerReplaced('w1');
    expect(clock.verdict()).toEqual(CrashVerdict.giveUp);
  });

  it('forgets records after the time for which callers ask for the state of a job', () => {
    const clock = new Clock();
    clock.history.workerLost('w0', 1, [RUN]);
    clock.nowMs += RETENTION_MS;
    expect(clock.verdict()).toEqual(CrashVerdict.none);
    clock.history.removeExpired();
    expect(clock.history.size).toEqual(0);
  });

  it('keeps at most 2000 records, the latest ones', () => {
    const { history } = new Clock();
    for (let index = 0; index < 2500; index += 1) {
      history.workerLost(`w${index}`, 1, [{ task: `job${index}.0.0.0`, run: 1 }]);
    }
    expect(history.size).toEqual(2000);
    expect(history.verdict('job0.0.0.0')).toEqual(CrashVerdict.none);
    expect(history.verdict('job2499.0.0.0')).toEqual(CrashVerdict.isolate);
  });
});

describe('the histories of two hosts', () => {
  it('agree after an exchange in any order, whichever host resolves a loss', () => {
    const clock = new Clock();
    const other = new CrashHistory(() => clock.nowMs, RETENTION_MS);
    clock.history.workerLost('w0', 1, [RUN]);
    other.merge(clock.history.changedSince(0));
    expect(other.verdict(RUN.task)).toEqual(CrashVerdict.isolate);
    const stale = clock.history.changedSince(0);
    other.workerReplaced('w0');
    other.workerLost('w1', 1, [NEXT_RUN]);
    other.workerReplaced('w1');
    other.merge(stale);
    clock.history.merge(other.changedSince(0));
    expect(clock.verdict()).toEqual(CrashVerdict.giveUp);
    expect(other.verdict(RUN.task)).toEqual(CrashVerdict.giveUp);
  });

  it('exchange only what has changed, and ignore values that are not records', () => {
    const { history } = new Clock();
    history.workerLost('w0', 1, [RUN]);
    const { revision } = history;
    expect(history.changedSince(revision)).toEqual([]);
    history.workerLost('w1', 1, [OTHER]);
    expect(history.changedSince(revision).map(({ task }) => task)).toEqual([OTHER.task]);
    const [record] = history.changedSince(revision);
    const odd = [null, 'x', {}, { ...record, run: -1 }, { ...record, state: 'unheard-of' }];
    expect(new CrashHistory(() => 0, RETENTION_MS).merge(odd)).toEqual(0);
  });

  it('mark as own what this host has recorded or resolved', () => {
    const { history } = new Clock();
    const other = new Clock();
    history.workerLost('w0', 1, [RUN]);
    other.history.merge(history.changedSince(0));
    expect(other.history.changedSince(0, true)).toEqual([]);
    other.history.workerReplaced('w0');
    expect(other.history.changedSince(0, true).map(({ state }) => state)).toEqual(['confirmed']);
  });
});
