/** Batch calls over connections that are lost without a reset. */
import { after, before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Err } from 'ts-results';
import { expect } from 'earl';
import type { BatchOutcome } from '../../src/cells/messages';
import { BatchCalls } from '../../src/dispatcher/peers/batchCalls';
import { PeerClient } from '../../src/dispatcher/peers/peerClient';
import type { BatchCall } from '../../src/dispatcher/peers/peerMessages';
import { PeerServer } from '../../src/dispatcher/peers/peerServer';
import { PortBlock } from '../../src/standins/portBlock';
import { batchOf } from '../cells/cellSimulation';
import { until } from '../platform/deployment';
import { FaultProxy } from '../soak/faultProxy';
import { STATUS_REQUEST, STATUS, SUBMITTER } from './peerFixtures';

const CLOCK = { nowMs: () => performance.now(), timeOfDayMs: () => Date.now() };

describe('the batches in progress at an owner', () => {
  it('are missing only if the owner was polled well after they were sent', () => {
    const calls = new BatchCalls();
    const call = {
      batchId: 'x',
      cell: 'bole',
      ownerIncarnation: '1',
      number: 1,
      sentAtMs: 1000,
      abandon: () => {},
      resend: () => {},
    };
    calls.set('10.0.0.2:1', call);
    expect(calls.missing('10.0.0.2:1', [], 1050)).toEqual([]);
    expect(calls.missing('10.0.0.2:1', ['x'], 1200)).toEqual([]);
    expect(calls.missing('10.0.0.2:1', [], 1200)).toEqual([call]);
    expect(calls.missing('10.0.0.3:1', [], 1200)).toEqual([]);
  });
});

describe('a batch whose connection is lost without a reset', () => {
  const batches: string[] = [];
  let end: (outcome: BatchOutcome) => void = () => {};
  const withdrawn: string[] = [];
  let incarnation = '1';
  const server = new PeerServer(
    {
      get incarnation() {
        return incarnation;
      },
      status: () => STATUS,
      run: ({ batch }) => {
        batches.push(batch.batchId);
        return new Promise((resolve) => {
          end = resolve;
        });
      },
      withdraw: (_, batchId) => withdrawn.push(batchId),
      summary: () => null,
      runsOf: () => ({ mayRun: false }),
      roomIn: () => null,
      preview: async () => Err('not part of this test'),
      configuration: () => null,
    },
    CLOCK,
    { logDecision: () => {} },
  );
  let block: PortBlock | null = null;
  let proxy: FaultProxy | null = null;
  let address = '';
  const client = new PeerClient(CLOCK, { logDecision: () => {} });

  before(async () => {
    block = await PortBlock.reserve(2);
    const port = block.ports[1] ?? 0;
    await server.listen('127.0.0.1', port);
    proxy = new FaultProxy(`127.0.0.1:${port}`);
    address = await proxy.open();
  });

  after(async () => {
    await client.close();
    proxy?.close();
    server.close();
    await block?.release();
  });

  function send(): Promise<BatchOutcome> {
    const batch = batchOf();
    const owner = { ownerIncarnation: '1', isRetry: false };
    const call: BatchCall = { from: SUBMITTER, cell: 'bole', batch, ...owner };
    return client.run(address, call, new AbortController()).then(({ outcome }) => outcome);
  }

  /** Polls the status as a host does, for the given time. */
  async function pollFor(durationMs: number): Promise<void> {
    if (durationMs <= 0) return;
    await client.status(address, STATUS_REQUEST);
    await sleep(50);
    await pollFor(durationMs - 50);
  }

  /**
   * Leaves an idle connection for the next call. Polls again if the response was slow enough for
   * the pool to be replaced, and sleeps because a call in the same event loop turn as a response
   * opens another.
   */
  async function keepConnection(): Promise<void> {
    const askedAtMs = CLOCK.nowMs();
    await client.status(address, STATUS_REQUEST);
    const isRenewed = CLOCK.nowMs() - askedAtMs > 100;
    await sleep(20);
    if (isRenewed) await keepConnection();
  }

  it('gets its outcome although the reply was lost, and runs once', async () => {
    batches.length = 0;
    const outcome = send();
    await until('the owner has the batch', () => batches.length === 1);
    proxy?.silence();
    end({ type: 'done' });
    await pollFor(600);
    expect(await Promise.race([outcome, sleep(1000)])).toEqual({ type: 'done' });
    expect(batches.length).toEqual(1);
  });

  it('keeps running at the owner when it is resent', async () => {
    batches.length = 0;
    const outcome = send();
    await until('the owner has the batch', () => batches.length === 1);
    await pollFor(200);
    proxy?.silence();
    await pollFor(300);
    end({ type: 'done' });
    await pollFor(600);
    expect(await Promise.race([outcome, sleep(1000)])).toEqual({ type: 'done' });
    expect(batches.length).toEqual(1);
    expect(withdrawn).toEqual([]);
  });

  it('is lost, and does not run again, if its owner has been replaced by another process', async () => {
    batches.length = 0;
    const outcome = send();
    await until('the owner has the batch', () => batches.length === 1);
    proxy?.silence();
    end({ type: 'done' });
    incarnation = '2';
    await pollFor(600);
    const ended = await Promise.race([outcome, sleep(1000)]);
    incarnation = '1';
    expect(ended && ended.type === 'lost' && ended.started).toEqual(null);
    expect(batches.length).toEqual(1);
  });

  it('reaches the owner although the call was lost', async () => {
    batches.length = 0;
    await keepConnection();
    proxy?.silence();
    const outcome = send();
    await sleep(50);
    expect(batches.length).toEqual(0);
    await pollFor(600);
    expect(batches.length).toEqual(1);
    end({ type: 'done' });
    expect(await Promise.race([outcome, sleep(1000)])).toEqual({ type: 'done' });
  });
});
