/** Guards the operator API against oversized, malformed, slow and misdirected requests. */
import { once } from 'node:events';
import { connect } from 'node:net';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Err } from 'ts-results';
import { request } from 'undici';
import { OPERATOR_API_LIMITS, OperatorApi } from '../../src/host/operatorApi';
import type { OperatorApiLimits } from '../../src/host/operatorApi';
import type { OperatorService } from '../../src/host/operatorService';
import { Recorder } from '../../src/observe';
import { fakeService } from './fakeOperatorService';

const HOST = '127.0.0.1';

interface Answer {
  readonly status: number;
  readonly type: string;
  readonly body: Record<string, unknown>;
}

interface Running {
  readonly port: number;
  readonly log: Recorder;
  call(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: string,
    type?: string,
  ): Promise<Answer>;
  /** Sends bytes and resolves to all that comes back until the connection ends. */
  raw(bytes: string): Promise<string>;
}

async function withApi(
  overrides: Partial<OperatorService>,
  limits: Partial<OperatorApiLimits>,
  use: (running: Running) => Promise<void>,
): Promise<void> {
  const log = new Recorder();
  const api = new OperatorApi(fakeService(overrides), log, { ...OPERATOR_API_LIMITS, ...limits });
  const port = await api.open(HOST, 0);
  try {
    await use({
      port,
      log,
      async call(method, path, body, type = 'application/json') {
        const response = await request(`http://${HOST}:${port}${path}`, {
          method,
          ...(body === undefined ? {} : { body, headers: { 'content-type': type } }),
        });
        return {
          status: response.statusCode,
          type: String(response.headers['content-type']),
          body: (await response.body.json()) as Record<string, unknown>,
        };
      },
      async raw(bytes) {
        const socket = connect(port, HOST);
        const chunks: Buffer[] = [];
        socket.on('data', (chunk: Buffer) => chunks.push(chunk));
        socket.write(bytes);
        await once(socket, 'close');
        return Buffer.concat(chunks).toString();
      },
    });
  } finally {
    await api.close();
  }
}

const publication = JSON.stringify({ file: 'c.ini', text: '[team a]', publishedBy: 'eleni' });

