/**
 * Calls that are meant for one process of a server. The process may end while a call waits for a
 * connection, and the next one then answers at the same address.
 */
import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { KeepAlivePool } from '../../src/dispatcher/transport/keepAlivePool';
import { UnsentCallError } from '../../src/dispatcher/transport/unsentCallError';
import { until } from '../platform/deployment';
import { RawServer, type Behaviour } from './rawServer';

const REQUEST = { method: 'POST', path: '/a', body: '{}' } as const;
const QUERY = { method: 'POST', path: '/process', body: '{}' } as const;

const opened: { close(): void }[] = [];

async function serverOf(behaviour: Behaviour): Promise<RawServer> {
  const server = await new RawServer(behaviour).open();
  opened.push(server);
  return server;
}

async function errorOf(call: Promise<unknown>): Promise<string> {
  return call.then(
    () => 'answered',
    (error: Error) => error.message,
  );
}

function processIn({ text }: { text: string }): number | null {
  const { process } = JSON.parse(text) as { process?: number };
  return process ?? null;
}

/** A server whose process can be replaced, which ends all its connections. */
class RestartingServer {
  process = 1;

  /** Process and path of each request. */
  readonly received: string[] = [];

  /** True while the server answers nothing but queries. */
  isHeld = false;

  server: RawServer | null = null;

  async open(): Promise<KeepAlivePool> {
    this.server = await serverOf((socket, request) => {
      const path = request.split(' ')[1] ?? '';
      this.received.push(`${this.process} ${path}`);
      const content = path === QUERY.path ? JSON.stringify({ process: this.process }) : '{}';
      if (this.isHeld && path !== QUERY.path) return;
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${content.length}\r\n\r\n${content}`);
    });
    const { address } = this.server;
    const options = { connections: 2, connectTimeoutMs: 500, processIn };
    const pool = new KeepAlivePool(address, options);
    opened.push({ close: () => pool.destroy() });
    return pool;
  }

  restart(): void {
    this.process += 1;
    this.server?.sockets.splice(0).forEach((socket) => socket.resetAndDestroy());
  }
}

describe('calls that are meant for one process of a server', () => {
  afterEach(() => opened.splice(0).forEach((each) => each.close()));

  const meantFor = (startMs: number) => ({ timeoutMs: 1000, process: { startMs, query: QUERY } });

  it('are preceded by one query over each connection, unless a reply has named the process', async () => {
    const server = new RestartingServer();
    const pool = await server.open();
    await pool.call(QUERY, {});
    await Promise.all([1, 2, 3].map(() => pool.call(REQUEST, meantFor(1))));
    const count = (line: string) => server.received.filter((each) => each === line).length;
    expect([count('1 /process'), count('1 /a')]).toEqual([2, 3]);
  });

  // Guards against calls that wait while a process ends, and that its successor then carries out.
  it('are not sent to the next process if they wait for a connection', async () => {
    const server = new RestartingServer();
    const pool = await server.open();
    server.isHeld = true;
    const calls = Array.from({ length: 6 }, () => errorOf(pool.call(REQUEST, meantFor(1))));
    await until(
      'two are sent',
      () => server.received.filter((each) => each === '1 /a').length === 2,
    );
    server.restart();
    const answers = await Promise.all(calls);
    expect(answers.filter((answer) => answer.startsWith('not sent')).length).toEqual(4);
    expect(server.received.filter((each) => each === '2 /a')).toEqual([]);
  });

  // Guards against a call that reaches the next process over a new connection before anyone has asked
  // it anything.
  it('are not sent to the next process over a new connection', async () => {
    const server = new RestartingServer();
    const pool = await server.open();
    server.restart();
    const error = await pool.call(REQUEST, meantFor(1)).catch((thrown: unknown) => thrown);
    expect(error instanceof UnsentCallError && error.reply?.status).toEqual(200);
    expect(server.received).toEqual(['2 /process']);
  });

  // Guards against a call that counts as possibly carried out, so that its task waits for a lease.
  it('are reported as not sent if the query has no answer', async () => {
    const server = await serverOf(() => {});
    const pool = new KeepAlivePool(server.address, { connections: 1, connectTimeoutMs: 500 });
    opened.push({ close: () => pool.destroy() });
    const limits = { ...meantFor(1), timeoutMs: 30 };
    const error = await pool.call(REQUEST, limits).catch((thrown: unknown) => thrown);
    expect(error instanceof UnsentCallError && error.message).toEqual('no answer within 30 ms');
  });

  // Guards against calls that fail and are repeated over new connections, which need a query again,
  // because a busy process reads each answer late.
  it('have as much time after the query as without one', async () => {
    const delayMs = 200;
    const server = await serverOf((socket) =>
      setTimeout(() => {
        socket.write('HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{"process":1}');
      }, delayMs),
    );
    const options = { connections: 1, connectTimeoutMs: 500, processIn };
    const pool = new KeepAlivePool(server.address, options);
    opened.push({ close: () => pool.destroy() });
    const limits = { ...meantFor(1), timeoutMs: 1.75 * delayMs };
    expect((await pool.call(REQUEST, limits)).status).toEqual(200);
    expect(server.requests.length).toEqual(2);
  });
});
