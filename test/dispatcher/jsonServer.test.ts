/** Requests that reach the peer server in pieces, in one piece, or several at a time. */
import { afterEach, describe, it } from 'node:test';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { HTTPParser } from 'http-parser-js';
import { PortBlock } from '../../src/standins/portBlock';
import { JsonServer } from '../../src/dispatcher/transport/jsonServer';
import { KeepAlivePool } from '../../src/dispatcher/transport/keepAlivePool';
import type { ServerCall } from '../../src/dispatcher/transport/serverCall';
import { wholeMessage } from '../../src/dispatcher/transport/wholeMessage';
import { until } from '../platform/deployment';

const REQUEST = 'POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\n{"b":"é"}';

const opened: { close(): void }[] = [];

async function serve(handle: (call: ServerCall) => void): Promise<Socket> {
  const block = await PortBlock.reserve(1);
  const port = block.ports[0] ?? 0;
  const server = new JsonServer(handle);
  await server.listen('127.0.0.1', port);
  const socket = connect(port, '127.0.0.1');
  opened.push(
    server,
    { close: () => socket.destroy() },
    {
      close: () => {
        block.release();
      },
    },
  );
  await once(socket, 'connect');
  return socket;
}

/** Replies to each call with its path and text. */
function echo(call: ServerCall): void {
  call.reply(200, [call.path, call.text]);
}

function collect(socket: Socket): () => string {
  let text = '';
  socket.on('data', (data) => {
    text += data.toString('utf8');
  });
  return () => text;
}

describe('the server for calls between hosts', () => {
  afterEach(() => opened.splice(0).forEach((each) => each.close()));

  // Guards against replies without the framing that clients of earlier versions expect.
  it('answers a request with a length and a time for which the connection is kept', async () => {
    const socket = await serve(echo);
    const received = collect(socket);
    socket.write(REQUEST);
    await until('a reply', () => received().endsWith(']'));
    expect(received()).toEqual(
      'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: keep-alive\r\n' +
        'keep-alive: timeout=120\r\ncontent-length: 23\r\n\r\n["/a","{\\"b\\":\\"é\\"}"]',
    );
  });

  // Guards against a request that is lost or read twice because it arrives in two reads.
  it('reads a request that is cut anywhere', async () => {
    const bytes = Buffer.from(REQUEST);
    const texts: string[] = [];
    const socket = await serve((call) => {
      texts.push(call.text);
      call.reply(200, {});
    });
    for (let cut = 1; cut < bytes.length; cut += 7) {
      socket.write(bytes.subarray(0, cut));
      await sleep(3); // eslint-disable-line no-await-in-loop -- one request after the other
      socket.write(bytes.subarray(cut));
      const expected = texts.length + 1;
      await until('a call', () => texts.length === expected); // eslint-disable-line no-await-in-loop
    }
    expect(new Set(texts)).toEqual(new Set(['{"b":"é"}']));
  });

  // Guards against replies in the wrong order, which a client would match with the wrong requests.
  it('answers requests that arrive together in their order', async () => {
    const calls: ServerCall[] = [];
    const socket = await serve((call) => calls.push(call));
    const received = collect(socket);
    socket.write(REQUEST + REQUEST.replace('/a', '/b'));
    await until('the first call', () => calls.length === 1);
    calls[0]?.reply(200, 'first');
    calls[0]?.reply(200, 'again');
    await until('the second call', () => calls.length === 2);
    calls[1]?.reply(200, 'second');
    await until('both replies', () => received().endsWith('"second"'));
    expect(received().match(/"(first|again|second)"/g)).toEqual(['"first"', '"second"']);
  });

  // Guards against a batch that goes on after its submitter has closed the call.
  it('tells a call that its connection has closed, and no call that has its reply', async () => {
    let closed = 0;
    const calls: ServerCall[] = [];
    const socket = await serve((call) => {
      calls.push(call);
      call.onClose(() => {
        closed += 1;
      });
      if (calls.length === 1) call.reply(200, {});
    });
    socket.write(REQUEST);
    await once(socket, 'data');
    socket.write(REQUEST);
    await until('the second call', () => calls.length === 2);
    socket.destroy();
    await until('the close', () => closed === 1);
    expect(calls.map((call) => call.closed)).toEqual([true, true]);
  });

  // Guards against bytes that are no request and keep a connection open.
  it('refuses what is not HTTP and closes the connection', async () => {
    const socket = await serve(echo);
    const received = collect(socket);
    socket.write('what is this\r\n\r\n');
    await once(socket, 'close');
    expect(received()).toMatchRegex(/^HTTP\/1\.1 400 /);
  });
});

describe('a message that arrives in one piece', () => {
  afterEach(() => opened.splice(0).forEach((each) => each.close()));

  // Guards against calls between hosts that cost more: counted in uses of the parser.
  it('is read without the parser by both sides', async (context) => {
    const server = new JsonServer(echo);
    const block = await PortBlock.reserve(1);
    await server.listen('127.0.0.1', block.ports[0] ?? 0);
    const pool = new KeepAlivePool(`127.0.0.1:${block.ports[0]}`, {
      connections: null,
      connectTimeoutMs: 500,
    });
    opened.push(
      server,
      { close: () => pool.destroy() },
      {
        close: () => {
          block.release();
        },
      },
    );
    const parses = context.mock.method(HTTPParser.prototype, 'execute');
    for (let call = 0; call < 20; call += 1) {
      // eslint-disable-next-line no-await-in-loop -- one call at a time
      await pool.call({ method: 'POST', path: '/a', body: '{}' }, { timeoutMs: 1000 });
    }
    expect(parses.mock.callCount()).toEqual(0);
  });

  // Guards against a message that is read although its end, its length or its connection differ.
  it('is read only if its length is known and the connection is kept', () => {
    const read = (text: string) => wholeMessage(Buffer.from(text), Buffer.byteLength(text));
    expect(read(REQUEST)).toEqual({
      startLine: 'POST /a HTTP/1.1',
      keepAlive: null,
      body: '{"b":"é"}',
    });
    const other = [
      REQUEST.slice(0, -1),
      `${REQUEST}x`,
      REQUEST.replace('host: x', 'connection: close'),
      REQUEST.replace('host: x', 'transfer-encoding: chunked'),
      REQUEST.replace('host: x', 'Content-Length: 10'),
      REQUEST.replace('host: x', 'host'),
      REQUEST.replace('content-length: 10', 'content-length: +10'),
      REQUEST.replace('content-length: 10\r\n', ''),
      '',
    ];
    expect(other.map(read)).toEqual(other.map(() => null));
  });
});
