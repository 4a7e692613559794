/**
 * Guards against invalid input that reaches the dispatcher, errors that are reported one at a time,
 * slow senders that occupy connections, and a shutdown that interrupts requests.
 */
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { Agent, request } from 'undici';
import { CallerApi } from '../../src/host/callerApi';
import type { CallerSettings } from '../../src/host/callerSettings';
import { FakeSubmissions } from './fakeSubmissions';

const BODY_LIMIT_BYTES = 2000;
const JOB = { team: 'kiosk', kind: 'unlock', tasks: [{ payload: 1 }] };
const NULL_OBSERVER = {
  log: { debug() {}, info() {}, warn() {}, error() {} },
  metrics: { count() {}, gauge() {}, timing() {} },
};

interface Reply {
  readonly statusCode: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: Record<string, unknown> & {
    readonly findings?: readonly { readonly path: string; readonly message: string }[];
  };
}

let service: FakeSubmissions;
let api: CallerApi;
let agent: Agent;

async function call(
  method: 'GET' | 'POST' | 'DELETE' | 'PUT',
  path: string,
  body: unknown = undefined,
  headers: Record<string, string> = {},
): Promise<Reply> {
  const response = await request(`http://${api.address}${path}`, {
    method,
    dispatcher: agent,
    headers: { ...(body === undefined ? {} : { 'content-type': 'application/json' }), ...headers },
    body: typeof body === 'string' || body === undefined ? body : JSON.stringify(body),
  });
  const text = await response.body.text();
  const { statusCode } = response;
  return { statusCode, headers: response.headers, body: JSON.parse(text) as Reply['body'] };
}

async function open(settings: Partial<CallerSettings> = {}): Promise<void> {
  await api?.close();
  api = new CallerApi(
    service,
    { bodyBytes: BODY_LIMIT_BYTES, payloadBytes: 1000, ...settings },
    NULL_OBSERVER,
  );
  await api.open();
}

async function sendRaw(
  text: string,
): Promise<{ readonly socket: Socket; readonly all: Promise<string> }> {
  const [host, port] = api.address.split(':');
  const socket = connect(Number(port), host);
  const chunks: Buffer[] = [];
  socket.on('data', (chunk: Buffer) => chunks.push(chunk));
  socket.on('error', () => undefined);
  const all = once(socket, 'close').then(() => Buffer.concat(chunks).toString());
  await once(socket, 'connect');
  socket.write(text);
  return { socket, all };
}

function findingPaths(reply: Reply): readonly string[] {
  return (reply.body.findings ?? []).map((finding) => finding.path);
}

