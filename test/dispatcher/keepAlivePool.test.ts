/**
 * Calls over pooled connections to servers that use the various response framings of HTTP, or fail.
 */
import { afterEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { KeepAlivePool } from '../../src/dispatcher/transport/keepAlivePool';
import { until } from '../platform/deployment';
import { RawServer, type Behaviour } from './rawServer';

const OPTIONS = { connections: null, connectTimeoutMs: 500 };
const REQUEST = { method: 'POST', path: '/a', body: '{"b":"\u00e9"}' } as const;
const OK = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}';

const opened: { close(): void }[] = [];

async function serverOf(behaviour: Behaviour): Promise<RawServer> {
  const server = await new RawServer(behaviour).open();
  opened.push(server);
  return server;
}

function poolOf({ address }: RawServer, connections: number | null = null): KeepAlivePool {
  const pool = new KeepAlivePool(address, { ...OPTIONS, connections });
  opened.push({ close: () => pool.destroy() });
  return pool;
}

async function errorOf(call: Promise<unknown>): Promise<string> {
  return call.then(
    () => 'answered',
    (error: NodeJS.ErrnoException) => error.code ?? error.message,
  );
}

describe('a pool of keep-alive connections', () => {
  afterEach(() => opened.splice(0).forEach((each) => each.close()));

  it('sends a whole request in one write and reuses the connection', async () => {
    const server = await serverOf((socket) => socket.write(OK));
    const pool = poolOf(server);
    expect(await pool.call(REQUEST, {})).toEqual({ status: 200, text: '{}' });
    await pool.call({ method: 'GET', path: '/b', headers: { 'x-a': '1' } }, {});
    expect(server.sockets.length).toEqual(1);
    expect(server.requests).toEqual([
      `POST /a HTTP/1.1\r\nhost: ${server.address}\r\nconnection: keep-alive\r\ncontent-type: application/json\r\ncontent-length: 10\r\n\r\n{"b":"\u00e9"}`,
      `GET /b HTTP/1.1\r\nhost: ${server.address}\r\nconnection: keep-alive\r\nx-a: 1\r\n\r\n`,
    ]);
  });

  // Guards against a body split inside a character, and against use of the shared buffer after a
  // read.
  it('reads split, chunked and unsized responses, and those after an interim one', async () => {
    const text = '{"name":"\u00e9\u4e2d"}';
    const bytes = Buffer.from(text);
    const sized = `HTTP/1.1 200 OK\r\nContent-Length: ${bytes.length}\r\n\r\n`;
    const answers: Behaviour[] = [
      async (socket) => {
        const whole = Buffer.concat([Buffer.from(sized), bytes]);
        for (let at = 0; at < whole.length; at += 7) {
          socket.write(whole.subarray(at, at + 7));
          // eslint-disable-next-line no-await-in-loop -- each piece is a read of its own
          await sleep(2);
        }
      },
      (socket) => {
        const size = bytes.length.toString(16);
        socket.write(
          `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${size}\r\n${text}\r\n0\r\n\r\n`,
        );
      },
      (socket) => socket.write(`HTTP/1.1 100 Continue\r\n\r\n${sized}${text}`),
      (socket) => socket.end(`HTTP/1.1 200 OK\r\n\r\n${text}`),
    ];
    const server = await serverOf((socket, request) => answers.shift()?.(socket, request));
    const pool = poolOf(server);
    for (let count = answers.length; count > 0; count -= 1) {
      // eslint-disable-next-line no-await-in-loop -- one answer after the other
      expect(await pool.call(REQUEST, { timeoutMs: 2000 })).toEqual({ status: 200, text });
    }
  });

  // Guards against a call reported as possibly sent although the connection was refused.
  it('reports the code of a refused connection', async () => {
    const server = await serverOf(() => {});
    const pool = poolOf(server);
    server.close();
    expect(await errorOf(pool.call(REQUEST, {}))).toEqual('ECONNREFUSED');
  });

  it('fails a call whose connection is reset or closed, or does not speak HTTP', async () => {
    const ends: Behaviour[] = [
      (socket) => socket.resetAndDestroy(),
      (socket) => socket.end(),
      (socket) => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}'),
      (socket) => socket.write('SSH-2.0-OpenSSH\r\n'),
    ];
    const server = await serverOf((socket, request) => ends.shift()?.(socket, request));
    const pool = poolOf(server);
    const closed = 'the connection was closed before an answer';
    expect(await errorOf(pool.call(REQUEST, {}))).toEqual('ECONNRESET');
    expect(await errorOf(pool.call(REQUEST, {}))).toEqual(closed);
    expect(await errorOf(pool.call(REQUEST, {}))).toEqual(closed);
    expect(await errorOf(pool.call(REQUEST, {}))).not.toEqual('answered');
  });

  // Guards against a late response taken for that of the next call on the same connection.
  it('closes the connection of a call that times out or is aborted', async () => {
    let answers = false;
    const server = await serverOf((socket) => answers && socket.write(OK));
    const pool = poolOf(server);
    const timedOut = await errorOf(pool.call(REQUEST, { timeoutMs: 50 }));
    expect(timedOut).toEqual('no answer within 50 ms');
    const abort = new AbortController();
    const call = errorOf(pool.call(REQUEST, { signal: abort.signal }));
    await until('the request has arrived', () => server.requests.length === 2);
    abort.abort();
    expect(await call).toEqual('the call was aborted');
    expect(await errorOf(pool.call(REQUEST, { signal: abort.signal }))).toEqual(
      'the call was aborted',
    );
    await until('both connections are closed', () => server.sockets.every((each) => each.closed));
    answers = true;
    expect((await pool.call(REQUEST, { timeoutMs: 1000 })).status).toEqual(200);
  });

  it('queues calls while all connections are in use, and fails one that waits too long', async () => {
    const server = await serverOf((socket) => setTimeout(() => socket.write(OK), 60));
    const pool = poolOf(server, 1);
    const first = pool.call(REQUEST, {});
    const late = errorOf(pool.call(REQUEST, { timeoutMs: 20 }));
    const second = pool.call(REQUEST, {});
    expect(await late).toEqual('no answer within 20 ms');
    expect((await first).status + (await second).status).toEqual(400);
    expect([server.sockets.length, server.requests.length]).toEqual([1, 2]);
  });

  // Guards against starts that count as unanswered because this process was paused meanwhile.
  it('uses an answer that arrived in time but is read after a pause of the process', async () => {
    const server = await serverOf((socket) => {
      socket.write(OK);
      const untilMs = performance.now() + 80;
      while (performance.now() < untilMs);
    });
    const pool = poolOf(server);
    expect((await pool.call(REQUEST, { timeoutMs: 40 })).status).toEqual(200);
    expect((await pool.call(REQUEST, { timeoutMs: 40 })).status).toEqual(200);
    expect(server.sockets.length).toEqual(1);
  });

  // Guards against a call on a connection that its server is about to close.
  it('opens a new connection when the idle limit of the server is short', async () => {
    const brief = 'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\ncontent-length: 2\r\n\r\n{}';
    const server = await serverOf((socket) => socket.write(brief));
    const pool = poolOf(server);
    await pool.call(REQUEST, {});
    await pool.call(REQUEST, {});
    expect(server.sockets.length).toEqual(2);
  });

  it('completes calls in progress when it is closed, and fails them when it is destroyed', async () => {
    const server = await serverOf((socket) => setTimeout(() => socket.write(OK), 50));
    const closed = poolOf(server);
    const last = closed.call(REQUEST, {});
    closed.close();
    expect((await last).status).toEqual(200);
    await until('its connection is closed', () => server.sockets.every((each) => each.closed));
    const destroyed = poolOf(server);
    const broken = errorOf(destroyed.call(REQUEST, {}));
    destroyed.destroy();
    expect(await broken).toEqual('the connections are closed');
  });
});
