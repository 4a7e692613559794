/**
 * Guards against wrong results of starts. Reporting `notStarted` for a start that may have taken
 * effect leads to a double start; a start that never resolves leaks its connection and its job.
 */
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { errors } from 'undici';
import type { Dispatcher } from 'undici';
import type { WorkerRef } from '../../src/core/messages';
import { WorkerServer } from '../../src/standins/workerServer';
import { HttpWorkers } from '../../src/workers/httpWorkers';
import { StartCall } from '../../src/workers/startCall';
import type { TaskStart } from '../../src/workers/workers';

let server: WorkerServer;
let workers: HttpWorkers;

function task(attemptId: string, runMs = 0, changes: Partial<TaskStart> = {}): TaskStart {
  return {
    attemptId,
    submission: 's',
    task: attemptId,
    team: 'team',
    kind: 'unlock',
    payload: { runMs },
    resources: { cores: 1, memoryMb: 1, accelerators: 0 },
    leaseMs: 60_000,
    ...changes,
  };
}

/** Resolves once the worker model has started `count` tasks. */
async function waitForStarts(count: number): Promise<void> {
  if (server.model.record.length >= count) return;
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  await waitForStarts(count);
}

async function startRawServer(onData: (socket: Socket) => void): Promise<{
  readonly server: Server;
  readonly ref: WorkerRef;
}> {
  const raw = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => onData(socket));
  });
  raw.listen(0, '127.0.0.1');
  await once(raw, 'listening');
  const address = `127.0.0.1:${(raw.address() as AddressInfo).port}`;
  return { server: raw, ref: { id: 'raw', address, incarnation: 'raw-1' } };
}

