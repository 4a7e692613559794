/** Batches and status requests that reach a host long after they were sent. */
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Err } from 'ts-results';
import { expect } from 'earl';
import { request } from 'undici';
import type { BatchOutcome, TaskBatch } from '../../src/cells/messages';
import { PeerClient } from '../../src/dispatcher/peers/peerClient';
import { PeerPath, type BatchCall, type BatchReply } from '../../src/dispatcher/peers/peerMessages';
import { PeerServer } from '../../src/dispatcher/peers/peerServer';
import type { LogFields } from '../../src/observe/observer';
import { PortBlock } from '../../src/standins/portBlock';
import { batchOf } from '../cells/cellSimulation';
import { until } from '../platform/deployment';
import { Direction, FaultProxy } from '../soak/faultProxy';
import { FakeMachineClock } from './machineClock';
import { STATUS_REQUEST, STATUS, SUBMITTER } from './peerFixtures';

const BOTH = [Direction.forward, Direction.backward];
const SUSPENDED_MS = 3000;

function elapsedMs(): number {
  return performance.now();
}

function callOf(payload = 'x'): BatchCall {
  const batch = batchOf({ payload });
  return { from: SUBMITTER, cell: 'bole', batch, ownerIncarnation: '1', isRetry: false };
}

/** An owner and a submitter whose clocks differ, with a proxy between them that can delay data. */
class Pair {
  readonly ownerClock = new FakeMachineClock(4_000_000, 900_000, elapsedMs);

  readonly submitterClock = new FakeMachineClock(0, 600_000, elapsedMs);

  /** Ids of the batches that the owner has started. */
  readonly started: string[] = [];

  /** The same batches, as passed to the cell. */
  readonly batches: TaskBatch[] = [];

  readonly withdrawn: string[] = [];

  readonly refusals: LogFields[] = [];

  /** Number of batches that the submitter has resent. */
  resends = 0;

  readonly submitter = new PeerClient(this.submitterClock, {
    logDecision: (decision) => {
      if (decision === 'batch-sent-again') this.resends += 1;
    },
  });

