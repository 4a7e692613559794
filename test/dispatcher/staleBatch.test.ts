/** Batches and questions that reach a host long after they were sent. */
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { request } from 'undici';
import type { BatchOutcome, TaskBatch } from '../../src/cells/messages';
import { PeerClient } from '../../src/dispatcher/peerClient';
import { PeerPath, type BatchCall, type BatchReply } from '../../src/dispatcher/peerMessages';
import { PeerServer } from '../../src/dispatcher/peerServer';
import type { LogFields } from '../../src/observe/observer';
import { PortBlock } from '../../src/standins/portBlock';
import { batchOf } from '../cells/cellSimulation';
import { until } from '../platform/deployment';
import { Direction, FaultProxy } from '../soak/faultProxy';
import { FakeMachineClock } from './machineClock';
import { QUESTION, STATUS, SUBMITTER } from './peerFixtures';

const BOTH = [Direction.forward, Direction.backward];
const SUSPENDED_MS = 3000;

function elapsedMs(): number {
  return performance.now();
}

function callOf(payload = 'x'): BatchCall {
  const batch = batchOf({ payload });
  return { from: SUBMITTER, cell: 'bole', batch, ownerIncarnation: '1', isRetry: false };
}

/** An owner behind a network that can hold bytes back, and a submitter. Their clocks differ. */
class Pair {
  readonly ownerClock = new FakeMachineClock(4_000_000, 900_000, elapsedMs);

  readonly submitterClock = new FakeMachineClock(0, 600_000, elapsedMs);

  /** Ids of the batches that the owner has started. */
  readonly started: string[] = [];

  /** The same, as the cell gets them. */
  readonly orders: TaskBatch[] = [];

  readonly withdrawn: string[] = [];

  readonly refusals: LogFields[] = [];