describe('OperatorApi', () => {
  it('answers reads with JSON and a missing configuration with null', () =>
    withApi({}, {}, async ({ call }) => {
      const status = await call('GET', '/operator/v1/status?x=1');
      expect([status.status, status.type, status.body.hostId]).toEqual([
        200,
        'application/json',
        'bole-1',
      ]);
      expect(await call('GET', '/operator/v1/configuration')).toLooseEqual({
        status: 200,
        type: 'application/json',
        body: null,
      });
    }));

  it('answers paths of callers and unknown paths with 404, wrong methods with 405', () =>
    withApi({}, {}, async ({ call }) => {
      const paths = ['/v1/jobs', '/v1/keys', '/operator/v1', '/operator/v1/status/', '//', '/'];
      const answers = await Promise.all(paths.map((path) => call('POST', path, '{}')));
      expect(answers.map(({ status }) => status)).toEqual(paths.map(() => 404));
      const wrong = await call('DELETE', '/operator/v1/configuration');
      expect([wrong.status, wrong.type]).toEqual([405, 'application/problem+json']);
    }));

  it('refuses bodies that are too large, not JSON, or not of the right shape', () =>
    withApi({}, { bodyBytes: 200 }, async ({ call }) => {
      const path = '/operator/v1/configuration';
      const shape = await call('POST', path, '{"file":"c","text":7,"expectedGeneration":-1,"x":1}');
      const answers = [
        await call('POST', path, JSON.stringify({ text: 'x'.repeat(100_000) })),
        await call('POST', path, publication, 'text/plain'),
        await call('POST', path, '{"file":'),
        await call('POST', path, ''),
        await call('POST', path, 'null'),
        shape,
      ];
      expect(answers.map(({ status }) => status)).toEqual([413, 415, 400, 400, 400, 400]);
      const findings = shape.body.findings as { key: string }[];
      expect(findings.map(({ key }) => key)).toEqual([
        'text',
        'publishedBy',
        'expectedGeneration',
        '',
      ]);
    }));

  it('refuses a chunked body beyond the limit', () =>
    withApi({}, { bodyBytes: 10 }, async ({ raw }) => {
      const answer = await raw(
        `POST /operator/v1/drain HTTP/1.1\r\nHost: h\r\nConnection: close\r\n` +
          `Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n` +
          `14\r\n${'x'.repeat(20)}\r\n0\r\n\r\n`,
      );
      expect(answer.split('\r\n')[0]).toEqual('HTTP/1.1 413 Payload Too Large');
    }));

  it('refuses large headers, malformed requests and requests that do not end', () =>
    withApi(
      {},
      { headerBytes: 1024, headerTimeoutMs: 60, requestTimeoutMs: 60 },
      async ({ raw }) => {
        const answers = await Promise.all([
          raw(`GET /operator/v1/status HTTP/1.1\r\nHost: h\r\nX: ${'x'.repeat(2000)}\r\n\r\n`),
          raw('nonsense\r\n\r\n'),
          raw('GET /operator/v1/status HTTP/1.1\r\nHost:'),
        ]);
        expect(answers.map((answer) => answer.split(' ')[1])).toEqual(['431', '400', '408']);
        expect(answers.every((answer) => answer.includes('/problems/invalid-request'))).toEqual(
          true,
        );
      },
    ));

  it('breaks connections beyond the limit and serves the others', () =>
    withApi({}, { connections: 1 }, async ({ port, raw }) => {
      const first = connect(port, HOST);
      first.write('GET /operator/v1/status HTTP/1.1\r\nHost: h\r\n\r\n');
      const [answer] = (await once(first, 'data')) as [Buffer];
      expect(await raw('GET /operator/v1/status HTTP/1.1\r\nHost: h\r\n\r\n')).toEqual('');
      expect(answer.toString().startsWith('HTTP/1.1 200')).toEqual(true);
      first.destroy();
    }));

  it('gives each outcome of a publication its status', async () => {
    const finding = {
      file: 'c.ini',
      line: 3,
      section: 'team a',
      key: 'share',
      expected: 'a fraction',
      found: '"2"',
    };
    const winner = { generation: 6, publicationId: 'p6', publishedBy: 'sara', publishedAtMs: 1 };
    const outcomes = [
      { outcome: 'published', generation: 5, publicationId: 'p5' },
      { outcome: 'rejected', findings: [finding] },
      { outcome: 'lostRace', winner },
      { outcome: 'unavailable', detail: 'store down' },
      { outcome: 'unknown', publicationId: 'p7', detail: 'no answer' },
    ] as const;
    const left = [...outcomes];
    const overrides: Partial<OperatorService> = {
      publishConfiguration: async () => left.shift() ?? outcomes[0],
      checkConfiguration: async () => [finding],
      diffConfiguration: async () => Err([finding]),
    };
    await withApi(overrides, {}, async ({ call }) => {
      const publish = () => call('POST', '/operator/v1/configuration', publication);
      const published = await publish();
      const rejected = await publish();
      const lost = await publish();
      const unavailable = await publish();
      const unknown = await publish();
      expect(published.body).toEqual(outcomes[0]);
      expect([rejected.status, rejected.body.findings]).toEqual([422, [finding]]);
      expect([lost.status, lost.body.winner]).toEqual([409, winner]);
      expect([unavailable.status, unavailable.body.type]).toEqual([
        503,
        '/problems/store-unavailable',
      ]);
      expect([unknown.status, unknown.body.publicationId]).toEqual([504, 'p7']);
      const text = JSON.stringify({ file: 'c.ini', text: '' });
      const check = await call('POST', '/operator/v1/configuration/check', text);
      const diff = await call('POST', '/operator/v1/configuration/diff', '{"text":""}');
      expect([check, diff].map(({ status, body }) => [status, body.findings])).toEqual([
        [422, [finding]],
        [422, [finding]],
      ]);
    });
  });

  it('answers when the service fails or does not return, and says so in the log', () => {
    const overrides: Partial<OperatorService> = {
      members: async () => {
        throw new Error('secret detail');
      },
      inForce: () => new Promise(() => {}),
    };
    return withApi(overrides, { serviceTimeoutMs: 20 }, async ({ call, log }) => {
      const failed = await call('GET', '/operator/v1/members');
      const late = await call('GET', '/operator/v1/configuration/in-force');
      expect([failed.status, late.status]).toEqual([500, 504]);
      expect(JSON.stringify(failed.body).includes('secret')).toEqual(false);
      expect(log.lines.map(({ message }) => message)).toEqual(['operator request failed']);
    });
  });

  it('answers the request in progress when it closes, and breaks one that does not end', async () => {
    let release: () => void = () => {};
    let drained: Promise<Answer> | undefined;
    const reached = new Promise<void>((resolve) => {
      release = resolve;
    });
    const overrides: Partial<OperatorService> = { drain: async () => release() };
    await withApi(overrides, { closeGraceMs: 50 }, async ({ port, call }) => {
      const unfinished = connect(port, HOST);
      unfinished.on('error', () => {});
      unfinished.write('POST /operator/v1/drain HTTP/1.1\r\nHost: h\r\n');
      await once(unfinished, 'connect');
      drained = call('POST', '/operator/v1/drain', '{}');
      await reached;
    });
    expect((await drained)?.status).toEqual(202);
  });
});
