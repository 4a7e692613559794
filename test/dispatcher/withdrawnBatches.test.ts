/** The owner must withdraw batches that their submitter no longer awaits, and no others. */
import { after, before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { BatchReason } from '../../src/cells/messages';
import { BatchCalls } from '../../src/dispatcher/peers/batchCalls';
import {
  PeerPath,
  type AwaitedCalls,
  type PeerStatus,
} from '../../src/dispatcher/peers/peerMessages';
import { until } from '../platform/deployment';
import { STATUS_REQUEST, SUBMITTER } from './peerFixtures';
import { callOf, PeerPair } from './peerPair';

/** A client resubmits its job 1300 ms after the loss; the rest is for stopping the runs. */
const WITHDRAWAL_LIMIT_MS = 700;
/** A silent submitter counts as gone after 700 ms, and checks for that run every 100 ms. */
const SILENCE_LIMIT_MS = 850;
const SETTLE_MS = 50;

function withTimeout(outcome: Promise<unknown>): Promise<unknown> {
  return Promise.race([outcome, sleep(1000)]);
}

describe('a batch whose submitter abandons it', () => {
  const pair = new PeerPair();
  before(async () => {
    await pair.open();
    pair.startPolling();
  });
  after(() => pair.close());

  // Guards against a second run of a resubmitted job while its first batch keeps running.
  it('is withdrawn although its connection was lost, and no other batch is', async () => {
    const givenUp = pair.send();
    const awaited = pair.send();
    await until('the owner has both batches', () => pair.begun.length === 2);
    await sleep(200);
    pair.silence();
    const givenUpAtMs = performance.now();
    givenUp.abort.abort();
    const later = pair.send();
    await sleep(WITHDRAWAL_LIMIT_MS);
    expect([...pair.withdrawals.keys()]).toEqual([givenUp.batchId]);
    const withdrawal = pair.withdrawals.get(givenUp.batchId);
    expect((withdrawal?.atMs ?? Infinity) - givenUpAtMs).toBeLessThan(WITHDRAWAL_LIMIT_MS);
    expect(withdrawal?.reason).toEqual(BatchReason.notAwaited);
    expect(pair.logLines.filter(({ decision }) => decision === 'batch-withdrawn')).toEqual([
      {
        decision: 'batch-withdrawn',
        fields: {
          batchId: givenUp.batchId,
          jobId: givenUp.jobId,
          cell: 'bole',
          from: SUBMITTER.hostId,
          incarnation: SUBMITTER.incarnation,
          reason: 'not-awaited',
        },
      },
    ]);
    pair.end(awaited.batchId, { type: 'done' });
    pair.end(later.batchId, { type: 'done' });
    expect(await withTimeout(awaited.outcome)).toEqual({ type: 'done' });
    expect(await withTimeout(later.outcome)).toEqual({ type: 'done' });
    expect([...pair.withdrawals.keys()]).toEqual([givenUp.batchId]);
    expect(pair.begun.length).toEqual(3);
  });

  // Guards against a batch withdrawn because its first call broke while the second is in transit.
  it('stays at the owner while it is resent', async () => {
    const again = pair.send();
    await until('the owner has the batch', () => pair.begun.includes(again.batchId));
    await sleep(200);
    pair.silence();
    pair.end(again.batchId, { type: 'done' });
    expect(await withTimeout(again.outcome)).toEqual({ type: 'done' });
    expect(pair.withdrawals.has(again.batchId)).toEqual(false);
    expect(pair.begun.filter((batchId) => batchId === again.batchId).length).toEqual(1);
  });
});

describe('a submitter with many idle connections to an owner', () => {
  const pair = new PeerPair();
  before(() => pair.open());
  after(() => pair.close());

  // Guards against an owner that counts as gone because each poll uses another lost connection.
  it('gets a response soon after all of them were lost', async () => {
    const together = Array.from({ length: 8 }, () => pair.send());
    await until('the owner has all batches', () => pair.begun.length === together.length);
    together.forEach(({ batchId }) => pair.end(batchId, { type: 'done' }));
    await Promise.all(together.map(({ outcome }) => outcome));
    await sleep(SETTLE_MS);
    pair.silence();
    const silentAtMs = performance.now();
    pair.startPolling();
    await until('a status is answered', () => pair.answeredAtMs !== null, 2000);
    // An owner counts as gone after 600 ms without an answer.
    expect((pair.answeredAtMs ?? Infinity) - silentAtMs).toBeLessThan(600);
  });
});

describe('an owner that was paused for a second', () => {
  const pair = new PeerPair();
  before(async () => {
    await pair.open();
    pair.startPolling();
  });
  after(() => pair.close());

  // Guards against batches lost because the pause is taken for silence of the submitter.
  it('keeps the batches of a submitter that continues to poll', async () => {
    const batch = pair.send();
    await until('the owner has the batch', () => pair.begun.length === 1);
    await sleep(200);
    const untilMs = performance.now() + 1000;
    while (performance.now() < untilMs);
    await sleep(500);
    expect([...pair.withdrawals.keys()]).toEqual([]);
    pair.end(batch.batchId, { type: 'done' });
    expect(await withTimeout(batch.outcome)).toEqual({ type: 'done' });
  });
});

describe('an owner whose event loop is always blocked', () => {
  const pair = new PeerPair();
  before(() => pair.open());
  after(() => pair.close());

  // Guards against batches of a dead submitter that keep running because every check is late.
  it('withdraws the batches of a submitter that is gone', async (t) => {
    const batch = pair.send();
    await until('the owner has the batch', () => pair.begun.length === 1);
    const blocker = setInterval(() => {
      const untilMs = performance.now() + 350;
      while (performance.now() < untilMs);
    }, 1);
    t.after(() => clearInterval(blocker));
    await until('the batch is withdrawn', () => pair.withdrawals.has(batch.batchId), 3000);
  });
});

describe('the awaited calls in a status request', () => {
  const pair = new PeerPair();
  before(() => pair.open());
  after(() => pair.close());

  let processes = 0;

  /** A process of the submitter that no earlier test has used. */
  function nextProcess() {
    processes += 1;
    return { ...SUBMITTER, incarnation: `process-${processes}` };
  }

  async function poll(from: typeof SUBMITTER, awaited?: AwaitedCalls): Promise<readonly string[]> {
    const status = await pair.post(PeerPath.status, { ...STATUS_REQUEST, from, awaited });
    return (status as PeerStatus).batches;
  }

  /** Sends a batch that the owner must start, and returns its id. */
  async function startBatch(from: typeof SUBMITTER, number?: number): Promise<string> {
    const call = callOf({ from, number });
    const { batchId } = call.batch;
    pair.post(PeerPath.batches, call).catch(() => {});
    await until('the owner has the batch', () => pair.begun.includes(batchId));
    await sleep(SETTLE_MS);
    return batchId;
  }

  /** Sends a batch that the owner must refuse as not awaited, without starting it. */
  async function expectRefusal(from: typeof SUBMITTER, number: number): Promise<void> {
    const call = callOf({ from, number });
    const { batchId } = call.batch;
    const replies: unknown[] = [];
    pair.post(PeerPath.batches, call).then(
      (reply) => replies.push(reply),
      (error) => replies.push(error),
    );
    const hasStarted = () => pair.begun.includes(batchId);
    await until('the owner replies or starts the batch', () => replies.length > 0 || hasStarted());
    await sleep(SETTLE_MS);
    expect(hasStarted()).toEqual(false);
    expect(replies).toEqual([{ detail: 'the sender does not wait for the batch any more' }]);
  }

  // Guards against the loss of a batch that has overtaken a status request.
  it('do not affect a batch that was sent after the request', async () => {
    const from = nextProcess();
    const batchId = await startBatch(from, 4);
    expect(await poll(from, { upTo: 3, numbers: [] })).toEqual([batchId]);
  });

  // Guards against the loss of a batch that a status request has overtaken.
  it('let a batch start that is listed and arrives after the request', async () => {
    const from = nextProcess();
    await poll(from, { upTo: 4, numbers: [4] });
    const batchId = await startBatch(from, 4);
    expect(await poll(from, { upTo: 4, numbers: [4] })).toEqual([batchId]);
  });

  // Guards against the start of a batch that was abandoned before it arrived.
  it('keep a batch from starting that is not listed and arrives after the request', async () => {
    const from = nextProcess();
    await poll(from, { upTo: 4, numbers: [3] });
    await expectRefusal(from, 4);
    const listed = await startBatch(from, 3);
    expect(pair.begun.includes(listed)).toEqual(true);
    expect(pair.logLines.some(({ decision }) => decision === 'batch-not-awaited')).toEqual(true);
  });

  // Guards against a late status request that reinstates a batch that a newer one has ended.
  it('end an unlisted batch for good, whatever an older request lists', async () => {
    const from = nextProcess();
    await poll(from, { upTo: 5, numbers: [] });
    await poll(from, { upTo: 4, numbers: [4] });
    await expectRefusal(from, 4);
  });

  it('apply to batches of the same process only', async () => {
    const from = nextProcess();
    const batchId = await startBatch(from, 4);
    await poll(nextProcess(), { upTo: 9, numbers: [] });
    expect(await poll(from, { upTo: 4, numbers: [4] })).toEqual([batchId]);
  });

  // Guards against lost batches during an upgrade, as the previous version does not number calls.
  it('do not affect batches of hosts of an earlier version', async () => {
    const from = nextProcess();
    const batchId = await startBatch(from);
    expect(await poll(from)).toEqual([batchId]);
    expect(await poll(from, { upTo: 9, numbers: [] })).toEqual([batchId]);
  });

  // Guards against runs kept for a process that has ended while its connections stay open.
  it('do not count as contact with the earlier process of a restarted host', async () => {
    const earlier = nextProcess();
    const batchId = await startBatch(earlier, 1);
    const later = nextProcess();
    const timer = setInterval(() => poll(later, { upTo: 0, numbers: [] }), 150);
    await sleep(SILENCE_LIMIT_MS);
    clearInterval(timer);
    expect(pair.withdrawals.get(batchId)?.reason).toEqual(BatchReason.unreachable);
    const silent = pair.logLines.filter(
      ({ decision, fields }) =>
        decision === 'submitter-silent' && fields.incarnation === earlier.incarnation,
    );
    expect(silent.map(({ fields }) => fields.from)).toEqual([SUBMITTER.hostId]);
  });
});

describe('the batches that a submitter awaits', () => {
  const OWNER = '10.0.0.2:1';

  function begin(calls: BatchCalls, batchId: string): void {
    const number = calls.nextNumber();
    const target = { cell: 'bole', ownerIncarnation: '1' };
    const callbacks = { abandon: () => {}, resend: () => {} };
    calls.set(OWNER, { batchId, ...target, number, sentAtMs: 0, ...callbacks });
  }

  it('are listed by number, and only to the address that they were sent to', () => {
    const calls = new BatchCalls();
    ['x', 'y', 'z'].forEach((batchId) => begin(calls, batchId));
    calls.delete(OWNER, 'y');
    expect(calls.awaited(OWNER)).toEqual({ upTo: 3, numbers: [1, 3] });
    // The same process may also be known by a second address, as a seed.
    expect(calls.awaited('10.0.0.3:1')).toEqual(null);
  });

  it('keep their owner polled at the busy rate for some time after they were abandoned', () => {
    const calls = new BatchCalls();
    begin(calls, 'x');
    expect(calls.mayHaveBatchesAt(OWNER, 1000)).toEqual(true);
    calls.giveUp(OWNER, 'x', 1000);
    expect(calls.awaited(OWNER)).toEqual({ upTo: 1, numbers: [] });
    expect(calls.mayHaveBatchesAt(OWNER, 1700)).toEqual(true);
    expect(calls.mayHaveBatchesAt(OWNER, 2000)).toEqual(false);
  });
});