describe('CallerApi', () => {
  beforeEach(async () => {
    service = new FakeSubmissions();
    agent = new Agent();
    await open();
  });

  afterEach(async () => {
    await agent.destroy();
    await api.close();
  });

  it('submits a job with its defaults and answers with the results', async () => {
    const reply = await call('POST', '/v1/jobs', JOB);
    expect([reply.statusCode, reply.headers['content-type']]).toEqual([200, 'application/json']);
    expect(reply.body).toEqual({
      outcome: 'complete',
      key: 'k1',
      results: [{ id: '0', result: { open: true } }],
    });
    expect(service.submitted).toEqual([
      {
        key: null,
        job: {
          team: 'kiosk',
          kind: 'unlock',
          deadlineMs: 750,
          resources: { cores: 1, memoryMb: 0, accelerators: 0 },
          tasks: [{ id: '0', payload: 1 }],
        },
      },
    ]);
  });

  it('forwards the key, and refuses one that is malformed or sent twice', async () => {
    await call('POST', '/v1/jobs', JOB, { 'idempotency-key': 'a.b.1.2.c' });
    expect(service.submitted[0]?.key).toEqual('a.b.1.2.c');
    const bad = ['two words', 'a, b', 'x'.repeat(257)];
    const replies = await Promise.all(
      bad.map((key) => call('POST', '/v1/jobs', JOB, { 'idempotency-key': key })),
    );
    expect(replies.map((reply) => reply.body.type)).toEqual(bad.map(() => '/problems/invalid-key'));
    expect((await call('GET', '/v1/jobs/%zz')).body.type).toEqual('/problems/invalid-key');
    expect(service.submitted.length).toEqual(1);
  });

  it('reports all errors in a body together', async () => {
    const reply = await call('POST', '/v1/jobs', {
      team: 5,
      deadlineMs: 0,
      extra: true,
      resources: { cores: -1, disks: 3 },
      tasks: [{ payload: 1, declaredMs: 'soon' }, { id: '' }, 'task'],
    });
    expect([reply.statusCode, reply.body.type]).toEqual([400, '/problems/invalid-request']);
    expect([...findingPaths(reply)].sort()).toEqual([
      '',
      'deadlineMs',
      'kind',
      'resources',
      'resources.cores',
      'tasks[0].declaredMs',
      'tasks[1].id',
      'tasks[1].payload',
      'tasks[2]',
      'team',
    ]);
    expect(service.submitted).toEqual([]);
  });

  it('refuses deadlines that are not positive integers in range', async () => {
    const deadlines = [0, -1, 1.5, 1e9, '100', null];
    const replies = await Promise.all(
      deadlines.map((deadlineMs) => call('POST', '/v1/jobs', { ...JOB, deadlineMs })),
    );
    expect(replies.map(findingPaths)).toEqual(deadlines.map(() => ['deadlineMs']));
  });

  it('refuses bodies that are not JSON objects, not UTF-8, or nested too deeply', async () => {
    const deep = `{"team":"kiosk","kind":"unlock","tasks":[{"payload":${'['.repeat(500)}${']'.repeat(500)}}]}`;
    const bodies = ['', '{', 'null', '[]', '"job"', '{"tasks":[{"payload":"\u0000"}]}', deep];
    const replies = await Promise.all(bodies.map((body) => call('POST', '/v1/jobs', body || ' ')));
    expect(replies.map((reply) => reply.statusCode)).toEqual(bodies.map(() => 400));
    const raw = 'POST /v1/jobs HTTP/1.1\r\nhost: h\r\nconnection: close\r\n';
    const { socket, all } = await sendRaw(
      `${raw}content-type: application/json\r\ncontent-length: 2\r\n\r\n`,
    );
    socket.write(Buffer.from([0xff, 0xfe]));
    expect(await all).toMatchRegex(/400 Bad Request[^]*expected JSON in UTF-8/);
    expect(service.submitted).toEqual([]);
  });

  it('refuses bodies, payloads and headers that are too large', async () => {
    const large = { ...JOB, tasks: [{ payload: 'x'.repeat(BODY_LIMIT_BYTES) }] };
    expect((await call('POST', '/v1/jobs', large)).statusCode).toEqual(413);
    const huge = 'POST /v1/jobs HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\n';
    const declared = await sendRaw(`${huge}content-length: 99999999\r\n\r\n`);
    expect(await declared.all).toMatchRegex(/413 Payload Too Large/);
    const chunked = await sendRaw(`${huge}transfer-encoding: chunked\r\n\r\n`);
    chunked.socket.write(
      `${(BODY_LIMIT_BYTES * 5).toString(16)}\r\n${'x'.repeat(BODY_LIMIT_BYTES * 5)}`,
    );
    expect(await chunked.all).toMatchRegex(/413 Payload Too Large/);
    const payload = { ...JOB, tasks: [{ payload: 1 }, { payload: 'x'.repeat(1000) }] };
    expect(findingPaths(await call('POST', '/v1/jobs', payload))).toEqual(['tasks[1].payload']);
    const header = await sendRaw(
      `GET /healthz HTTP/1.1\r\nhost: h\r\nx: ${'x'.repeat(20_000)}\r\n\r\n`,
    );
    expect(await header.all).toMatchRegex(/431 /);
    expect(service.submitted).toEqual([]);
  });

  it('refuses other media types, encodings, methods and paths', async () => {
    const replies = await Promise.all([
      call('POST', '/v1/jobs', '{}', { 'content-type': 'text/plain' }),
      call('POST', '/v1/jobs', '{}', { 'content-encoding': 'gzip' }),
      call('PUT', '/v1/jobs', '{}'),
      call('GET', '/v1/nothing'),
    ]);
    expect(replies.map((reply) => reply.statusCode)).toEqual([415, 415, 405, 404]);
    expect(replies.map((reply) => reply.body.type)).toEqual(
      replies.map(() => '/problems/invalid-request'),
    );
    expect(replies[2]?.headers.allow).toEqual('POST');
    const target = await sendRaw('GET // HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n');
    expect(await target.all).toMatchRegex(/404 Not Found/);
  });

  it('issues keys up to the limit, and none while the service is not ready', async () => {
    const keys = await call('POST', '/v1/keys', { count: 2 });
    expect(keys.body).toEqual({ keys: ['key-0', 'key-1'], expiresInMs: 300_000 });
    const counts = [0, 1001, 1.5, '1', undefined];
    const refused = await Promise.all(counts.map((count) => call('POST', '/v1/keys', { count })));
    expect(refused.map(findingPaths)).toEqual(counts.map(() => ['count']));
    service.isReady = false;
    expect((await call('POST', '/v1/keys', { count: 1 })).statusCode).toEqual(503);
  });

  it('cancels a job, waits for its answer, and reports a pending answer', async () => {
    await call('DELETE', '/v1/jobs/k1');
    expect(service.cancelled).toEqual(['k1']);
    expect((await call('GET', '/v1/jobs/k1')).statusCode).toEqual(200);
    const release = service.hold();
    const pending = await call('GET', '/v1/jobs/k1?waitMs=0');
    expect([pending.statusCode, pending.body]).toEqual([202, { outcome: 'pending', key: 'k1' }]);
    expect(findingPaths(await call('GET', '/v1/jobs/k1?waitMs=-1'))).toEqual(['waitMs']);
    release();
  });

  it('reports the outcome as unknown when the dispatcher throws', async () => {
    service.answer = async () => {
      throw new Error('fault');
    };
    const reply = await call('POST', '/v1/jobs', JOB);
    expect([reply.statusCode, reply.body.type, reply.body.notRun]).toEqual([
      504,
      '/problems/outcome-unknown',
      undefined,
    ]);
  });

  it('reports to the load balancer whether it accepts new jobs', async () => {
    expect((await call('GET', '/healthz')).statusCode).toEqual(200);
    expect((await call('GET', '/readyz')).statusCode).toEqual(200);
    service.isReady = false;
    expect((await call('GET', '/readyz')).statusCode).toEqual(503);
    service.isReady = true;
    api.drain();
    const draining = await call('GET', '/readyz');
    expect([draining.statusCode, draining.headers.connection]).toEqual([503, 'close']);
  });

  it('does not cancel a job when its caller disconnects', async () => {
    const release = service.hold();
    const submission = service.nextSubmission();
    const text = JSON.stringify(JOB);
    const { socket, all } = await sendRaw(
      `POST /v1/jobs HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\nidempotency-key: k1\r\ncontent-length: ${text.length}\r\n\r\n${text}`,
    );
    await submission;
    socket.destroy();
    await all;
    const answer = call('GET', '/v1/jobs/k1');
    release();
    expect((await answer).statusCode).toEqual(200);
    expect(service.cancelled).toEqual([]);
  });

  it('disconnects senders that exceed the timeout for headers or body', async () => {
    await open({ headersTimeoutMs: 50, requestTimeoutMs: 100, timeoutCheckMs: 10 });
    const headers = await sendRaw('POST /v1/jobs HTTP/1.1\r\nhost:');
    const body = await sendRaw(
      'POST /v1/jobs HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\ncontent-length: 9\r\n\r\n{',
    );
    expect(await headers.all).toMatchRegex(/408 /);
    await body.all;
    expect(service.submitted).toEqual([]);
  });

  it('does not accept connections beyond its limit', async () => {
    await open({ connections: 1 });
    const first = await sendRaw('GET /healthz HTTP/1.1\r\nhost: h\r\n\r\n');
    await once(first.socket, 'data');
    const second = await sendRaw('GET /healthz HTTP/1.1\r\nhost: h\r\n\r\n');
    expect(await second.all).toEqual('');
    first.socket.destroy();
  });

  it('answers requests in progress before it closes, and accepts no new ones', async () => {
    const release = service.hold();
    const submission = service.nextSubmission();
    const { address } = api;
    const answer = call('POST', '/v1/jobs', JOB);
    await submission;
    const closed = api.close();
    const late = request(`http://${address}/healthz`, { dispatcher: new Agent() });
    await expect(late).toBeRejected();
    release();
    const reply = await answer;
    expect([reply.statusCode, reply.headers.connection]).toEqual([200, 'close']);
    await closed;
  });

  it('closes despite a stalled sender, and still answers requests in progress', async () => {
    await open({ requestTimeoutMs: 60, headersTimeoutMs: 50, timeoutCheckMs: 10_000 });
    const stalled = await sendRaw('POST /v1/jobs HTTP/1.1\r\nhost:');
    const release = service.hold();
    const submission = service.nextSubmission();
    const answer = call('POST', '/v1/jobs', JOB);
    await submission;
    const closed = api.close();
    expect(await stalled.all).toEqual('');
    release();
    expect((await answer).statusCode).toEqual(200);
    await closed;
  });
});
