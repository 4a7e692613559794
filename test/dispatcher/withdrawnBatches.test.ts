/** Batches that the owner must withdraw because their submitter does not wait for them any more. */
import { after, before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { BatchReason } from '../../src/cells/messages';
import { BatchCalls } from '../../src/dispatcher/batchCalls';
import { PeerPath, type AwaitedCalls, type PeerStatus } from '../../src/dispatcher/peerMessages';
import { until } from '../platform/deployment';
import { QUESTION, SUBMITTER } from './peerFixtures';
import { callOf, PeerPair } from './peerPair';

/** A client sends its job again 1300 ms after the loss; the runs need time to be stopped. */
const BOUND_MS = 700;
/** Silence of 700 ms, found within 100 ms. */
const SILENCE_BOUND_MS = 850;
const SETTLE_MS = 50;

function isAnswered(outcome: Promise<unknown>): Promise<unknown> {
  return Promise.race([outcome, sleep(1000)]);
}

describe('a batch whose submitter gives it up', () => {
  const pair = new PeerPair();
  before(async () => {
    await pair.open();
    pair.ask();
  });
  after(() => pair.close());

  // Guards against a second run of a job that is sent again while its first batch goes on unheard of.
  it('is withdrawn although its connection went silent, and no other batch is', async () => {
    const givenUp = pair.send();
    const awaited = pair.send();
    await until('the owner has both batches', () => pair.begun.length === 2);
    await sleep(200);
    pair.silence();
    const givenUpAtMs = performance.now();
    givenUp.abort.abort();
    const later = pair.send();
    await sleep(BOUND_MS);
    expect([...pair.withdrawals.keys()]).toEqual([givenUp.batchId]);
    const withdrawal = pair.withdrawals.get(givenUp.batchId);
    expect((withdrawal?.atMs ?? Infinity) - givenUpAtMs).toBeLessThan(BOUND_MS);
    expect(withdrawal?.reason).toEqual(BatchReason.notAwaited);
    expect(pair.lines.filter(({ decision }) => decision === 'batch-withdrawn')).toEqual([
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
    expect(await isAnswered(awaited.outcome)).toEqual({ type: 'done' });
    expect(await isAnswered(later.outcome)).toEqual({ type: 'done' });
    expect([...pair.withdrawals.keys()]).toEqual([givenUp.batchId]);
    expect(pair.begun.length).toEqual(3);
  });

  // Guards against a batch that is lost because its first call broke while the second is on the way.
  it('stays at the owner while it is sent again', async () => {
    const again = pair.send();
    await until('the owner has the batch', () => pair.begun.includes(again.batchId));
    await sleep(200);
    pair.silence();
    pair.end(again.batchId, { type: 'done' });
    expect(await isAnswered(again.outcome)).toEqual({ type: 'done' });
    expect(pair.withdrawals.has(again.batchId)).toEqual(false);
    expect(pair.begun.filter((batchId) => batchId === again.batchId).length).toEqual(1);
  });
});

describe('a submitter with many idle connections to an owner', () => {
  const pair = new PeerPair();
  before(() => pair.open());
  after(() => pair.close());

  // Guards against an owner that seems to be gone because each question takes another silent connection.
  it('gets an answer soon after all of them went silent', async () => {
    const together = Array.from({ length: 8 }, () => pair.send());
    await until('the owner has all batches', () => pair.begun.length === together.length);
    together.forEach(({ batchId }) => pair.end(batchId, { type: 'done' }));
    await Promise.all(together.map(({ outcome }) => outcome));
    await sleep(SETTLE_MS);
    pair.silence();
    const silentAtMs = performance.now();
    pair.ask();
    await until('a status is answered', () => pair.answeredAtMs !== null, 2000);
    // An owner counts as gone after 600 ms without an answer.
    expect((pair.answeredAtMs ?? Infinity) - silentAtMs).toBeLessThan(600);
  });
});

describe('an owner that stood still for a second', () => {
  const pair = new PeerPair();
  before(async () => {
    await pair.open();
    pair.ask();
  });
  after(() => pair.close());

  // Guards against batches that are lost because the pause itself is taken for silence of the submitter.
  it('keeps the batches of a submitter that goes on asking', async () => {
    const batch = pair.send();
    await until('the owner has the batch', () => pair.begun.length === 1);
    await sleep(200);
    const untilMs = performance.now() + 1000;
    while (performance.now() < untilMs);
    await sleep(500);
    expect([...pair.withdrawals.keys()]).toEqual([]);
    pair.end(batch.batchId, { type: 'done' });
    expect(await isAnswered(batch.outcome)).toEqual({ type: 'done' });
  });
});

describe('an owner that is always late', () => {
  const pair = new PeerPair();
  before(() => pair.open());
  after(() => pair.close());

  // Guards against batches of a dead submitter that run on because each check follows a pause.
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

describe('what a question says of the batches that are awaited', () => {
  const pair = new PeerPair();
  before(() => pair.open());
  after(() => pair.close());

  let processes = 0;

  /** A process of the submitter that no test before has used. */
  function nextProcess() {
    processes += 1;
    return { ...SUBMITTER, incarnation: `process-${processes}` };
  }

  async function ask(from: typeof SUBMITTER, awaited?: AwaitedCalls): Promise<readonly string[]> {
    const status = await pair.post(PeerPath.status, { ...QUESTION, from, awaited });
    return (status as PeerStatus).batches;
  }

  /** Sends a batch without waiting for its end; true once the owner has begun it. */
  async function isBegun(from: typeof SUBMITTER, number?: number): Promise<string | null> {
    const call = callOf({ from, number });
    const { batchId } = call.batch;
    pair.post(PeerPath.batches, call).catch(() => {});
    await sleep(SETTLE_MS);
    return pair.begun.includes(batchId) ? batchId : null;
  }

  // Guards against the loss of a batch that has overtaken a question.
  it('leaves a batch that was sent after it', async () => {
    const from = nextProcess();
    const batchId = await isBegun(from, 4);
    expect(await ask(from, { upTo: 3, numbers: [] })).toEqual([batchId ?? '']);
  });

  // Guards against the loss of a batch that a question has overtaken.
  it('lets a batch begin that arrives after it and is named', async () => {
    const from = nextProcess();
    await ask(from, { upTo: 4, numbers: [4] });
    const batchId = await isBegun(from, 4);
    expect(await ask(from, { upTo: 4, numbers: [4] })).toEqual([batchId ?? '']);
  });

  // Guards against a start of a batch that was given up before it arrived.
  it('keeps a batch from beginning that arrives after it and is not named', async () => {
    const from = nextProcess();
    await ask(from, { upTo: 4, numbers: [3] });
    expect(await isBegun(from, 4)).toEqual(null);
    expect(await isBegun(from, 3)).not.toEqual(null);
    expect(pair.lines.some(({ decision }) => decision === 'batch-not-awaited')).toEqual(true);
  });

  // Guards against a late question that gives back what a newer one has ended.
  it('ends a batch for good, whatever an older question says', async () => {
    const from = nextProcess();
    await ask(from, { upTo: 5, numbers: [] });
    await ask(from, { upTo: 4, numbers: [4] });
    expect(await isBegun(from, 4)).toEqual(null);
  });

  it('concerns the batches of the same process only', async () => {
    const from = nextProcess();
    const batchId = await isBegun(from, 4);
    await ask(nextProcess(), { upTo: 9, numbers: [] });
    expect(await ask(from, { upTo: 4, numbers: [4] })).toEqual([batchId ?? '']);
  });

  // Guards against lost batches during an upgrade: the version before numbers nothing.
  it('is not known of hosts of an earlier version', async () => {
    const from = nextProcess();
    const batchId = await isBegun(from);
    expect(await ask(from)).toEqual([batchId ?? '']);
    expect(await ask(from, { upTo: 9, numbers: [] })).toEqual([batchId ?? '']);
  });

  // Guards against runs that go on for a process that has ended, when its connections stay open.
  it('does not make the earlier process of a restarted host count as heard', async () => {
    const earlier = nextProcess();
    const batchId = await isBegun(earlier, 1);
    const later = nextProcess();
    const asker = setInterval(() => ask(later, { upTo: 0, numbers: [] }), 150);
    await sleep(SILENCE_BOUND_MS);
    clearInterval(asker);
    expect(pair.withdrawals.get(batchId ?? '')?.reason).toEqual(BatchReason.unreachable);
    const silent = pair.lines.filter(
      ({ decision, fields }) =>
        decision === 'submitter-silent' && fields.incarnation === earlier.incarnation,
    );
    expect(silent.map(({ fields }) => fields.from)).toEqual([SUBMITTER.hostId]);
  });
});

describe('the batches that a submitter waits for', () => {
  const OWNER = '10.0.0.2:1';

  function begin(calls: BatchCalls, batchId: string): void {
    const number = calls.nextNumber();
    const place = { cell: 'bole', ownerIncarnation: '1' };
    const deeds = { abandon: () => {}, resend: () => {} };
    calls.set(OWNER, { batchId, ...place, number, sentAtMs: 0, ...deeds });
  }

  it('are named by their numbers, and only to the address that they were sent to', () => {
    const calls = new BatchCalls();
    ['x', 'y', 'z'].forEach((batchId) => begin(calls, batchId));
    calls.delete(OWNER, 'y');
    expect(calls.awaited(OWNER)).toEqual({ upTo: 3, numbers: [1, 3] });
    // The same process may be known at a second address, as a seed.
    expect(calls.awaited('10.0.0.3:1')).toEqual(null);
  });

  it('keep their owner asked at short intervals for a time after they were given up', () => {
    const calls = new BatchCalls();
    begin(calls, 'x');
    expect(calls.isRunningAt(OWNER, 1000)).toEqual(true);
    calls.giveUp(OWNER, 'x', 1000);
    expect(calls.awaited(OWNER)).toEqual({ upTo: 1, numbers: [] });
    expect(calls.isRunningAt(OWNER, 1700)).toEqual(true);
    expect(calls.isRunningAt(OWNER, 2000)).toEqual(false);
  });
});
