/** How long an owner takes a submitter to be alive that it does not hear. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { SubmitterTracker } from '../../src/dispatcher/submitterTracker';
import { batchOf } from '../cells/cellSimulation';
import { SUBMITTER } from './peerFixtures';

/** Longest time that the batches of a submitter which is gone may go on, less the stop of their runs. */
const SILENT_MS = 700;
/** A submitter asks each 150 ms. */
const ASK_PERIOD_MS = 150;
const AT = { steadyMs: 0, dayMs: 0 };

describe('a submitter that is not heard', () => {
  it('is silent after 700 ms', () => {
    const submitters = new SubmitterTracker();
    submitters.recordContact(SUBMITTER, 0);
    expect(submitters.isSilent(SUBMITTER, SILENT_MS)).toEqual(false);
    expect(submitters.isSilent(SUBMITTER, SILENT_MS + 1)).toEqual(true);
  });

  // Guards against batches of a dead submitter that get the whole time anew with each pause of the owner.
  it('has two periods of its questions to be heard after a pause of the owner', () => {
    const submitters = new SubmitterTracker();
    submitters.recordContact(SUBMITTER, 0);
    const resumedAtMs = 1000;
    submitters.resume(resumedAtMs);
    expect(submitters.isSilent(SUBMITTER, resumedAtMs + 2 * ASK_PERIOD_MS)).toEqual(false);
    expect(submitters.isSilent(SUBMITTER, resumedAtMs + 3 * ASK_PERIOD_MS)).toEqual(true);
  });

  // Guards against repeated pauses that keep the batches of a dead submitter for ever.
  it('is found silent although the owner pauses again and again', () => {
    const submitters = new SubmitterTracker();
    submitters.recordContact(SUBMITTER, 0);
    submitters.resume(500);
    submitters.resume(1000);
    expect(submitters.isSilent(SUBMITTER, 1001)).toEqual(true);
  });

  it('keeps the time at which it was heard if that was later', () => {
    const submitters = new SubmitterTracker();
    submitters.recordContact(SUBMITTER, 900);
    submitters.resume(1000);
    expect(submitters.isSilent(SUBMITTER, 900 + SILENT_MS)).toEqual(false);
  });

  // Guards against a late question that brings back calls which its sender had given up.
  it('does not await a call again that an earlier question has left out', () => {
    const submitters = new SubmitterTracker();
    submitters.recordContact(SUBMITTER, 0);
    submitters.updateAwaitedCalls(SUBMITTER, { upTo: 2, numbers: [2] }, AT, 600);
    submitters.updateAwaitedCalls(SUBMITTER, { upTo: 1, numbers: [1] }, AT, 601);
    const call = { from: SUBMITTER, cell: 'bole', batch: batchOf(), isRetry: false };
    const isAwaited = (number: number) => submitters.isAwaited({ ...call, number });
    expect([isAwaited(1), isAwaited(2)]).toEqual([false, true]);
    // What it says is no sign of life by itself.
    expect(submitters.isSilent(SUBMITTER, SILENT_MS + 1)).toEqual(true);
  });

  // Guards against an older question, overtaken by a newer one, that brings back a call given up between.
  it('does not await a call again if no call was begun between two questions', () => {
    const submitters = new SubmitterTracker();
    submitters.updateAwaitedCalls(SUBMITTER, { upTo: 2, numbers: [2] }, AT, 0);
    submitters.updateAwaitedCalls(SUBMITTER, { upTo: 2, numbers: [1, 2] }, AT, 1);
    const call = { from: SUBMITTER, cell: 'bole', batch: batchOf(), isRetry: false };
    expect(submitters.isAwaited({ ...call, number: 1 })).toEqual(false);
    expect(submitters.isAwaited({ ...call, number: 2 })).toEqual(true);
  });
});