describe('HttpWorkers', () => {
  beforeEach(async () => {
    server = new WorkerServer({ slots: 4 });
    await server.open();
    workers = new HttpWorkers(8, { controlTimeoutMs: 20_000 });
  });

  afterEach(async () => {
    await workers.close();
    await server.close();
  });

  it('returns the result of a task', async () => {
    const result = await workers.start(server.ref, task('a', 5));
    expect(result).toLooseEqual({
      state: 'succeeded',
      result: { runMs: 5 },
      runTimeMs: expect.a(Number),
    });
    expect(workers.openStarts).toEqual(0);
  });

  it('returns the failure of a task', async () => {
    server.model.faults.failAll = true;
    expect((await workers.start(server.ref, task('a'))).state).toEqual('failed');
  });

  it('reports each refusal of the worker as notStarted', async () => {
    const old = { ...server.ref, incarnation: 'another' };
    expect(await workers.start(old, task('a'))).toEqual({
      state: 'notStarted',
      reason: 'incarnation',
    });
    server.model.faults.refuseAll = true;
    expect(await workers.start(server.ref, task('a'))).toEqual({
      state: 'notStarted',
      reason: 'full',
    });
    server.model.faults.leaving = true;
    expect(await workers.start(server.ref, task('a'))).toEqual({
      state: 'notStarted',
      reason: 'leaving',
    });
    expect(server.model.record).toEqual([]);
  });

  it('reports a refused connection as notStarted', async () => {
    const { ref } = server;
    await server.close();
    expect(await workers.start(ref, task('a'))).toEqual({
      state: 'notStarted',
      reason: 'unreachable',
    });
    expect(await workers.status(ref.address)).toEqual(null);
  });

  it('reports a connect timeout as notStarted, but as unclear once the request was sent', async () => {
    const controller = { abort: () => undefined } as unknown as Dispatcher.DispatchController;
    const unsent = new StartCall(1000);
    unsent.onResponseError(controller, new errors.ConnectTimeoutError());
    expect((await unsent.result).state).toEqual('notStarted');
    const sent = new StartCall(1000);
    sent.onRequestStart(controller);
    sent.onResponseError(controller, new errors.ConnectTimeoutError());
    expect((await sent.result).state).toEqual('unclear');
  });

  it('reports a connection reset after the request was sent as unclear', async () => {
    const raw = await startRawServer((socket) => socket.resetAndDestroy());
    expect((await workers.start(raw.ref, task('a'))).state).toEqual('unclear');
    raw.server.close();
  });

  it('reports responses that violate the contract as unclear', async () => {
    const answers = [
      'HTTP/1.1 500 Error\r\ncontent-length: 2\r\n\r\n{}',
      'HTTP/1.1 409 Conflict\r\ncontent-length: 2\r\n\r\n{}',
      'HTTP/1.1 409 Conflict\r\ncontent-length: 37\r\n\r\n{"state":"refused","reason":"unheard"}',
      'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnull',
      'HTTP/1.1 200 OK\r\ncontent-length: 24\r\n\r\n{"state":"neverStarted"}',
      'HTTP/1.1 200 OK\r\ncontent-length: 19\r\n\r\n{"state":"running"}',
      'not http at all\r\n\r\n',
    ];
    const states = answers.map(async (answer) => {
      const raw = await startRawServer((socket) => socket.end(answer));
      const result = await workers.start(raw.ref, task('a'));
      raw.server.close();
      return result.state;
    });
    expect(await Promise.all(states)).toEqual(answers.map(() => 'unclear'));
  });

  it('gets the result after a lost response, without a second start', async () => {
    server.faults.loseAnswers = true;
    expect((await workers.start(server.ref, task('a', 1))).state).toEqual('unclear');
    server.faults.loseAnswers = false;
    expect((await workers.revoke(server.ref, 'a')).state).toEqual('succeeded');
    expect((await workers.start(server.ref, task('a', 1))).state).toEqual('succeeded');
    expect(server.model.record.length).toEqual(1);
  });

  it('revokes an attempt whose start did not reach the worker, so that it cannot start later', async () => {
    server.faults.cut = true;
    const result = await workers.start(server.ref, task('a'));
    server.faults.cut = false;
    expect(['unclear', 'notStarted']).toInclude(result.state);
    expect(server.model.record).toEqual([]);
    expect(await workers.revoke(server.ref, 'a')).toEqual({
      state: 'notStarted',
      reason: 'revoked',
    });
    expect(await workers.start(server.ref, task('a'))).toEqual({
      state: 'notStarted',
      reason: 'revoked',
    });
  });

  it('waits for a running attempt to end', async () => {
    const result = workers.start(server.ref, task('a', 50));
    await waitForStarts(1);
    expect(await workers.inquire(server.ref, 'a', 1)).toEqual({ state: 'running' });
    expect((await workers.inquire(server.ref, 'a', 1000)).state).toEqual('succeeded');
    expect((await result).state).toEqual('succeeded');
    expect((await workers.inquire(server.ref, 'unheard', 0)).state).toEqual('unclear');
  });

  it('settles an unanswered start with the final state that an inquiry returns', async () => {
    server.faults.delayAnswersMs = 600_000;
    const result = workers.start(server.ref, task('a', 0));
    await waitForStarts(1);
    server.faults.delayAnswersMs = 0;
    expect((await workers.inquire(server.ref, 'a', 1000)).state).toEqual('succeeded');
    expect((await result).state).toEqual('succeeded');
    expect(workers.openStarts).toEqual(0);
  });

  it('reports a start on a frozen worker as unclear after its lease', async () => {
    await workers.close();
    workers = new HttpWorkers(8, { controlTimeoutMs: 100 });
    const result = workers.start(server.ref, task('a', 600_000, { leaseMs: 20 }));
    await waitForStarts(1);
    server.model.freeze();
    expect(await workers.stop(server.ref, 'a')).toEqual(false);
    expect(await workers.status(server.address)).toEqual(null);
    expect((await workers.revoke(server.ref, 'a')).state).toEqual('unclear');
    expect((await result).state).toEqual('unclear');
    expect(workers.openStarts).toEqual(0);
  });

  it('reports starts on a crashed worker as unclear, also after its restart', async () => {
    const { ref } = server;
    const result = workers.start(ref, task('a', 600_000));
    await waitForStarts(1);
    await server.die();
    expect((await result).state).toEqual('unclear');
    expect((await workers.revoke(ref, 'a')).state).toEqual('unclear');
    await server.open();
    expect((await workers.revoke(ref, 'a')).state).toEqual('unclear');
    expect(await workers.start(ref, task('b'))).toEqual({
      state: 'notStarted',
      reason: 'incarnation',
    });
    expect((await workers.start(server.ref, task('c'))).state).toEqual('succeeded');
  });

  it('reports a task as stopped when its lease expires', async () => {
    const result = await workers.start(server.ref, task('a', 600_000, { leaseMs: 30 }));
    expect(result.state).toEqual('stopped');
    expect(server.model.record[0]?.end).toEqual('lapsed');
  });

  it('renews leases while all connections for starts are in use', async () => {
    workers.setConnectionLimit(2);
    const result = workers.start(server.ref, task('a', 600_000, { leaseMs: 20_000 }));
    await waitForStarts(1);
    expect(await workers.renew(server.ref, ['a'], 60_000)).toEqual(true);
    expect(await workers.checkpoint(server.ref, 'a')).toEqual(true);
    expect(await workers.throttle(server.ref, 'a', 0.5)).toEqual(true);
    expect(await workers.stop(server.ref, 'a')).toEqual(true);
    expect((await result).state).toEqual('stopped');
    const [record] = server.model.record;
    expect([record?.end, record?.checkpoints]).toEqual(['stopped', 1]);
  });

  it('cancels a start that is waiting for a connection without sending it', async () => {
    workers.setConnectionLimit(1);
    const first = workers.start(server.ref, task('a', 600_000));
    await waitForStarts(1);
    const second = workers.start(server.ref, task('b'));
    const third = workers.start(server.ref, task('c'));
    expect((await workers.revoke(server.ref, 'b')).state).toEqual('notStarted');
    expect(await workers.stop(server.ref, 'c')).toEqual(true);
    expect([(await second).state, (await third).state]).toEqual(['notStarted', 'notStarted']);
    await workers.stop(server.ref, 'a');
    await first;
    expect((await workers.start(server.ref, task('d'))).state).toEqual('succeeded');
    expect(server.model.record.map((entry) => entry.attemptId)).toEqual(['a', 'd']);
  });

  it('does not interrupt open starts when the connection limit changes', async () => {
    const result = workers.start(server.ref, task('a', 30));
    await waitForStarts(1);
    workers.setConnectionLimit(3);
    expect((await workers.start(server.ref, task('b'))).state).toEqual('succeeded');
    expect((await result).state).toEqual('succeeded');
  });

  it('reads the status and rejects a malformed one', async () => {
    const status = await workers.status(server.address);
    expect([status?.incarnation, status?.slots, status?.running]).toEqual(['worker-1-1', 4, 0]);
    const raw = await startRawServer((socket) =>
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'),
    );
    expect(await workers.status(raw.ref.address)).toEqual(null);
    raw.server.close();
  });

  it('resolves open and new requests after close', async () => {
    const result = workers.start(server.ref, task('a', 600_000));
    await waitForStarts(1);
    await workers.close();
    expect((await result).state).toEqual('unclear');
    expect(await workers.start(server.ref, task('b'))).toEqual({
      state: 'notStarted',
      reason: 'unreachable',
    });
    expect((await workers.revoke(server.ref, 'b')).state).toEqual('unclear');
    expect(await workers.renew(server.ref, ['b'], 1)).toEqual(false);
  });
});