  readonly #server = new PeerServer(
    {
      incarnation: '1',
      status: () => STATUS,
      run: ({ batch }) => {
        this.started.push(batch.batchId);
        this.batches.push(batch);
        const runsOn = batch.payload === 'stays';
        return runsOn ? new Promise(() => {}) : Promise.resolve({ type: 'done' });
      },
      withdraw: (_, batchId) => this.withdrawn.push(batchId),
      summary: () => null,
      runsOf: () => ({ mayRun: false }),
      roomIn: () => null,
      preview: async () => Err('not part of this test'),
      configuration: () => null,
    },
    this.ownerClock,
    {
      logDecision: (decision, fields) => {
        if (decision === 'batch-refused') this.refusals.push(fields);
      },
    },
  );

  #block: PortBlock | null = null;

  #proxy: FaultProxy | null = null;

  #address = '';

  #directAddress = '';

  async open(): Promise<void> {
    this.#block = await PortBlock.reserve(1);
    const port = this.#block.ports[0] ?? 0;
    await this.#server.listen('127.0.0.1', port);
    this.#directAddress = `127.0.0.1:${port}`;
    this.#proxy = new FaultProxy(this.#directAddress);
    this.#address = await this.#proxy.open();
  }

  async close(): Promise<void> {
    await this.submitter.close();
    this.#proxy?.close();
    this.#server.close();
    await this.#block?.release();
  }

  cut(): void {
    this.#proxy?.cut(BOTH);
  }

  heal(): void {
    this.#proxy?.heal();
  }

  /** Makes the existing connections drop all data without a reset; new ones work. */
  silence(): void {
    this.#proxy?.silence();
  }

  async poll(): Promise<void> {
    await this.submitter.status(this.#address, STATUS_REQUEST);
  }

  run(call: BatchCall, abort = new AbortController()): Promise<BatchOutcome> {
    return this.submitter.run(this.#address, call, abort).then(({ outcome }) => outcome);
  }

  /** Posts a body to the owner, bypassing the proxy. */
  async post(call: BatchCall): Promise<BatchReply> {
    const response = await request(`http://${this.#directAddress}${PeerPath.batches}`, {
      method: 'POST',
      body: JSON.stringify(call),
    });
    return (await response.body.json()) as BatchReply;
  }
}

async function withPair(check: (pair: Pair) => Promise<void>): Promise<void> {
  const pair = new Pair();
  await pair.open();
  try {
    await check(pair);
  } finally {
    await pair.close();
  }
}

/** The same, after the submitter has learned the owner's clocks. */
function withKnownClocks(check: (pair: Pair) => Promise<void>): Promise<void> {
  return withPair(async (pair) => {
    await pair.poll();
    await check(pair);
  });
}

describe('a batch that reaches its owner late', () => {
  // Guards against tasks that start seconds after their job was answered and resubmitted.
  it('is not started if it was delayed until its submitter had abandoned it', () =>
    withKnownClocks(async (pair) => {
      pair.cut();
      const call = callOf();
      const abort = new AbortController();
      const outcome = pair.run(call, abort);
      await sleep(600);
      abort.abort();
      expect((await outcome).type).toEqual('lost');
      pair.heal();
      await sleep(300);
      expect(pair.started).toEqual([]);
      const { batchId, jobId } = call.batch;
      expect(pair.refusals.map(({ ageMs, ...fields }) => [fields, Number(ageMs) >= 590])).toEqual([
        [{ batchId, jobId, reason: 'expired', limitMs: 400 }, true],
      ]);
    }));

  // Guards against a start by an owner that was suspended, during which its steady clock stops.
  it('is not started if it was buffered while the machine was suspended', () =>
    withKnownClocks(async (pair) => {
      pair.cut();
      const abort = new AbortController();
      const outcome = pair.run(callOf(), abort);
      await sleep(100);
      abort.abort();
      await outcome;
      pair.ownerClock.suspend(SUSPENDED_MS);
      pair.submitterClock.advance(SUSPENDED_MS);
      pair.heal();
      await sleep(300);
      expect(pair.started).toEqual([]);
    }));

  // Guards against a refusal that the submitter takes for a run, or cannot recover from.
  it('is refused as not run, and starts when it is resent', () =>
    withKnownClocks(async (pair) => {
      pair.cut();
      const outcome = pair.run(callOf());
      await sleep(500);
      pair.heal();
      expect(await outcome).toEqual({ type: 'refused', reason: 'expired', retryAfterMs: 0 });
      expect(pair.started).toEqual([]);
      expect(await pair.run(callOf())).toEqual({ type: 'done' });
    }));

  // Guards against endless refusals; the refusal carries the clock readings that the resend needs.
  it('is accepted at the second call after a step of the time of day', () =>
    withKnownClocks(async (pair) => {
      pair.ownerClock.stepTimeOfDay(SUSPENDED_MS);
      expect((await pair.run(callOf())).type).toEqual('refused');
      expect(await pair.run(callOf())).toEqual({ type: 'done' });
    }));

  // Guards against endless refusals after a suspension, during which the steady clock stops.
  it('is accepted at the second call after its submitter was suspended', () =>
    withKnownClocks(async (pair) => {
      pair.submitterClock.suspend(SUSPENDED_MS);
      pair.ownerClock.advance(SUSPENDED_MS);
      expect((await pair.run(callOf())).type).toEqual('refused');
      expect(await pair.run(callOf())).toEqual({ type: 'done' });
    }));

  // Guards against an age limit that refuses batches in a healthy network.
  it('is started if it is 200 ms late', () =>
    withKnownClocks(async (pair) => {
      pair.cut();
      const outcome = pair.run(callOf());
      await sleep(200);
      pair.heal();
      expect(await outcome).toEqual({ type: 'done' });
    }));

  // Guards against the loss of a running batch because a call that joins it is old.
  it('joins the same batch if its owner runs it', () =>
    withKnownClocks(async (pair) => {
      const call = callOf('stays');
      const abort = new AbortController();
      const first = pair.run(call, abort);
      await until('the batch runs', () => pair.started.length === 1);
      pair.cut();
      const again = pair.run(call, abort);
      await sleep(500);
      pair.heal();
      await sleep(150);
      expect([pair.started.length, pair.refusals]).toEqual([1, []]);
      abort.abort();
      await Promise.all([first, again]);
    }));

  // Guards against a second run of a batch whose reply was lost.
  it('gets the stored outcome if its owner has already run it', () =>
    withKnownClocks(async (pair) => {
      const call = callOf();
      expect(await pair.run(call)).toEqual({ type: 'done' });
      pair.cut();
      const again = pair.run(call);
      await sleep(500);
      pair.heal();
      expect(await again).toEqual({ type: 'done' });
      expect(pair.started.length).toEqual(1);
    }));
});

describe('hosts of two versions', () => {
  // Guards against a rolling upgrade in which batches of the previous version are refused.
  it('run batches without a send time', () =>
    withPair(async (pair) => {
      expect((await pair.post(callOf())).outcome).toEqual({ type: 'done' });
    }));

  // Guards against the same for hosts that do not send the incarnation of the owner either.
  it('run batches that are not addressed to a process', () =>
    withPair(async (pair) => {
      const { ownerIncarnation, ...call } = callOf();
      expect((await pair.post(call)).outcome).toEqual({ type: 'done' });
    }));

  // Guards against a submitter that does not send before it knows the owner's clocks.
  it('send batches to an owner whose clocks are unknown', () =>
    withPair(async (pair) => {
      expect(await pair.run(callOf())).toEqual({ type: 'done' });
    }));
});

describe('a batch that is addressed to another process', () => {
  // Guards against a start by a process that the submitter did not choose and does not monitor.
  it('is refused as not run', () =>
    withPair(async (pair) => {
      const { outcome } = await pair.post({ ...callOf(), ownerIncarnation: '0' });
      expect(outcome).toEqual({ type: 'refused', reason: 'not-owner', retryAfterMs: 0 });
      expect(pair.started).toEqual([]);
    }));
});

describe('a status request that reaches a host late', () => {
  // Guards against a delayed request that keeps the runs of a dead submitter for 700 ms more.
  it('does not keep the batches of a submitter that is no longer heard from', () =>
    withKnownClocks(async (pair) => {
      const call = callOf('stays');
      // This call ends when the server is closed.
      pair.post(call).catch(() => null);
      await until('the batch runs', () => pair.started.length === 1);
      pair.cut();
      const poll = pair.poll();
      await sleep(550);
      pair.heal();
      await poll;
      await sleep(450);
      expect(pair.withdrawn).toEqual([call.batch.batchId]);
    }));
});

describe('the times of a batch, which are relative to its send time', () => {
  const HELD_MS = 200;

  /** Deadline and wait of each batch as passed to the cell; they were sent as 2000 and 0 ms. */
  function timesOf({ batches }: Pair): readonly (readonly [number, number])[] {
    return batches.map(({ deadlineInMs, waitedMs }) => [deadlineInMs, waitedMs]);
  }

  // Guards against tasks that run past the end of the caller's wait.
  it('are adjusted by the time that the network delayed it', () =>
    withKnownClocks(async (pair) => {
      pair.cut();
      const outcome = pair.run(callOf());
      await sleep(HELD_MS);
      pair.heal();
      expect((await outcome).type).toEqual('done');
      const [[deadlineInMs, waitedMs] = [0, 0]] = timesOf(pair);
      expect(deadlineInMs).toBeLessThanOrEqual(2000 - HELD_MS + 5);
      expect(deadlineInMs).toBeGreaterThan(2000 - 400);
      expect(waitedMs).toBeGreaterThanOrEqual(HELD_MS - 5);
    }));

  // Guards against a batch that is resent with the times of its first send.
  it('are adjusted when it is resent', () =>
    withKnownClocks(async (pair) => {
      // The connection is reused for the batch only once the response has been read completely.
      await sleep(20);
      pair.silence();
      const outcome = pair.run(callOf());
      await sleep(HELD_MS);
      await pair.poll();
      expect((await outcome).type).toEqual('done');
      expect(pair.resends).toEqual(1);
      const [[deadlineInMs, waitedMs] = [0, 0]] = timesOf(pair);
      expect(deadlineInMs).toBeLessThanOrEqual(2000 - HELD_MS);
      expect(waitedMs).toBeGreaterThanOrEqual(HELD_MS);
    }));

  // Guards against times that are adjusted by an unknown age.
  it('are unchanged if it has no send time', () =>
    withPair(async (pair) => {
      await pair.post(callOf());
      expect(timesOf(pair)).toEqual([[2000, 0]]);
    }));

  // Guards against a deadline extended because the submitter's estimate of the clocks is wrong.
  it('are unchanged if its send time is in the future', () =>
    withPair(async (pair) => {
      const steadyMs = pair.ownerClock.nowMs() + 60_000;
      const dayMs = pair.ownerClock.timeOfDayMs() + 60_000;
      await pair.post({ ...callOf(), sentAt: { incarnation: '1', steadyMs, dayMs } });
      expect(timesOf(pair)).toEqual([[2000, 0]]);
    }));
});
