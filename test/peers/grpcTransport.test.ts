/** Guards against reordering, false null results, unbounded queues and hanging or faulty peers. */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { Client, Metadata, credentials } from '@grpc/grpc-js';
import { expect } from 'earl';
import type { PeerMessage } from '../../src/core/messages';
import { encodeMessage } from '../../src/peers';
import { wasabiyoke } from '../../src/peers/generated/peers';
import { FORWARD_PATH } from '../../src/peers/incomingCalls';
import { STREAM_PATH } from '../../src/peers/outgoingCall';
import { answer, job, startHost, until, type TestHost } from './fixtures';

const { Batch } = wasabiyoke.peers;
const cancel = (requestId: number): PeerMessage => ({ type: 'slotCancel', requestId, count: 1 });
const identity = (value: Buffer): Buffer => value;

const withHosts = async (
  run: (a: TestHost, b: TestHost) => Promise<void>,
  more = {},
): Promise<void> => {
  const [a, b] = await Promise.all([startHost('a', more), startHost('b', more)]);
  try {
    await run(a, b);
  } finally {
    await Promise.all([a.transport.close(0), b.transport.close(0)]);
  }
};

/** A TCP server that never answers; after `forwardTo` it forwards new connections to that port. */
const startSilentPeer = async (): Promise<{
  address: string;
  forwardTo: (port: number) => void;
  close: () => void;
}> => {
  const sockets: Socket[] = [];
  let target: number | null = null;
  const server = createServer((socket) => {
    sockets.push(socket.on('error', () => undefined));
    if (target !== null) socket.pipe(connect(target, '127.0.0.1')).pipe(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const close = (): void => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  };
  const forwardTo = (to: number): void => {
    target = to;
  };
  return { address: `127.0.0.1:${port}`, forwardTo, close };
};

describe('message stream', () => {
  it('delivers messages in order and in few batches, with their origin, and counts their bytes', () =>
    withHosts(async (a, b) => {
      const messages = Array.from({ length: 5000 }, (_, index) => cancel(index));
      messages.forEach((message) => a.transport.send(b.address, [message]));
      await b.handler.received(5000);
      expect(b.handler.messages).toEqual(messages);
      expect(b.handler.batches[0]?.from).toEqual({ hostId: 'a', incarnation: 'a-1' });
      expect(b.handler.batches.length < 10).toEqual(true);
      const bytes = messages.reduce((sum, message) => sum + encodeMessage(message).length, 0);
      expect(a.transport.traffic().slotCancel?.sentBytes).toEqual(bytes);
      expect(b.transport.traffic().slotCancel).toEqual({
        sentBytes: 0,
        receivedBytes: bytes,
        messages: 5000,
      });
    }));

  it('drops and counts messages to a stopped peer, reports it, and reconnects after its restart', async () => {
    const broken: string[] = [];
    const onDisconnect = (address: string): void => {
      broken.push(address);
    };
    const a = await startHost('a', { onDisconnect });
    const b = await startHost('b');
    a.transport.send(b.address, [cancel(1)]);
    await b.handler.received(1);
    await b.transport.close(0);
    await until(
      () => (a.transport.drops().disconnected ?? 0) >= 3,
      () => a.transport.send(b.address, [cancel(2)]),
    );
    expect(broken[0]).toEqual(b.address);
    const next = await startHost('b', { incarnation: 'b-2', listenAddress: b.address });
    await until(
      () => next.handler.messages.length > 0,
      () => a.transport.send(b.address, [cancel(3)]),
    );
    expect(next.handler.messages[0]).toEqual(cancel(3));
    await Promise.all([a.transport.close(0), next.transport.close(0)]);
  });

  // gRPC throws for such an address during the flush, where nothing catches it: the process would
  // exit.
  it('drops and counts messages and calls to an invalid address', () =>
    withHosts(async (a, b) => {
      a.transport.send('', [cancel(1)]);
      a.transport.send('b', [cancel(2)]);
      expect(await a.transport.status('')).toEqual(null);
      a.transport.send(b.address, [cancel(3)]);
      await b.handler.received(1);
      expect(b.handler.messages).toEqual([cancel(3)]);
      expect(a.transport.drops()).toEqual({ 'no-address': 3 });
    }));

  it('bounds pending bytes and times out when a peer accepts connections but never answers', async () => {
    const peer = await startSilentPeer();
    const a = await startHost('a', { connectTimeoutMs: 50, maxPendingBytes: 2000 });
    const batch = Array.from({ length: 100 }, (_, index) => cancel(index));
    await until(
      () => (a.transport.drops().disconnected ?? 0) >= 100,
      () => a.transport.send(peer.address, batch),
    );
    expect((a.transport.drops()['peer-slow'] ?? 0) >= 100).toEqual(true);
    expect(await a.transport.forward(peer.address, 'p-1', 'k', job)).toEqual(null);
    expect(await a.transport.status(peer.address)).toEqual(null);
    peer.close();
    await a.transport.close(0);
  });

  it('reconnects to a peer after a connection attempt that hangs forever', async () => {
    const peer = await startSilentPeer();
    const a = await startHost('a', { connectTimeoutMs: 30, replaceClientMs: 0 });
    const b = await startHost('b');
    const send = (): void => a.transport.send(peer.address, [cancel(1)]);
    await until(() => (a.transport.drops().disconnected ?? 0) > 0, send);
    peer.forwardTo(Number(b.address.split(':')[1]));
    await until(() => b.handler.messages.length > 0, send);
    await Promise.all([a.transport.close(0), b.transport.close(0)]);
    peer.close();
  });

  it('drops malformed batches and messages without closing the stream', () =>
    withHosts(async (a, b) => {
      const client = new Client(b.address, credentials.createInsecure());
      const stream = client.makeClientStreamRequest(
        STREAM_PATH,
        identity,
        identity,
        () => undefined,
      );
      const batch = (envelopes: Uint8Array[], hostId = 'x'): Buffer =>
        Buffer.from(Batch.encode({ hostId, incarnation: 'x-1', envelopes }).finish());
      stream.write(Buffer.from('not a batch'));
      stream.write(batch([encodeMessage(cancel(1))], ''));
      stream.write(batch([Buffer.from([255, 255]), encodeMessage(cancel(2)), Buffer.alloc(0)]));
      stream.end();
      await b.handler.received(1);
      expect(b.handler.messages).toEqual([cancel(2)]);
      expect(b.transport.drops().malformed).toEqual(4);
      client.close();
      expect(a.transport.drops()).toEqual({});
    }));

  it('drops a message above the size limit and sends the others', () =>
    withHosts(
      async (a, b) => {
        const refusal: PeerMessage = {
          type: 'slotRefusal',
          requestId: 1,
          reason: 'x'.repeat(9000),
          retryAfterMs: 1,
        };
        a.transport.send(b.address, [cancel(1), refusal, cancel(2)]);
        await b.handler.received(2);
        expect(a.transport.drops()).toEqual({ 'too-large': 1 });
      },
      { maxMessageBytes: 8192 },
    ));

  it('counts a failing handler and continues with the next batch', () =>
    withHosts(async (a, b) => {
      b.handler.failOnce(new Error('fault'));
      a.transport.send(b.address, [cancel(1)]);
      await b.handler.received(1);
      a.transport.send(b.address, [cancel(2)]);
      await b.handler.received(2);
      expect(b.transport.drops()).toEqual({ 'handler-failed': 1 });
    }));

  it('sends queued messages when it closes', () =>
    withHosts(async (a, b) => {
      a.transport.send(b.address, [cancel(1)]);
      await b.handler.received(1);
      a.transport.send(b.address, [cancel(2)]);
      await a.transport.close(0);
      await b.handler.received(2);
    }));
});

describe('unary calls', () => {
  it('forwards a job, a cancellation and a status request', () =>
    withHosts(async (a, b) => {
      expect(await a.transport.forward(b.address, 'b-1', 'k', job)).toEqual(answer);
      expect(b.handler.jobs).toEqual([job]);
      const cancelled = await a.transport.forwardCancel(b.address, 'b-1', 'k');
      expect(cancelled?.outcome).toEqual('cancelled');
      expect(await a.transport.status(b.address)).toEqual({ host: 'served', jobs: 1 });
    }));

  it('returns null and runs nothing if the issuer has another incarnation', () =>
    withHosts(async (a, b) => {
      expect(await a.transport.forward(b.address, 'b-0', 'k', job)).toEqual(null);
      expect(await a.transport.forwardCancel(b.address, 'b-0', 'k')).toEqual(null);
      expect((await a.transport.forwardAwait(b.address, 'b-1', 'k'))?.key).toEqual('k');
      expect(await a.transport.forwardAwait(b.address, 'b-0', 'k')).toEqual(null);
      expect(b.handler.jobs).toEqual([]);
    }));

  it('returns null if the issuer is down, stops during the call, or its handler fails', () =>
    withHosts(async (a, b) => {
      b.handler.replyWith(() => Promise.reject(new Error('fault')));
      expect(await a.transport.forward(b.address, 'b-1', 'k', job)).toEqual(null);
      b.handler.replyWith(
        () =>
          new Promise(() => {
            // Never answers.
          }),
      );
      const pending = a.transport.forward(b.address, 'b-1', 'k', job);
      await until(
        () => b.handler.jobs.length === 2,
        () => undefined,
      );
      await b.transport.close(0);
      expect(await pending).toEqual(null);
      expect(await a.transport.forward(b.address, 'b-1', 'k', job)).toEqual(null);
    }));

  it('waits for a call in progress before it closes', () =>
    withHosts(async (a, b) => {
      let finish = (): void => undefined;
      b.handler.replyWith(
        () =>
          new Promise((resolve) => {
            finish = () => resolve(answer);
          }),
      );
      const pending = a.transport.forward(b.address, 'b-1', 'k', job);
      await until(
        () => b.handler.jobs.length === 1,
        () => undefined,
      );
      const closed = b.transport.close(5000);
      finish();
      expect(await pending).toEqual(answer);
      await closed;
    }));

  it('refuses malformed requests and oversized metadata', () =>
    withHosts(async (_a, b) => {
      const client = new Client(b.address, credentials.createInsecure());
      const call = (request: Buffer, metadata: Metadata): Promise<number | undefined> =>
        new Promise((resolve) => {
          client.makeUnaryRequest(FORWARD_PATH, identity, identity, request, metadata, (error) =>
            resolve(error?.code),
          );
        });
      const large = new Metadata();
      large.set('x-large', 'x'.repeat(10_000));
      expect(await call(Buffer.from([1, 2, 3]), new Metadata())).toEqual(3);
      expect(await call(Buffer.alloc(0), large)).toEqual(8);
      expect(b.transport.drops()).toEqual({ malformed: 1, 'too-large': 1 });
      client.close();
    }));
});