  /** Batches that the submitter has sent again. */
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
        this.orders.push(batch);
        const stays = batch.payload === 'stays';
        return stays ? new Promise(() => {}) : Promise.resolve({ type: 'done' });
      },
      withdraw: (_, batchId) => this.withdrawn.push(batchId),
      summary: () => null,
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

  /** The connections that exist now go silent without a reset; new ones work. */
  silence(): void {
    this.#proxy?.silence();
  }

  async ask(): Promise<void> {
    await this.submitter.status(this.#address, QUESTION);
  }

  run(call: BatchCall, abort = new AbortController()): Promise<BatchOutcome> {
    return this.submitter.run(this.#address, call, abort).then(({ outcome }) => outcome);
  }

  /** Sends a body past the network, as it stands. */
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

/** The same, when the submitter knows the owner's clocks. */
function withAcquainted(check: (pair: Pair) => Promise<void>): Promise<void> {
  return withPair(async (pair) => {
    await pair.ask();
    await check(pair);
  });
}

describe('a batch that reaches its owner late', () => {
  // Guards against tasks that start seconds after their job was answered, beside its resubmission.
  it('is not started if the network held it until its submitter had given it up', () =>
    withAcquainted(async (pair) => {
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

  // Guards against a start by an owner that was suspended: its steady clock does not count the time.
  it('is not started if it lay in the buffer of a suspended machine', () =>
    withAcquainted(async (pair) => {
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

  // Guards against a refusal that its submitter takes for a run, or can't recover from.
  it('is refused as not run, and starts when it is sent again', () =>
    withAcquainted(async (pair) => {
      pair.cut();
      const outcome = pair.run(callOf());
      await sleep(500);
      pair.heal();
      expect(await outcome).toEqual({ type: 'refused', reason: 'expired', retryAfterMs: 0 });
      expect(pair.started).toEqual([]);
      expect(await pair.run(callOf())).toEqual({ type: 'done' });
    }));

  // Guards against refusals without end: the refusal tells the clock that the next call needs.
  it('is taken at the second call after a step of the time of day', () =>
    withAcquainted(async (pair) => {
      pair.ownerClock.stepTimeOfDay(SUSPENDED_MS);
      expect((await pair.run(callOf())).type).toEqual('refused');
      expect(await pair.run(callOf())).toEqual({ type: 'done' });
    }));

  // Guards against the same after a suspension, which the submitter's steady clock does not count.
  it('is taken at the second call after its submitter was suspended', () =>
    withAcquainted(async (pair) => {
      pair.submitterClock.suspend(SUSPENDED_MS);
      pair.ownerClock.advance(SUSPENDED_MS);
      expect((await pair.run(callOf())).type).toEqual('refused');
      expect(await pair.run(callOf())).toEqual({ type: 'done' });
    }));

  // Guards against checks that hold up batches in a sound network.
  it('is started if it is 200 ms late', () =>
    withAcquainted(async (pair) => {
      pair.cut();
      const outcome = pair.run(callOf());
      await sleep(200);
      pair.heal();
      expect(await outcome).toEqual({ type: 'done' });
    }));

  // Guards against the loss of a batch that runs: a call that joins it may be old.
  it('joins a batch that its owner runs', () =>
    withAcquainted(async (pair) => {
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

  // Guards against a second run of a batch whose end was lost on the way.
  it('gets the end of a batch that its owner has run', () =>
    withAcquainted(async (pair) => {
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
  // Guards against a rolling upgrade in which hosts of the version before get no work done.
  it('run batches that do not tell when they were sent', () =>
    withPair(async (pair) => {
      expect((await pair.post(callOf())).outcome).toEqual({ type: 'done' });
    }));

  // Guards against the same for hosts that do not tell either for which process a batch is meant.
  it('run batches that do not tell for which process they are', () =>
    withPair(async (pair) => {
      const { ownerIncarnation, ...call } = callOf();
      expect((await pair.post(call)).outcome).toEqual({ type: 'done' });
    }));

  // Guards against a submitter that does not send before it knows the owner's clock.
  it('send batches to an owner that has not told its clock', () =>
    withPair(async (pair) => {
      expect(await pair.run(callOf())).toEqual({ type: 'done' });
    }));
});

describe('a batch that is meant for another process', () => {
  // Guards against a start by a process that its submitter has not chosen and does not watch.
  it('is refused as not run', () =>
    withPair(async (pair) => {
      const { outcome } = await pair.post({ ...callOf(), ownerIncarnation: '0' });
      expect(outcome).toEqual({ type: 'refused', reason: 'not-owner', retryAfterMs: 0 });
      expect(pair.started).toEqual([]);
    }));
});

describe('a status question that reaches a host late', () => {
  // Guards against runs of a submitter that is gone, kept for 700 ms more by a question held back.
  it('does not keep the batches of a submitter that has fallen silent', () =>
    withAcquainted(async (pair) => {
      const call = callOf('stays');
      // Ends with the server.
      pair.post(call).catch(() => null);
      await until('the batch runs', () => pair.started.length === 1);
      pair.cut();
      const question = pair.ask();
      await sleep(550);
      pair.heal();
      await question;
      await sleep(450);
      expect(pair.withdrawn).toEqual([call.batch.batchId]);
    }));
});

describe('the times of a batch, which count from its sending', () => {
  const HELD_MS = 200;

  /** Deadline and wait of a batch of 2000 and 0 ms, as they reach the cell. */
  function timesOf({ orders }: Pair): readonly (readonly [number, number])[] {
    return orders.map(({ deadlineInMs, waitedMs }) => [deadlineInMs, waitedMs]);
  }

  // Guards against tasks that run beyond the end of the caller's wait.
  it('are brought up to date by the time that the network held it', () =>
    withAcquainted(async (pair) => {
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

  // Guards against a batch that is sent again with the times of its first sending.
  it('are brought up to date when it is sent again', () =>
    withAcquainted(async (pair) => {
      // The connection is kept, and taken for the batch, once its answer has been read to the end.
      await sleep(20);
      pair.silence();
      const outcome = pair.run(callOf());
      await sleep(HELD_MS);
      await pair.ask();
      expect((await outcome).type).toEqual('done');
      expect(pair.resends).toEqual(1);
      const [[deadlineInMs, waitedMs] = [0, 0]] = timesOf(pair);
      expect(deadlineInMs).toBeLessThanOrEqual(2000 - HELD_MS);
      expect(waitedMs).toBeGreaterThanOrEqual(HELD_MS);
    }));

  // Guards against times that are changed by an age that is not known.
  it('stay as they are if it does not tell when it was sent', () =>
    withPair(async (pair) => {
      await pair.post(callOf());
      expect(timesOf(pair)).toEqual([[2000, 0]]);
    }));

  // Guards against a deadline that moves out because a submitter is wrong about the owner's clocks.
  it('stay as they are if it seems to come from the future', () =>
    withPair(async (pair) => {
      const steadyMs = pair.ownerClock.nowMs() + 60_000;
      const dayMs = pair.ownerClock.timeOfDayMs() + 60_000;
      await pair.post({ ...callOf(), sentAt: { incarnation: '1', steadyMs, dayMs } });
      expect(timesOf(pair)).toEqual([[2000, 0]]);
    }));
});
