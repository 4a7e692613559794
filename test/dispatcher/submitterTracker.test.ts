/** Detection of lost submitters and of abandoned calls by an owner. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { SubmitterTracker } from '../../src/dispatcher/peers/submitterTracker';
import { batchOf } from '../cells/cellSimulation';
import { SUBMITTER } from './peerFixtures';

/** Time after which a submitter counts as silent. */
const SILENT_AFTER_MS = 700;
/** A submitter polls every 150 ms. */
const POLL_PERIOD_MS = 150;
const SENT_AT = { steadyMs: 0, dayMs: 0 };

describe('a submitter that is not heard', () => {
  it('is silent after 700 ms', () => {
    const tracker = new SubmitterTracker();
    tracker.recordContact(SUBMITTER, 0);
    expect(tracker.isSilent(SUBMITTER, SILENT_AFTER_MS)).toEqual(false);
    expect(tracker.isSilent(SUBMITTER, SILENT_AFTER_MS + 1)).toEqual(true);
  });

  // Guards against granting a lost submitter the full timeout again after each pause of the owner.
  it('has two poll periods to be heard after a pause of the owner', () => {
    const tracker = new SubmitterTracker();
    tracker.recordContact(SUBMITTER, 0);
    const resumedAtMs = 1000;
    tracker.resume(resumedAtMs);
    expect(tracker.isSilent(SUBMITTER, resumedAtMs + 2 * POLL_PERIOD_MS)).toEqual(false);
    expect(tracker.isSilent(SUBMITTER, resumedAtMs + 3 * POLL_PERIOD_MS)).toEqual(true);
  });

  // Guards against keeping the batches of a lost submitter for ever because of repeated pauses.
  it('is detected as silent even if the owner pauses repeatedly', () => {
    const tracker = new SubmitterTracker();
    tracker.recordContact(SUBMITTER, 0);
    tracker.resume(500);
    tracker.resume(1000);
    expect(tracker.isSilent(SUBMITTER, 1001)).toEqual(true);
  });

  it('keeps its time of last contact if that is later than the extra time after a pause', () => {
    const tracker = new SubmitterTracker();
    tracker.recordContact(SUBMITTER, 900);
    tracker.resume(1000);
    expect(tracker.isSilent(SUBMITTER, 900 + SILENT_AFTER_MS)).toEqual(false);
  });

  // Guards against a delayed poll that restores calls which the submitter has abandoned.
  it('does not await a call again that a previous poll has left out', () => {
    const tracker = new SubmitterTracker();
    tracker.recordContact(SUBMITTER, 0);
    tracker.updateAwaitedCalls(SUBMITTER, { upTo: 2, numbers: [2] }, SENT_AT, 600);
    tracker.updateAwaitedCalls(SUBMITTER, { upTo: 1, numbers: [1] }, SENT_AT, 601);
    const call = { from: SUBMITTER, cell: 'bole', batch: batchOf(), isRetry: false };
    const isAwaited = (number: number) => tracker.isAwaited({ ...call, number });
    expect([isAwaited(1), isAwaited(2)]).toEqual([false, true]);
    // The report alone does not count as contact.
    expect(tracker.isSilent(SUBMITTER, SILENT_AFTER_MS + 1)).toEqual(true);
  });

  // Guards against a poll that was overtaken by a newer one and restores a call abandoned in
  // between.
  it('does not await a call again if no call was begun between two polls', () => {
    const tracker = new SubmitterTracker();
    tracker.updateAwaitedCalls(SUBMITTER, { upTo: 2, numbers: [2] }, SENT_AT, 0);
    tracker.updateAwaitedCalls(SUBMITTER, { upTo: 2, numbers: [1, 2] }, SENT_AT, 1);
    const call = { from: SUBMITTER, cell: 'bole', batch: batchOf(), isRetry: false };
    expect(tracker.isAwaited({ ...call, number: 1 })).toEqual(false);
    expect(tracker.isAwaited({ ...call, number: 2 })).toEqual(true);
  });
});
